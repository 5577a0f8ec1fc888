"""Which machines of a drain come next and which jobs are stopped there: a pure function of what is known.

A machine is cordoned first. Its tasks may end by themselves for a while; then the jobs that are left are stopped, the
cheapest machine first, as far as the budgets of all their teams allow it and there is room for them elsewhere. A
machine is emptied in one go where the budgets allow that, so that no job is stopped for a machine that another team's
budget holds back all the same. Only one that has more jobs of a team than its whole budget goes job by job.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from hookwall.scheduling.placement import FreeCapacity, ResourceRequest, place

Taken = tuple[FreeCapacity, ResourceRequest, int]  # room that so many tasks of a job would take


class WaitKind(Enum):
    """Why a drain, or one machine of it, does not go on."""

    BUDGET = "budget"
    NO_BUDGET = "no budget"
    ROOM = "room"
    ENDING = "ending"
    STOPPING = "stopping"
    SILENT = "silent"
    BOOTING = "booting"
    OTHER_DRAIN = "other drain"
    HELD = "held"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Wait:
    """One reason to wait: what kind, of which machine, and the team, job, task or drain that it is about."""

    kind: WaitKind
    machine: str
    subject: str = ""

    def text(self) -> str:
        """The reason as operators read it."""
        return _TEXTS[self.kind].format(machine=self.machine, subject=self.subject)


_TEXTS = {
    WaitKind.BUDGET: "the disruption budget of team {subject} is spent ({machine})",
    WaitKind.NO_BUDGET: "team {subject} has no disruption budget, and the drain was not started with --unbudgeted "
    "({machine})",
    WaitKind.ROOM: "no room elsewhere for {subject} ({machine})",
    WaitKind.ENDING: "tasks may still end by themselves ({machine})",
    WaitKind.STOPPING: "{subject} was told to stop and has not ended ({machine})",
    WaitKind.SILENT: "{machine} does not answer",
    WaitKind.BOOTING: "{machine} is not up yet",
    WaitKind.OTHER_DRAIN: "{machine} is being drained by {subject}",
    WaitKind.HELD: "{machine} is empty and waits to be released",
    WaitKind.LEAVING: "{machine} is empty and is being returned",
}

# What an operator can do something about comes first.
_URGENCY = [
    WaitKind.NO_BUDGET, WaitKind.BUDGET, WaitKind.ROOM, WaitKind.STOPPING, WaitKind.SILENT, WaitKind.OTHER_DRAIN,
    WaitKind.HELD, WaitKind.BOOTING, WaitKind.ENDING, WaitKind.LEAVING,
]  # fmt: skip


def explain(waits: Sequence[Wait]) -> str:
    """The most pressing reason, and how many more machines wait."""
    first = min(waits, key=lambda w: (_URGENCY.index(w.kind), w.machine), default=None)
    if first is None:
        return ""
    others = len({wait.machine for wait in waits}) - 1
    return first.text() + (f", and {others} more machines wait" if others > 0 else "")


@dataclass(frozen=True, slots=True)
class Occupant:
    """A job on one machine that would have to be stopped."""

    ref: str
    team: str
    cost: float  # work that is lost, in seconds of a machine
    ask: ResourceRequest  # what it needs elsewhere
    counted: bool = False  # whether its disruption counts already, as it has not recovered from the last one
    frees: tuple[tuple[int, int], ...] = ()  # tasks of the same gang on other machines that stop with it


@dataclass(frozen=True, slots=True)
class Candidate:
    """A machine of the drain."""

    name: str
    occupants: tuple[Occupant, ...] = ()
    waits: tuple[Wait, ...] = ()  # why nothing can be done here now
    cordoned: bool = False
    since: float = 0.0  # when it was cordoned
    busy: int = 0  # tasks there of any kind, also those that were told to stop

    def cost(self) -> float:
        """Work that is lost if all that is there is stopped."""
        return sum(occupant.cost for occupant in self.occupants)


@dataclass(frozen=True, slots=True)
class Terms:
    """What the drain was asked to respect."""

    batch: int
    finish_s: float
    unbudgeted: bool = False
    hurry: bool = False  # its deadline has passed, and it is to wait for nothing but budgets


@dataclass(slots=True)
class Budgets:
    """What is left of each team's budget, and the whole of it; teams that are not named have none."""

    left: dict[str, int] = field(default_factory=dict)
    whole: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Stop:
    """Jobs that are to be stopped on a machine."""

    machine: str
    occupants: tuple[Occupant, ...]


@dataclass(slots=True)
class Plan:
    """What is to be done now, and why no more."""

    cordon: list[str] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    waits: list[Wait] = field(default_factory=list)
    homeless: list[Occupant] = field(default_factory=list)  # jobs for which machines would have to be rented


def plan(
    terms: Terms,
    candidates: Sequence[Candidate],
    budgets: Budgets,
    rooms: Sequence[FreeCapacity],
    now: float,
    in_time: Callable[[], bool] = lambda: True,
) -> Plan:
    """Decide the next steps of one drain. `budgets` and `rooms` are used up by what is decided.

    `in_time`: whether there is time to look at one more machine; the rest waits for the next call.
    """
    result = Plan()
    cordoned = [c for c in candidates if c.cordoned]
    for candidate in sorted(cordoned, key=_cheapest):
        if candidate.waits:
            result.waits.extend(candidate.waits)
        elif candidate.occupants and not in_time():
            break
        else:
            _stop(terms, candidate, budgets, rooms, now, result)
    _cordon(terms, candidates, budgets, result, in_time)
    return result


