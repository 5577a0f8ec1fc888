"""Rounds of decisions: which waiting job goes where, and who has to make room.

A round has a time budget. Jobs are taken in order (within a guarantee, rank, arrival); a round that
runs out of time goes on, the next time, with the job at which it stopped.
"""

import logging
import math
import time
from collections.abc import Callable, Container
from itertools import islice

from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import DONE, OPEN, Job
from hookwall.jobs.job_table import JobTable
from hookwall.scheduling.fit import task_fit
from hookwall.scheduling.image_affinity import CACHED_IMAGE_GAIN_S, STARVATION_S, ImageAffinity
from hookwall.scheduling.placement import EPSILON, FreeCapacity, ResourceRequest, place
from hookwall.scheduling.preemption import Preemption
from hookwall.scheduling.quotas import Quotas
from hookwall.scheduling.reservations import Reservations
from hookwall.scheduling.round_state import (
    QueuedJob,
    ResourceUsage,
    RoundState,
    StartRecordBudget,
    recordable_start_count,
)
from hookwall.storage.job_records import plain_allocations_bytes
from hookwall.workers.fleet import Fleet

log = logging.getLogger(__name__)

ROUND_CORE_S = 0.011  # of a core, for one round: 30 ms on a third of one
MAX_ROUND_S = 0.12  # reports and health checks wait meanwhile
MAX_UNSTORED_JOBS = 60  # jobs with starts that wait to be stored
RESERVE_AFTER_S = 1.0


