"""Asks the planner about a drain as it is now, within a round's budget of time however large the fleet is."""

from collections.abc import Callable

from hookwall.drains.drain_table import DrainTable
from hookwall.drains.picture import Picture
from hookwall.drains.planner import Candidate, Plan, Terms, plan
from hookwall.drains.records import AtDeadline
from hookwall.scheduling.scheduler import Scheduler

SEARCH_EVERY_S = 5.0  # how often the next machines are looked for while none can be found


class PlanBuilder:
    """Looks at the machines that a drain works on, and for the next ones where its batch has room."""

    def __init__(
        self,
        table: DrainTable,
        picture: Picture,
        scheduler: Scheduler,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self.table, self.picture, self.scheduler, self.clock, self.wall = table, picture, scheduler, clock, wall
        self._search_at: dict[str, float] = {}  # not before this moment again
        self._cursor: dict[str, int] = {}  # where the search goes on

    def reset(self) -> None:
        """A new leadership."""
        self._search_at.clear()
        self._cursor.clear()

    def build(self, name: str) -> Plan:
        """What is to be done now for one drain."""
        record = self.table.drains[name].record
        now = self.clock()
        steps = self.table.steps_of(name)
        candidates = [self.picture.candidate(machine, step, name, now) for machine, step in steps.items()]
        searches = len(steps) < record.batch and now >= self._search_at.get(name, -1e9)
        if searches:
            candidates += self._next_candidates(name, now)
        hurry = record.at_deadline is AtDeadline.STOP_WAITING and record.overdue(self.wall())
        terms = Terms(record.batch, record.finish_s, record.unbudgeted, hurry)
        rooms = self.picture.rooms(now) if steps else []
        until = self.clock() + self.scheduler.budget_s
        decided = plan(
            terms, candidates, self.picture.budgets(), rooms, self.wall(), lambda: self.clock() < until
        )  # fmt: skip
        if searches and not decided.cordon:
            self._search_at[name] = now + SEARCH_EVERY_S
        return decided

    def _next_candidates(self, name: str, now: float) -> list[Candidate]:
        """Machines that might be next: as many as there is time for, beginning where the last search ended."""
        machines = self.table.machines[name]
        begin = self._cursor.get(name, 0)
        until = now + self.scheduler.budget_s
        found: list[Candidate] = []
        for at in range(len(machines)):
            if self.clock() > until:
                break
            machine = machines[(begin + at) % len(machines)]
            stored = self.table.steps.get(machine)
            step = None if stored is None else stored.record
            if step is None or step.drain != name:
                found.append(self.picture.candidate(machine, step, name, now))
            self._cursor[name] = begin + at + 1
        return found
