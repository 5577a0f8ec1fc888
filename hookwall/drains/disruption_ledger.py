"""Which jobs are disrupted, and what that leaves of each team's disruption budget.

Whatever disrupts a job is entered here: drains, lost machines, preemption and spot notices. Only drains ask what is
left. Invariant: an entry counts against its team's budget until the period is over and the job runs again as it did
before; a job that is disrupted once more after it had recovered counts once more. Entries of drains are stored before
anything is stopped; those of other causes, which nobody can hold back, soon after.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hookwall.config.operations import DisruptionBudget
from hookwall.drains.records import Disruption, DisruptionPage

ENTRY_BYTES = 72  # of JSON, for a job's id, a team's name and three numbers
MIN_PAGE_ENTRIES = 8
MAX_PAGE_ENTRIES = 200
ROUNDING_TOLERANCE = 1e-9  # a share of 0.1 of 30 jobs is 3, whatever the floating point product is


def allowed_disruptions(budget: DisruptionBudget, running_jobs: int) -> int:
    """How many of a team's running jobs may be disrupted at a time.

    A share is rounded down, but never to nothing: a team with few jobs could else never be moved.
    """
    limits: list[int] = []
    if budget.jobs is not None:
        limits.append(budget.jobs)
    if budget.share is not None:
        limits.append(max(1, int(budget.share * running_jobs + ROUNDING_TOLERANCE)) if budget.share > 0 else 0)
    return min(limits)


@dataclass(slots=True)
class LedgerPage:
    """One stored page: its entries, its version (0: not stored), and whether it has changed since."""

    entries: list[Disruption]
    version: int = 0
    dirty: bool = False


class DisruptionLedger:
    """All disruptions that still count. The leader keeps it; followers only hold what is stored."""

    def __init__(self, budgets: Iterable[DisruptionBudget], value_limit: int, clock_skew_s: float) -> None:
        """An empty ledger.

        Args:
            budgets: the teams' budgets; disruptions of other teams are not entered.
            value_limit: bytes that a stored value may have.
            clock_skew_s: by how many seconds the times of day of two nodes may differ.
        """
        self.budgets = {budget.team: budget for budget in budgets}
        self.page_entries = max(MIN_PAGE_ENTRIES, min(MAX_PAGE_ENTRIES, value_limit // ENTRY_BYTES))
        self.clock_skew_s = clock_skew_s
        self.pages: dict[int, LedgerPage] = {}

    # -- what is stored --------------------------------------------------------------------------

    def load_page(self, number: int, record: DisruptionPage, version: int) -> None:
        """A page as a new leader reads it."""
        self.pages[number] = LedgerPage(list(record.entries), version)

    def dirty_pages(self) -> list[int]:
        """Pages that are to be written, or deleted if they have no entries."""
        return [number for number, page in self.pages.items() if page.dirty]

    def record_page_version(self, number: int, version: int) -> None:
        """A page was written, or with version 0 deleted. It may have changed since."""
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
        """The entry of a job that has not recovered."""
        return next((entry for entry in self.entries() if entry.job_id == job_id and not entry.recovered), None)

    def record_disruption(self, job_id: str, team: str, running_tasks: int, now: float) -> None:
        """A job loses running tasks. One that has not recovered from an earlier loss is not counted twice."""
        if team not in self.budgets:
            return
        for page in self.pages.values():
            for entry in page.entries:
                if entry.job_id == job_id and not entry.recovered:
                    entry.last_loss_at = now
                    entry.running_before = max(entry.running_before, running_tasks)
                    page.dirty = True
                    return
        page = self._page_with_room()
        page.entries.append(Disruption(job_id, team, now, running_tasks))
        page.dirty = True

    def _page_with_room(self) -> LedgerPage:
        for page in self.pages.values():
            if len(page.entries) < self.page_entries:
                return page
        number = next(number for number in range(len(self.pages) + 1) if number not in self.pages)
        self.pages[number] = LedgerPage([])
        return self.pages[number]

    def begin_leadership(self, now: float) -> None:
        """A new leader: whatever has not recovered may have been lost until now.

        An entry is stored when a stop is decided. The leader that saw the tasks end a second or two later may have been
        refused by the key-value store, so its successor counted the period from too early.
        """
        for page in self.pages.values():
            for entry in page.entries:
                if not entry.recovered and entry.last_loss_at < now:
                    entry.last_loss_at = now
                    page.dirty = True

    def disruption_count(self, team: str) -> int:
        """How many disruptions count against a team's budget now."""
        return sum(entry.team == team for entry in self.entries())

    def disruptions_by_team(self) -> dict[str, int]:
        """The same for all teams."""
        counts: dict[str, int] = dict.fromkeys(self.budgets, 0)
        for entry in self.entries():
            counts[entry.team] = counts.get(entry.team, 0) + 1
        return counts

    def update_recovery(self, running_tasks: Callable[[str], int | None], now: float) -> None:
        """Mark the jobs that have recovered, and drop entries that no longer count.

        `running_tasks`: how many tasks of a job run now and are meant to go on, at least as many as it has left
        counting as recovered; None: the job is over.
        """
        for page in self.pages.values():
            counting: list[Disruption] = []
            for entry in page.entries:
                if not entry.recovered:
                    running = running_tasks(entry.job_id)
                    if running is None or running >= entry.running_before:
                        entry.recovered = True
                        page.dirty = True
                if not (entry.recovered and self._period_is_over(entry, now)):
                    counting.append(entry)
            if len(counting) < len(page.entries):
                page.entries = counting
                page.dirty = True

    def _period_is_over(self, entry: Disruption, now: float) -> bool:
        budget = self.budgets.get(entry.team)
        return budget is None or now > entry.last_loss_at + budget.period_s + self.clock_skew_s
