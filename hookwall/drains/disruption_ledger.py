"""The disrupted jobs, and how many disruptions count against each team's disruption budget.

Disruptions of every cause are recorded here: drains, lost machines, preemption and spot notices. Only drains are
limited by what remains of a budget. Invariant: an entry counts against its team's budget until the period is over and
the job runs as many tasks as before the disruption. A job that is disrupted again after it had recovered counts again.
Entries of drains are stored before any task is stopped. Entries of other causes, which can't be delayed, are stored
soon after the disruption.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hookwall.config.operations import DisruptionBudget
from hookwall.drains.records import Disruption, DisruptionPage
from hookwall.workers.resources import ROUNDING_TOLERANCE

ENTRY_BYTES = 72  # size of an entry in JSON: a job's id, a team's name and three numbers
MIN_PAGE_ENTRIES = 8
MAX_PAGE_ENTRIES = 200


def allowed_disruptions(budget: DisruptionBudget, running_jobs: int) -> int:
    """How many of a team's running jobs may be disrupted at the same time.

    A share above 0 is rounded down, but not below 1: otherwise the jobs of a team with few jobs could never be moved.
    """
    limits: list[int] = []
    if budget.jobs is not None:
        limits.append(budget.jobs)
    if budget.share is not None:
        # A share of 0.1 of 30 jobs is 3, regardless of floating-point error.
        limits.append(max(1, int(budget.share * running_jobs + ROUNDING_TOLERANCE)) if budget.share > 0 else 0)
    return min(limits)


@dataclass(slots=True)
class LedgerPage:
    """A page of the ledger: its entries, its stored version (0: not stored), and whether it has changed since."""

    entries: list[Disruption]
    version: int = 0
    dirty: bool = False


class DisruptionLedger:
    """All disruptions that still count. The leader maintains them; followers don't update them."""

    def __init__(self, budgets: Iterable[DisruptionBudget], value_limit: int, clock_skew_s: float) -> None:
        """Create an empty ledger.

        Args:
            budgets: the teams' budgets; disruptions of other teams are not recorded.
            value_limit: maximum size of a stored value in bytes.
            clock_skew_s: maximum difference between the times of day of two nodes, in seconds.
        """
        self.budgets = {budget.team: budget for budget in budgets}
        self.page_entries = max(MIN_PAGE_ENTRIES, min(MAX_PAGE_ENTRIES, value_limit // ENTRY_BYTES))
        self.clock_skew_s = clock_skew_s
        self.pages: dict[int, LedgerPage] = {}

    # -- pages -----------------------------------------------------------------------------------

    def load_page(self, number: int, record: DisruptionPage, version: int) -> None:
        """Load a page that a new leader has read."""
        self.pages[number] = LedgerPage(list(record.entries), version)

    def dirty_pages(self) -> list[int]:
        """The numbers of the pages that have to be written, or deleted if they have no entries."""
        return [number for number, page in self.pages.items() if page.dirty]

    def record_page_version(self, number: int, version: int) -> None:
        """Record that a page was written, or deleted if `version` is 0. The page may have changed since."""
        page = self.pages[number]
        page.version = version
        if not page.entries and not version:
            del self.pages[number]

    # -- disruptions -----------------------------------------------------------------------------

    def entries(self) -> Iterable[Disruption]:
        """All entries."""
        for page in self.pages.values():
            yield from page.entries

    def unrecovered_entry(self, job_id: str) -> Disruption | None:
        """The entry of a job that has not recovered from its disruption, or None."""
        return next((entry for entry in self.entries() if entry.job_id == job_id and not entry.recovered), None)

    def record_disruption(self, job_id: str, team: str, running_tasks: int, now: float) -> None:
        """Record that a job loses running tasks. A job that has not recovered from an earlier loss counts only once."""
        if team not in self.budgets:
            return
        for page in self.pages.values():
            for entry in page.entries:
                if entry.job_id == job_id and not entry.recovered:
                    entry.last_loss_at = now
                    entry.running_before = max(entry.running_before, running_tasks)
                    page.dirty = True
                    return
        page = self._page_with_free_slot()
        page.entries.append(Disruption(job_id, team, now, running_tasks))
        page.dirty = True

    def _page_with_free_slot(self) -> LedgerPage:
        for page in self.pages.values():
            if len(page.entries) < self.page_entries:
                return page
        number = next(number for number in range(len(self.pages) + 1) if number not in self.pages)
        self.pages[number] = LedgerPage([])
        return self.pages[number]

    def begin_leadership(self, now: float) -> None:
        """Set the last loss of all jobs that have not recovered to `now`, the beginning of a leadership.

        An entry is stored when a stop is decided. The previous leader may have seen the tasks end a second or two later
        and may have failed to store that, as the key-value store rejected the write. The period would then begin too
        early.
        """
        for page in self.pages.values():
            for entry in page.entries:
                if not entry.recovered and entry.last_loss_at < now:
                    entry.last_loss_at = now
                    page.dirty = True

    def disruption_count(self, team: str) -> int:
        """The number of disruptions that count against a team's budget now."""
        return sum(entry.team == team for entry in self.entries())

    def disruptions_by_team(self) -> dict[str, int]:
        """The number of disruptions that count against each team's budget now."""
        counts: dict[str, int] = dict.fromkeys(self.budgets, 0)
        for entry in self.entries():
            counts[entry.team] = counts.get(entry.team, 0) + 1
        return counts

    def update_recovery(self, running_tasks: Callable[[str], int | None], now: float) -> None:
        """Mark the jobs that have recovered, and remove entries that no longer count.

        `running_tasks` returns how many tasks of a job run and are not being stopped, or None once the job has ended.
        If all unfinished tasks of a job run, it returns a number that is large enough for the job to count as
        recovered.
        """
        for page in self.pages.values():
            counted_entries: list[Disruption] = []
            for entry in page.entries:
                if not entry.recovered:
                    running = running_tasks(entry.job_id)
                    if running is None or running >= entry.running_before:
                        entry.recovered = True
                        page.dirty = True
                if not (entry.recovered and self._period_is_over(entry, now)):
                    counted_entries.append(entry)
            if len(counted_entries) < len(page.entries):
                page.entries = counted_entries
                page.dirty = True

    def _period_is_over(self, entry: Disruption, now: float) -> bool:
        budget = self.budgets.get(entry.team)
        return budget is None or now > entry.last_loss_at + budget.period_s + self.clock_skew_s
