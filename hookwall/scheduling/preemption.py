"""Making room: which running tasks are stopped for a job that waits.

PROTOCOL, "Preemption": work of lower rank may be stopped, and what a team uses beyond its guarantee where another
team is to be given its own.
"""

from collections.abc import Callable
from dataclasses import replace

from hookwall.config.platform import TeamQuota
from hookwall.jobs.job import OPEN, Allocation, Job
from hookwall.scheduling.placement import FreeCapacity, ResourceRequest, placeable_task_count, satisfies_constraints
from hookwall.scheduling.round_state import PreemptionOption, ResourceUsage, RoundState
from hookwall.workers.fleet import Fleet

SETTLED_AFTER_S = 30.0  # a start that lasts this long counts for its user
REFETCH_COST_S_PER_GB = 0.2  # for each GB of images that others would have to fetch again
GANG_COST_S_PER_TASK = 30.0  # for each task of a gang that is stopped: it needs room for all of them at once again


class Preemption:
    """Chooses what to stop, and tells the fleet."""

    def __init__(self, limits: list[TeamQuota], fleet: Fleet, ask: Callable[[Job, int], ResourceRequest]) -> None:
        self.team_settings, self.fleet, self.resource_request = limits, fleet, ask
        self.lowest_allocated_rank = -1  # of the work that is on machines

    def _may_stop(self, job: Job, firm: bool, other: Job, beyond: dict[int, ResourceUsage]) -> bool:
        """PROTOCOL, "Preemption": lower priority, or beyond the guarantee of another team."""
        if other is job or other.phase != OPEN or other.spec is None:
            return False
        if other.rank > job.rank and not (firm is False and self._is_firm(other, beyond)):
            return True
        if not firm or other.team_index == job.team_index:
            return False
        return not self._is_firm(other, beyond)

    def _is_firm(self, other: Job, beyond: dict[int, ResourceUsage]) -> bool:
        """Whether stopping one of its tasks would cut into its team's guarantee."""
        u = beyond.get(other.team_index)
        return u is None or self._firm(u)

    @staticmethod
    def _firm(u: ResourceUsage) -> bool:
        """Whether nothing is used beyond a guarantee."""
        return u.gpus <= 1e-6 and u.cpus <= 1e-6

    def _beyond(self, state: RoundState) -> dict[int, ResourceUsage]:
        """What each team uses beyond its guarantee."""
        out: dict[int, ResourceUsage] = {}
        for i, team in enumerate(self.team_settings):
            u = state.usage.get(i) or ResourceUsage()
            out[i] = ResourceUsage(max(0.0, u.cpus - team.cpus), max(0.0, u.gpus - team.gpus))
            if team.gpus and not team.cpus:
                out[i].cpus = 0.0
        return out

    def preempt_for(
        self, job: Job, state: RoundState, left: int, firm: bool, now: float, warm_only: bool = False
    ) -> int:
        """Stop what may be stopped so that the job's tasks fit. Returns how many still have no room."""
        ask = self.resource_request(job, left)
        holding = [
            i
            for i, ref in state.held.items()
            if ref == job.job_id
            and not (warm_only and i in state.machines and job.image_index not in state.machines[i].cached_images)
        ]
        for i in holding:
            left -= max(1, self._units_if(ask, i, lambda a, o: a.stop_grace_s is not None))
        if left <= 0:
            return 0
        beyond = self._beyond(state)
        if not self._any_victims(job, firm, beyond):
            return left
        zones = {state.machines[i].zone for i in holding if i in state.machines} if ask.one_zone else set()
        options = [
            o for o in self._options(job, ask, state, firm, beyond, now)
            if self._usable(job, o, state, zones, warm_only)
        ]  # fmt: skip
        options.sort(key=lambda o: (o.cost + self._fetch_s(job, state.machines[o.index]), o.index))
        if ask.one_zone and ask.gang:
            zone = self._zone(ask, state, options, left, job.image_index if warm_only else None)
            if zone is None:
                return left
            options = [o for o in options if state.machines[o.index].zone == zone]
            left = self._hold_free(job, ask, state, zone, left, warm_only)
        elif ask.gang and sum(o.count for o in options) < left:
            return left
        return self._stop(job, state, options, left, beyond)

    def _usable(self, job: Job, option: PreemptionOption, state: RoundState, zones: set[int], warm_only: bool) -> bool:
        """Whether a job may have room made there now."""
        room = state.machines[option.index]
        if option.index in state.held or (warm_only and job.image_index not in room.cached_images):
            return False
        if zones and room.zone not in zones:
            return False
        return all(a.stop_grace_s is None for _, a in option.victims)

    def _fetch_s(self, job: Job, room: FreeCapacity) -> float:
        """How long the job's image takes to fetch there."""
        assert job.spec is not None
        return 0.0 if job.image_index in room.cached_images else self.fleet.image_fetch_s(room.type, job.spec.image_gb)

    @staticmethod
    def _free_rooms(ask: ResourceRequest, state: RoundState, image: int | None) -> list[tuple[FreeCapacity, int]]:
        """Machines that nobody holds, with how many tasks fit now; if an image is named, only those that have it."""
        return [
            (room, n) for index, room in state.candidates(ask.gpus).items()
            if index not in state.held and (image is None or image in room.cached_images)
            and satisfies_constraints(ask, room) and (n := placeable_task_count(ask, room)) > 0
        ]  # fmt: skip

    def _zone(
        self, ask: ResourceRequest, state: RoundState, options: list[PreemptionOption], left: int, image: int | None
    ) -> int | None:
        """The zone of the cheapest option among those in which enough can be had; None if there is none."""
        can_have: dict[int, int] = {}
        for o in options:
            zone = state.machines[o.index].zone
            can_have[zone] = can_have.get(zone, 0) + o.count
        for room, n in self._free_rooms(ask, state, image):
            if room.zone in can_have:
                can_have[room.zone] += n
        return next((z for o in options if can_have[z := state.machines[o.index].zone] >= left), None)

    def _hold_free(
        self, job: Job, ask: ResourceRequest, state: RoundState, zone: int, left: int, warm_only: bool
    ) -> int:
        """Keep what is free in the zone for the gang as well; returns how many tasks have no room yet.

        Smaller work of lower rank took it while the rest was being freed, and the next round stopped some
        more for the same gang.
        """
        free = self._free_rooms(ask, state, job.image_index if warm_only else None)
        for room, n in sorted(free, key=lambda f: (job.image_index not in f[0].cached_images, f[0].index)):
            if left <= 0:
                break
            if room.zone == zone:
                self.reserve_machine(job, state, room.index)
                left -= n
        return left

    def _stop(
        self, job: Job, state: RoundState, options: list[PreemptionOption], left: int, beyond: dict[int, ResourceUsage]
    ) -> int:
        """Stop tasks, cheapest first, until there is room; returns how many tasks have none."""
        for option in options:
            if left <= 0:
                break
            if not self._charge(job, option.victims, beyond):
                continue
            for o, a in option.victims:
                assert o.spec is not None
                grace = o.spec.checkpoint_cost_s + 0.5 if o.spec.checkpoint_interval_s > 0 else 0.0
                self.fleet.request_stop(o, a, grace, f"room for {job.job_id}")
            self.reserve_machine(job, state, option.index)
            left -= option.count
        return left

    def reserve_machine(self, job: Job, state: RoundState, index: int) -> None:
        """Keep a machine for a job that waits, beyond this round."""
        self.fleet.machines_by_index[index].reserved_for = job.job_id
        state.held[index] = job.job_id

    def _any_victims(self, job: Job, firm: bool, beyond: dict[int, ResourceUsage]) -> bool:
        """Whether anything may be stopped for the job: mostly not, and a scan of all machines says so late."""
        if self.lowest_allocated_rank > job.rank:
            return True
        return firm and any(t != job.team_index and not self._firm(u) for t, u in beyond.items())

    def _options(
        self,
        job: Job,
        ask: ResourceRequest,
        state: RoundState,
        firm: bool,
        beyond: dict[int, ResourceUsage],
        now: float,
    ) -> list[PreemptionOption]:
        """Where room could be made for tasks of this size; found once a round for all jobs that ask alike."""
        key = (
            job.rank, firm, job.team_index if firm else -1, ask.gang, ask.count if ask.gang else min(ask.count, 8),
            ask.cpus, ask.gpus, ask.memory, ask.types, ask.zone, ask.spot,
        )  # fmt: skip
        found = state.preemption_options.get(key)
        if found is not None:
            return found
        found = state.preemption_options[key] = []
        for index, room in state.machines.items():
            if index in state.held or not satisfies_constraints(ask, room):
                continue
            victims = [
                (o, a) for o, a in self.fleet.machines_by_index[index].allocations.values()
                if a.stop_grace_s is None and not a.finished and self._may_stop(job, firm, o, beyond)
            ]  # fmt: skip
            if not victims:
                continue
            chosen, n = self._victims(ask, room, victims, ask.count, now)
            if n > 0:
                cost = (
                    sum(self.preemption_cost_s(o, a, now) for o, a in chosen) / n
                    + REFETCH_COST_S_PER_GB * room.on_demand_image_gb
                )
                found.append(PreemptionOption(cost, index, n, chosen))
        return found

    def _charge(self, job: Job, chosen: list[tuple[Job, Allocation]], beyond: dict[int, ResourceUsage]) -> bool:
        """Book what other teams give back. False, and nothing booked, if it is more than they borrowed."""
        back: dict[int, ResourceUsage] = {}
        for o, _ in chosen:
            assert o.spec is not None
            if o.rank <= job.rank:
                u = back.setdefault(o.team_index, ResourceUsage())
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

    def _units_if(self, ask: ResourceRequest, index: int, leaves: Callable[[Allocation, Job], bool]) -> int:
        """How many tasks fit once some of the machine's starts are gone."""
        m = self.fleet.machines_by_index[index]
        room = replace(self.fleet.free_capacity(m))
        for o, a in m.allocations.values():
            if o.spec is not None and leaves(a, o):
                room.cpus += o.spec.cpus
                room.gpus += o.spec.gpus
                room.memory += o.spec.memory_gb
        return placeable_task_count(ask, room)

    def preemption_cost_s(self, job: Job, a: Allocation, now: float) -> float:
        """What stopping a start costs, in seconds of somebody's time."""
        spec = job.spec
        if spec is None:
            return 0.0
        cost = 1.0 + spec.checkpoint_cost_s
        ran = now - a.running_since if a.running_since >= 0 else 0.0
        if spec.checkpoint_interval_s <= 0:
            cost += ran
        if a.running_since >= 0 and ran < SETTLED_AFTER_S:
            # A start that is stopped this early was none: its user still waits.
            cost += SETTLED_AFTER_S - ran
        if spec.gang:
            # All its tasks stop, and the next time it needs room for all of them at once.
            cost += GANG_COST_S_PER_TASK * len(job.allocations)
        return cost

    def _victims(
        self, ask: ResourceRequest, room: FreeCapacity, victims: list[tuple[Job, Allocation]], want: int, now: float
    ) -> tuple[list[tuple[Job, Allocation]], int]:
        """The cheapest of the candidates that make room for at least one task."""
        victims = sorted(victims, key=lambda v: (-v[0].rank, self.preemption_cost_s(v[0], v[1], now), -v[1].created_at))
        trial = FreeCapacity(room.index, room.type, room.zone, room.spot, room.cpus, room.gpus, room.memory)
        had = placeable_task_count(ask, trial)
        chosen: list[tuple[Job, Allocation]] = []
        best, best_at = 0, 0
        for o, a in victims:
            assert o.spec is not None
            trial.cpus += o.spec.cpus
            trial.gpus += o.spec.gpus
            trial.memory += o.spec.memory_gb
            chosen.append((o, a))
            n = placeable_task_count(ask, trial) - had
            if n > best:
                best, best_at = n, len(chosen)
                if best >= want:
                    break
        return chosen[:best_at], best