def _cordon(
    terms: Terms, candidates: Sequence[Candidate], budgets: Budgets, result: Plan, in_time: Callable[[], bool]
) -> None:
    """Choose the next machines: those that can be emptied soonest beside what is cordoned already, then the cheapest.

    By cost alone a batch came to hold jobs of one team only, and the other teams' budgets stayed unused.
    """
    needed: Counter[str] = Counter()
    spare = terms.batch
    for candidate in candidates:
        if candidate.cordoned:
            needed.update(_spends(candidate))
            spare -= 1
    choices: dict[str, tuple[Candidate, Counter[str]]] = {}
    for candidate in candidates:
        if candidate.waits and not candidate.cordoned:
            result.waits.extend(candidate.waits)
        elif spare > 0 and not candidate.cordoned and not _never_empty(terms, candidate, budgets, result):
            choices[candidate.name] = candidate, _spends(candidate)
    order = {name: _cheapest(candidate) for name, (candidate, _) in choices.items()}
    for _ in range(min(spare, len(choices))):
        if result.cordon and not in_time():
            return
        chosen = min(choices, key=lambda name: (_periods(choices[name][1], needed, budgets), order[name]))
        needed.update(choices.pop(chosen)[1])
        result.cordon.append(chosen)


def _spends(candidate: Candidate) -> Counter[str]:
    """How much of each team's budget emptying a machine takes."""
    return Counter(occupant.team for occupant in candidate.occupants if not occupant.counted)


def _periods(spends: Counter[str], needed: Counter[str], budgets: Budgets) -> float:
    """How many of its teams' periods it takes to empty a machine after what is needed already."""
    return max(((needed[t] + n) / max(1, budgets.whole[t]) for t, n in spends.items() if t in budgets.whole), default=0)


def _cheapest(candidate: Candidate) -> tuple[float, int, str]:
    return candidate.cost(), candidate.busy, candidate.name


def _never_empty(terms: Terms, candidate: Candidate, budgets: Budgets, result: Plan) -> bool:
    """Whether a team there has no budget at all, so that cordoning the machine would only idle it."""
    for occupant in candidate.occupants:
        if occupant.team not in budgets.whole and not terms.unbudgeted:
            result.waits.append(Wait(WaitKind.NO_BUDGET, candidate.name, occupant.team))
            return True
    return False


def _stop(
    terms: Terms, candidate: Candidate, budgets: Budgets, rooms: Sequence[FreeCapacity], now: float, result: Plan
) -> None:
    """Stop what may be stopped on a cordoned machine."""
    if not candidate.occupants:
        return
    if not terms.hurry and now - candidate.since < terms.finish_s:
        result.waits.append(Wait(WaitKind.ENDING, candidate.name))
        return
    chosen = _within_budgets(terms, candidate, budgets, result)
    if chosen and not terms.hurry:
        chosen = _with_room(candidate, chosen, rooms, result)
    if not chosen:
        return
    for occupant in chosen:
        if not occupant.counted and occupant.team in budgets.left:
            budgets.left[occupant.team] -= 1
    result.stops.append(Stop(candidate.name, tuple(chosen)))


def _within_budgets(terms: Terms, candidate: Candidate, budgets: Budgets, result: Plan) -> list[Occupant]:
    """The jobs there that budgets allow to be stopped now: all, or where they never allow all, the cheapest."""
    need: dict[str, int] = {}
    for occupant in candidate.occupants:
        if not occupant.counted:
            need[occupant.team] = need.get(occupant.team, 0) + 1
    unlimited = terms.unbudgeted
    lacking = [t for t, n in need.items() if n > budgets.left.get(t, 0) and not (unlimited and t not in budgets.whole)]
    if not lacking:
        return list(candidate.occupants)
    for team in sorted(lacking):
        kind = WaitKind.BUDGET if team in budgets.whole else WaitKind.NO_BUDGET
        result.waits.append(Wait(kind, candidate.name, team))
    if any(need[team] <= budgets.whole.get(team, 0) or budgets.left.get(team, 0) <= 0 for team in lacking):
        return []
    left = dict(budgets.left)
    chosen: list[Occupant] = []
    for occupant in sorted(candidate.occupants, key=lambda o: (o.cost, o.ref)):
        if not occupant.counted and occupant.team in lacking:
            if left[occupant.team] <= 0:
                continue
            left[occupant.team] -= 1
        chosen.append(occupant)
    return chosen


def _with_room(
    candidate: Candidate, chosen: list[Occupant], rooms: Sequence[FreeCapacity], result: Plan
) -> list[Occupant]:
    """The same if there is room for all of them elsewhere, which is used up; else none."""
    by_index = {room.index: room for room in rooms}
    taken: list[Taken] = []
    missing = [occupant for occupant in chosen if not _move(occupant, by_index, taken)]
    if not missing:
        return chosen
    for room, ask, tasks in taken:
        _take(ask, room, -tasks)
    for occupant in missing:
        result.waits.append(Wait(WaitKind.ROOM, candidate.name, occupant.ref))
        result.homeless.append(occupant)
    return []


def _move(occupant: Occupant, rooms: dict[int, FreeCapacity], taken: list[Taken]) -> bool:
    """Take room for a job elsewhere. False, and nothing taken, if there is not enough."""
    ask = occupant.ask
    freed = [(rooms[index], n) for index, n in occupant.frees if index in rooms]
    for room, n in freed:
        _take(ask, room, -n)
    got = place(ask, list(rooms.values()))
    if sum(n for _, n in got) < ask.count:
        for room, n in freed:
            _take(ask, room, n)
        return False
    taken.extend((room, ask, -n) for room, n in freed)
    for index, n in got:
        _take(ask, rooms[index], n)
        taken.append((rooms[index], ask, n))
    return True


def _take(ask: ResourceRequest, room: FreeCapacity, tasks: int) -> None:
    room.cpus -= tasks * ask.cpus
    room.gpus -= tasks * ask.gpus
    room.memory -= tasks * ask.memory
