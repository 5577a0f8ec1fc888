"""Making room: which running tasks are stopped for a job that waits.

PROTOCOL, "Preemption": work of lower rank may be stopped, and what a team uses beyond its guarantee where another
team is to be given its own.
"""

from collections.abc import Callable
from dataclasses import replace

from hookwall.config.platform import Team
from hookwall.jobs.job import OPEN, Active, Job
from hookwall.scheduling.placement import Ask, Room, allowed, units
from hookwall.scheduling.round_state import RoundState, StopOption, Usage
from hookwall.workers.fleet import Fleet

SETTLED_S = 30.0  # a start that lasts this long counts for its user
STOCK_COST_S = 0.2  # for each GB of images that others would have to fetch again
GANG_COST_S = 30.0  # for each task of a gang that is stopped: it needs room for all of them at once again


class Preemption:
    """Chooses what to stop, and tells the fleet."""

    def __init__(self, limits: list[Team], fleet: Fleet, ask: Callable[[Job, int], Ask]) -> None:
        self.limits, self.fleet, self.ask = limits, fleet, ask
        self.lowest_rank = -1  # of the work that is on machines

    def _may_stop(self, job: Job, firm: bool, other: Job, beyond: dict[int, Usage]) -> bool:
        """PROTOCOL, "Preemption": lower priority, or beyond the guarantee of another team."""
        if other is job or other.phase != OPEN or other.spec is None:
            return False
        if other.rank > job.rank and not (firm is False and self._is_firm(other, beyond)):
            return True
        if not firm or other.team == job.team:
            return False
        return not self._is_firm(other, beyond)

    def _is_firm(self, other: Job, beyond: dict[int, Usage]) -> bool:
        """Whether stopping one of its tasks would cut into its team's guarantee."""
        u = beyond.get(other.team)
        return u is None or self._firm(u)

    @staticmethod
    def _firm(u: Usage) -> bool:
        """Whether nothing is used beyond a guarantee."""
        return u.gpus <= 1e-6 and u.cpus <= 1e-6

    def _beyond(self, state: RoundState) -> dict[int, Usage]:
        """What each team uses beyond its guarantee."""
        out: dict[int, Usage] = {}
        for i, team in enumerate(self.limits):
            u = state.usage.get(i) or Usage()
            out[i] = Usage(max(0.0, u.cpus - team.cpus), max(0.0, u.gpus - team.gpus))
            if team.gpus and not team.cpus:
                out[i].cpus = 0.0
        return out

    def make_room(self, job: Job, state: RoundState, left: int, firm: bool, now: float, warm_only: bool = False) -> int:
        """Stop what may be stopped so that the job's tasks fit. Returns how many still have no room."""
        ask = self.ask(job, left)
        holding = [
            i for i, ref in state.held.items()
            if ref == job.ref and not (warm_only and i in state.rooms and job.image not in state.rooms[i].warm)
        ]  # fmt: skip
        for i in holding:
            left -= max(1, self._units_if(ask, i, lambda a, o: a.stop_grace is not None))
        if left <= 0:
            return 0
        beyond = self._beyond(state)
        if not self._any_victims(job, firm, beyond):
            return left
        zones = {state.rooms[i].zone for i in holding if i in state.rooms} if ask.one_zone else set()
        options = [
            o for o in self._options(job, ask, state, firm, beyond, now)
            if self._usable(job, o, state, zones, warm_only)
        ]  # fmt: skip
        options.sort(key=lambda o: (o.cost + self._fetch_s(job, state.rooms[o.index]), o.index))
        if ask.one_zone and ask.gang:
            zone = self._zone(ask, state, options, left, job.image if warm_only else None)
            if zone is None:
                return left
            options = [o for o in options if state.rooms[o.index].zone == zone]
            left = self._hold_free(job, ask, state, zone, left, warm_only)
        elif ask.gang and sum(o.count for o in options) < left:
            return left
        return self._stop(job, state, options, left, beyond)

    def _usable(self, job: Job, option: StopOption, state: RoundState, zones: set[int], warm_only: bool) -> bool:
        """Whether a job may have room made there now."""
        room = state.rooms[option.index]
        if option.index in state.held or (warm_only and job.image not in room.warm):
            return False
        if zones and room.zone not in zones:
            return False
        return all(a.stop_grace is None for _, a in option.victims)

    def _fetch_s(self, job: Job, room: Room) -> float:
        """How long the job's image takes to fetch there."""
        assert job.spec is not None
        return 0.0 if job.image in room.warm else self.fleet.fetch_s(room.type, job.spec.image_gb)

    @staticmethod
    def _free_rooms(ask: Ask, state: RoundState, image: int | None) -> list[tuple[Room, int]]:
        """Machines that nobody holds, with how many tasks fit now; if an image is named, only those that have it."""
        return [
            (room, n) for index, room in state.may_fit(ask.gpus).items()
            if index not in state.held and (image is None or image in room.warm)
            and allowed(ask, room) and (n := units(ask, room)) > 0
        ]  # fmt: skip

    def _zone(self, ask: Ask, state: RoundState, options: list[StopOption], left: int, image: int | None) -> int | None:
        """The zone of the cheapest option among those in which enough can be had; None if there is none."""
        can_have: dict[int, int] = {}
        for o in options:
            zone = state.rooms[o.index].zone
            can_have[zone] = can_have.get(zone, 0) + o.count
        for room, n in self._free_rooms(ask, state, image):
            if room.zone in can_have:
                can_have[room.zone] += n
        return next((z for o in options if can_have[z := state.rooms[o.index].zone] >= left), None)

    def _hold_free(self, job: Job, ask: Ask, state: RoundState, zone: int, left: int, warm_only: bool) -> int:
        """Keep what is free in the zone for the gang as well; returns how many tasks have no room yet.

        Smaller work of lower rank took it while the rest was being freed, and the next round stopped some
        more for the same gang.
        """
        free = self._free_rooms(ask, state, job.image if warm_only else None)
        for room, n in sorted(free, key=lambda f: (job.image not in f[0].warm, f[0].index)):
            if left <= 0:
                break
            if room.zone == zone:
                self.hold(job, state, room.index)
                left -= n
        return left

    def _stop(self, job: Job, state: RoundState, options: list[StopOption], left: int, beyond: dict[int, Usage]) -> int:
        """Stop tasks, cheapest first, until there is room; returns how many tasks have none."""
        for option in options:
            if left <= 0:
                break
            if not self._charge(job, option.victims, beyond):
                continue
            for o, a in option.victims:
                assert o.spec is not None
                grace = o.spec.save_s + 0.5 if o.spec.checkpoint_s > 0 else 0.0
                self.fleet.stop(o, a, grace, f"room for {job.ref}")
            self.hold(job, state, option.index)
            left -= option.count
        return left

    def hold(self, job: Job, state: RoundState, index: int) -> None:
        """Keep a machine for a job that waits, beyond this round."""
        self.fleet.by_index[index].held_for = job.ref
        state.held[index] = job.ref

    def _any_victims(self, job: Job, firm: bool, beyond: dict[int, Usage]) -> bool:
        """Whether anything may be stopped for the job: mostly not, and a scan of all machines says so late."""
        if self.lowest_rank > job.rank:
            return True
        return firm and any(t != job.team and not self._firm(u) for t, u in beyond.items())

    def _options(
        self, job: Job, ask: Ask, state: RoundState, firm: bool, beyond: dict[int, Usage], now: float
    ) -> list[StopOption]:
        """Where room could be made for tasks of this size; found once a round for all jobs that ask alike."""
        key = (
            job.rank, firm, job.team if firm else -1, ask.gang, ask.count if ask.gang else min(ask.count, 8),
            ask.cpus, ask.gpus, ask.memory, ask.types, ask.zone, ask.spot,
        )  # fmt: skip
        found = state.options.get(key)
        if found is not None:
            return found
        found = state.options[key] = []
        for index, room in state.rooms.items():
            if index in state.held or not allowed(ask, room):
                continue
            victims = [
                (o, a) for o, a in self.fleet.by_index[index].entries.values()
                if a.stop_grace is None and not a.finished and self._may_stop(job, firm, o, beyond)
            ]  # fmt: skip
            if not victims:
                continue
            chosen, n = self._victims(ask, room, victims, ask.count, now)
            if n > 0:
                cost = sum(self.loss(o, a, now) for o, a in chosen) / n + STOCK_COST_S * room.stock
                found.append(StopOption(cost, index, n, chosen))
        return found

    def _charge(self, job: Job, chosen: list[tuple[Job, Active]], beyond: dict[int, Usage]) -> bool:
        """Book what other teams give back. False, and nothing booked, if it is more than they borrowed."""
        back: dict[int, Usage] = {}
        for o, _ in chosen:
            assert o.spec is not None
            if o.rank <= job.rank:
                u = back.setdefault(o.team, Usage())
                u.gpus += o.spec.gpus
                u.cpus += o.spec.cpus
        for team, u in back.items():
            have = beyond.get(team)
            if have is not None and (u.gpus > have.gpus + 1e-6 or (u.gpus == 0 and u.cpus > have.cpus + 1e-6)):
                return False
        for team, u in back.items():
            if team in beyond:
                beyond[team].gpus -= u.gpus
                beyond[team].cpus -= u.cpus
        return True

    def _units_if(self, ask: Ask, index: int, leaves: Callable[[Active, Job], bool]) -> int:
        """How many tasks fit once some of the machine's starts are gone."""
        m = self.fleet.by_index[index]
        room = replace(self.fleet.room(m))
        for o, a in m.entries.values():
            if o.spec is not None and leaves(a, o):
                room.cpus += o.spec.cpus
                room.gpus += o.spec.gpus
                room.memory += o.spec.memory
        return units(ask, room)

    def loss(self, job: Job, a: Active, now: float) -> float:
        """What stopping a start costs, in seconds of somebody's time."""
        spec = job.spec
        if spec is None:
            return 0.0
        cost = 1.0 + spec.save_s
        ran = now - a.running_since if a.running_since >= 0 else 0.0
        if spec.checkpoint_s <= 0:
            cost += ran
        if a.running_since >= 0 and ran < SETTLED_S:
            # A start that is stopped this early was none: its user still waits.
            cost += SETTLED_S - ran
        if spec.gang:
            # All its tasks stop, and the next time it needs room for all of them at once.
            cost += GANG_COST_S * len(job.active)
        return cost

    def _victims(
        self, ask: Ask, room: Room, victims: list[tuple[Job, Active]], want: int, now: float
    ) -> tuple[list[tuple[Job, Active]], int]:
        """The cheapest of the candidates that make room for at least one task."""
        victims = sorted(victims, key=lambda v: (-v[0].rank, self.loss(v[0], v[1], now), -v[1].since))
        trial = Room(room.index, room.type, room.zone, room.spot, room.cpus, room.gpus, room.memory)
        had = units(ask, trial)
        chosen: list[tuple[Job, Active]] = []
        best, best_at = 0, 0
        for o, a in victims:
            assert o.spec is not None
            trial.cpus += o.spec.cpus
            trial.gpus += o.spec.gpus
            trial.memory += o.spec.memory
            chosen.append((o, a))
            n = units(ask, trial) - had
            if n > best:
                best, best_at = n, len(chosen)
                if best >= want:
                    break
        return chosen[:best_at], best
