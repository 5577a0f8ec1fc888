"""Which jobs are disrupted, and what that leaves of each team's budget.

Whatever disrupts a job is entered here: drains, lost machines, preemption and spot notices. Only drains ask what is
left. An entry counts against its team's budget until the period is over and the job runs again as it did before; a job
that is disrupted once more after it had recovered counts once more. Entries of drains are stored before anything is
stopped; those of other causes, which nobody can hold back, soon after.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hookwall.config.operations import DisruptionBudget
from hookwall.drains.records import Disruption, DisruptionPage

ENTRY_BYTES = 72  # of JSON, for a job's id, a team's name and three numbers
LEAST_PAGE_ENTRIES = 8
MOST_PAGE_ENTRIES = 200


def allowance(budget: DisruptionBudget, running: int) -> int:
    """How many of a team's running jobs may be disrupted at a time.

    A share is rounded down, but never to nothing: a team with few jobs could else never be moved.
    """
    limits: list[int] = []
    if budget.jobs is not None:
        limits.append(budget.jobs)
    if budget.share is not None:
        limits.append(max(1, int(budget.share * running + 1e-9)) if budget.share > 0 else 0)
    return min(limits)


@dataclass(slots=True)
class Page:
    """One stored page: its entries, its stamp (0: not stored), and whether it has changed since."""

    entries: list[Disruption]
    stamp: int = 0
    dirty: bool = False


class Ledger:
    """All disruptions that still count. Kept by the leader; followers only hold what is stored."""

    def __init__(self, budgets: Iterable[DisruptionBudget], value_limit: int, margin_s: float) -> None:
        self.budgets = {budget.team: budget for budget in budgets}
        self.page_entries = max(LEAST_PAGE_ENTRIES, min(MOST_PAGE_ENTRIES, value_limit // ENTRY_BYTES))
        self.margin_s = margin_s  # by how much times of day of two nodes may differ
        self.pages: dict[int, Page] = {}

    # -- what is stored --------------------------------------------------------------------------

    def take(self, number: int, record: DisruptionPage, stamp: int) -> None:
        """A page as a new leader reads it."""
        self.pages[number] = Page(list(record.entries), stamp)

    def dirty(self) -> list[int]:
        """Pages that are to be written, or deleted if they have no entries."""
        return [number for number, page in self.pages.items() if page.dirty]

    def stored(self, number: int, stamp: int) -> None:
        """A page was written, or with stamp 0 deleted. It may have changed since."""
        page = self.pages[number]
        page.stamp = stamp
        if not page.entries and not stamp:
            del self.pages[number]

    # -- disruptions -----------------------------------------------------------------------------

    def entries(self) -> Iterable[Disruption]:
        """All entries."""
        for page in self.pages.values():
            yield from page.entries

    def open_entry(self, ref: str) -> Disruption | None:
        """The entry of a job that has not recovered."""
        return next((e for e in self.entries() if e.ref == ref and not e.restored), None)

    def spend(self, ref: str, team: str, ran: int, now: float) -> None:
        """A job loses running tasks. One that has not recovered from an earlier loss is not counted twice."""
        if team not in self.budgets:
            return
        for page in self.pages.values():
            for entry in page.entries:
                if entry.ref == ref and not entry.restored:
                    entry.at, entry.ran = now, max(entry.ran, ran)
                    page.dirty = True
                    return
        page = self._page_with_room()
        page.entries.append(Disruption(ref, team, now, ran))
        page.dirty = True

    def _page_with_room(self) -> Page:
        for page in self.pages.values():
            if len(page.entries) < self.page_entries:
                return page
        number = next(n for n in range(len(self.pages) + 1) if n not in self.pages)
        self.pages[number] = Page([])
        return self.pages[number]

    def begin_term(self, now: float) -> None:
        """A new leader: whatever has not recovered may have been lost until now.

        An entry is stored when a stop is decided. The leader that saw the tasks end a second or two later may have been
        refused by the state service, so its successor counted the period from too early.
        """
        for page in self.pages.values():
            for entry in page.entries:
                if not entry.restored and entry.at < now:
                    entry.at, page.dirty = now, True

    def used(self, team: str) -> int:
        """How many disruptions count against a team's budget now."""
        return sum(entry.team == team for entry in self.entries())

    def used_by_team(self) -> dict[str, int]:
        """The same for all teams."""
        used: dict[str, int] = dict.fromkeys(self.budgets, 0)
        for entry in self.entries():
            used[entry.team] = used.get(entry.team, 0) + 1
        return used

    def follow(self, running: Callable[[str], int | None], now: float) -> None:
        """Note which jobs have recovered, and drop what no longer counts.

        `running`: how many tasks of a job run now and are meant to go on, at least as many as it has left counting
        as recovered; None: the job is over.
        """
        for page in self.pages.values():
            kept: list[Disruption] = []
            for entry in page.entries:
                if not entry.restored:
                    runs = running(entry.ref)
                    if runs is None or runs >= entry.ran:
                        entry.restored = True
                        page.dirty = True
                if not (entry.restored and self._period_is_over(entry, now)):
                    kept.append(entry)
            if len(kept) < len(page.entries):
                page.entries, page.dirty = kept, True

    def _period_is_over(self, entry: Disruption, now: float) -> bool:
        budget = self.budgets.get(entry.team)
        return budget is None or now > entry.at + budget.period_s + self.margin_s