class Scheduler:
    """The leader's decisions about tasks. It changes jobs and fleet in memory; the writer stores."""

    def __init__(
        self,
        params: PlatformParameters,
        table: JobTable,
        fleet: Fleet,
        clock: Callable[[], float],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.params, self.table, self.fleet, self.clock, self.wall = params, table, fleet, clock, wall
        self.team_settings = list(params.teams)
        # A budget of time that stayed as it was when the share was halved cut each round's work to a half as well.
        self.budget_s = min(MAX_ROUND_S, ROUND_CORE_S / max(0.01, params.machine_limits.core_share))
        self.resume_key: tuple | None = None
        self.waiting: dict[str, QueuedJob] = {}
        # Jobs that a drain has stopped (drains/): room was found for them, which they leave to nobody.
        self.relocated: Container[str] = ()
        self.unstored_job_count: Callable[[], int] = lambda: 0
        # How many bytes the starts of one job may take in the plain form of its record (job_writer.py).
        plain = plain_allocations_bytes(params.state.value_kb)
        self.start_record_budget: Callable[[], StartRecordBudget] = lambda: StartRecordBudget(plain, plain)
        self.latest_start_s: dict[str, float] = {}  # when a class is expected to have begun at the latest
        for o in params.objectives:
            if o.kind == "wait" and o.job_class and o.within_s:
                self.latest_start_s[o.job_class] = max(o.within_s, self.latest_start_s.get(o.job_class, 0.0))
        self.quotas = Quotas(self.team_settings, table)
        self.image_affinity = ImageAffinity(self.waiting, fleet, wall, self.latest_start_s)
        self.preemption = Preemption(self.team_settings, fleet, self.resource_request)
        self.reservations = Reservations(table, fleet, self.waiting, self.image_affinity, self.preemption)

    # -- the picture ---------------------------------------------------------------------------

    def round_state(self, now: float) -> RoundState:
        """Free room on each usable machine, and what each team may be using."""
        state = RoundState()
        fleet = self.fleet
        for m in fleet.machines.values():
            if m.reserved_for and not self._still_waits(m.reserved_for):
                m.reserved_for = ""
            if not fleet.is_schedulable(m, now):
                continue
            room = fleet.free_capacity(m)
            state.machines[m.index] = room
            if room.gpus > EPSILON:
                state.free[m.index] = room
            if m.reserved_for:
                state.held[m.index] = m.reserved_for
        for job in self.table.open_jobs.values():
            if job.spec is None or not (job.allocations or job.unrecorded_sightings):
                continue
            there = len(job.allocations) + len(job.unrecorded_sightings)
            u = state.usage.setdefault(job.team_index, ResourceUsage())
            u.cpus += job.spec.cpus * there
            u.gpus += job.spec.gpus * there
        return state

    def _still_waits(self, ref: str) -> bool:
        job = self.table.open_jobs.get(ref)
        return job is not None and job.phase == OPEN and ref in self.waiting

    # -- a round -------------------------------------------------------------------------------

    def run_round(self) -> bool:
        """Decide what can be decided now. True if the round ran out of time."""
        now = self.clock()
        self._tidy(now)
        self.reservations.measure(now)
        pending: list[Job] = []
        for job in self.table.open_jobs.values():
            if job.phase != OPEN or job.spec is None or now < job.retry_not_before:
                continue
            if not job.pending_tasks(1) or (job.spec.gang and (job.allocations or job.unrecorded_sightings)):
                self.waiting.pop(job.job_id, None)
                continue
            pending.append(job)
        for ref in [r for r in self.waiting if r not in self.table.open_jobs]:
            del self.waiting[ref]
        if not pending:
            self.resume_key = None
            return False
        firm = self.quotas.jobs_within_guarantee()
        queue = [((job.job_id not in firm, job.rank, job.queued_at, job.job_id), job) for job in pending]
        queue.sort(key=lambda q: q[0])
        start = 0
        if self.resume_key is not None:
            start = next((i for i, q in enumerate(queue) if q[0] >= self.resume_key), 0)
        state = self.round_state(now)
        self.reservations.keep(state)
        self.resume_key = self._serve_all(queue[start:], state, firm, now)
        self.reservations.follow(state, now)
        return self.resume_key is not None or start > 0

    def _serve_all(self, queue: list[tuple[tuple, Job]], state: RoundState, firm: set[str], now: float) -> tuple | None:
        """Serve jobs in order while there is time; the key of the one to go on with, or None."""
        fresh = self.unstored_job_count()
        for i, (key, job) in enumerate(queue):
            if i > 0 and self.clock() - now > self.budget_s:
                log.debug("round out of time after %d of %d jobs", i, len(queue))
                return key
            if fresh > MAX_UNSTORED_JOBS:
                return key
            was = job.has_unsaved_starts
            self._serve(job, state, job.job_id in firm, now)
            fresh += job.has_unsaved_starts and not was
        return None

    def _tidy(self, now: float) -> None:
        """Finish jobs whose tasks are all done; end what is left of broken gangs."""
        for job in list(self.table.open_jobs.values()):
            if job.phase == OPEN and job.spec is not None and job.task_count and job.done_count >= job.task_count:
                job.phase = DONE
                job.finished_at = self.wall()
                job.has_unsaved_changes = True
            broken = job.spec is not None and job.spec.gang and 0 < len(job.allocations) < job.task_count
            if job.phase == OPEN and broken and not job.done_count:
                for a in job.allocations.values():
                    self.fleet.request_stop(job, a, 0.0, "its gang is incomplete")

    def resource_request(self, job: Job, count: int) -> ResourceRequest:
        spec = job.spec
        assert spec is not None
        in_zone: dict[int, int] = {}
        if spec.one_zone or spec.spread or spec.service:
            machines = [a.machine for a in job.allocations.values()]
            machines.extend(name for names in job.unrecorded_sightings.values() for name in names)
            for machine in machines:
                zone = self.fleet.zone_of(machine)
                in_zone[zone] = in_zone.get(zone, 0) + 1
        return ResourceRequest(
            count,
            job.task_count,
            spec.gang,
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            job.image_index,
            job.allowed_type_indices,
            job.zone_index,
            spec.one_zone,
            spec.spread,
            spec.spot,
            spec.service,
            in_zone,
        )

    def _serve(self, job: Job, state: RoundState, firm: bool, now: float) -> None:
        """Place what can be placed of one job; see to room for the rest."""
        spec = job.spec
        assert spec is not None
        count = (
            job.task_count
            if spec.gang
            else min(job.pending_count(), recordable_start_count(job, self.start_record_budget()))
        )
        admitted = self.quotas.admitted_task_count(job, state)
        if admitted < (count if spec.gang else 1):
            self.waiting.pop(job.job_id, None)  # room would not help: it waits for its own team
            return
        count = min(count, admitted)
        ask = self.resource_request(job, count)
        got = self._choose(job, ask, state, self._rooms(job, ask, state, now), firm, now)
        if got and self._better_warm(job, ask, state, got, firm, now):
            return
        placed = sum(n for _, n in got)
        if placed:
            self._start(job, state, got, now)
        if placed < count:
            self._wait_for_room(job, ask, state, count - placed, placed > 0, firm, now)
        else:
            self.waiting.pop(job.job_id, None)

    def _rooms(self, job: Job, ask: ResourceRequest, state: RoundState, now: float) -> list[FreeCapacity]:
        """The machines from which the job may choose now."""
        starves = self._starves(job, now)
        # Not for ever: the machine may be the only one, and what was wrong with it may be over.
        shuns = job.failures_by_machine and now - job.last_failure_at < STARVATION_S
        rooms = [
            r for i, r in state.candidates(ask.gpus).items()
            if (state.held.get(i, job.job_id) == job.job_id or (starves and self.reservations.reserved_in_vain(i, now)))
            and not (shuns and job.failures_by_machine.get(self.fleet.machines_by_index[i].name, 0) >= 2)
        ]  # fmt: skip
        if ask.gang:
            return self.image_affinity.without_contested_for_gang(job, ask, rooms, state, now)
        return self.image_affinity.without_contested(job, rooms, state, now)

    def _start(self, job: Job, state: RoundState, got: list[tuple[int, int]], now: float) -> None:
        """Decide to start tasks: so many on each of these machines, all with one attempt number."""
        spec = job.spec
        assert spec is not None
        placed = sum(n for _, n in got)
        tasks = iter(job.pending_tasks(placed))
        attempt = job.next_attempt
        job.next_attempt += 1
        for index, n in got:
            machine = self.fleet.machines_by_index[index]
            for task in islice(tasks, n):
                self.fleet.allocate(job, task, machine, attempt, now)
            state.take(index, job, n)
            self.reservations.reservation_times.pop(index, None)
            if machine.reserved_for == job.job_id:
                machine.reserved_for = ""
                state.held.pop(index, None)
        used = state.usage.setdefault(job.team_index, ResourceUsage())
        used.cpus += spec.cpus * placed
        used.gpus += spec.gpus * placed
        if log.isEnabledFor(logging.DEBUG):
            where = ",".join(f"{self.fleet.machines_by_index[i].name}*{n}" for i, n in got)
            log.debug("%s: %d tasks placed on %s", job.job_id, placed, where)

    def _wait_for_room(
        self, job: Job, ask: ResourceRequest, state: RoundState, left: int, served: bool, firm: bool, now: float
    ) -> None:
        """Queue what is left of a job: stop others for it where that is allowed, reserve machines for a gang."""
        queued = self.waiting.get(job.job_id)
        if queued is None:
            patient_since = -math.inf if job.job_id in self.relocated else now
            queued = self.waiting[job.job_id] = QueuedJob(job, left, now, last_served_at=patient_since)
        elif served:
            queued.last_served_at = now
            # As long as it is served it can go on being choosy. When its patience counted from the
            # first time, each job of a long queue took whatever came, and three in four tasks fetched.
            queued.declining_since = -1.0
        queued.count = left
        missing = self.preemption.preempt_for(job, state, left, firm, now)
        if ask.gang and missing > 0 and now - queued.since > RESERVE_AFTER_S:
            self.reservations.reserve(job, ask, state, now)

    def _choose(
        self, job: Job, ask: ResourceRequest, state: RoundState, rooms: list[FreeCapacity], firm: bool, now: float
    ) -> list[tuple[int, int]]:
        """HAS over the machines that the job may have; kept ones only if nothing else will do."""
        starves = self._starves(job, now)
        if (
            (state.kept or state.set_aside_for_waiting)
            and not starves
            and job.rank <= self.reservations.whole_machine_rank
            and not task_fit(job, self.fleet).needs_whole_machine
        ):
            if ask.spot:
                # Older arrays refilled each GPU of the machines that a gang waited for; they have the
                # cheap ones and the rest, and gangs have nothing else.
                rooms = [r for r in rooms if r.index not in state.set_aside_for_waiting]
            got = place(ask, [r for r in rooms if r.index not in state.kept])
            if not firm or sum(n for _, n in got) >= ask.count:
                return got
        return place(ask, rooms)

    def _starves(self, job: Job, now: float) -> bool:
        """Whether a job has had nothing for so long that it need not leave machines to gangs any more."""
        w = self.waiting.get(job.job_id)
        return job.job_id in self.relocated or (w is not None and now - w.last_served_at > STARVATION_S)

    def _better_warm(
        self, job: Job, ask: ResourceRequest, state: RoundState, got: list[tuple[int, int]], firm: bool, now: float
    ) -> bool:
        """Whether to wait for a machine that has the image, because making room is faster than a fetch."""
        spec = job.spec
        assert spec is not None
        if not spec.gang or job.task_count > 1:
            return False
        room = state.machines[got[0][0]]
        fetch = self.fleet.image_fetch_s(room.type, spec.image_gb)
        if job.image_index in room.cached_images or fetch < CACHED_IMAGE_GAIN_S:
            return False
        w = self.waiting.get(job.job_id)
        if self.image_affinity.declines_machine(job, room, fetch, w, state, now):
            return True
        if w is not None and now - w.since > CACHED_IMAGE_GAIN_S:
            return False
        # Only a machine that has the image is worth waiting for, not any that is held for the job.
        held = any(
            ref == job.job_id and i in state.machines and job.image_index in state.machines[i].cached_images
            for i, ref in state.held.items()
        )
        if not held and self.preemption.preempt_for(job, state, 1, firm, now, warm_only=True) > 0:
            return False
        if w is None:
            self.waiting[job.job_id] = QueuedJob(job, 1, now, last_served_at=now)
        return True
