"""Rounds of decisions: which waiting job goes where, and who has to make room.

A round has a time budget. Jobs are taken in order (within a guarantee, rank, arrival); a round that
runs out of time goes on, the next time, with the job at which it stopped.
"""

import logging
import math
import time
from collections.abc import Callable, Container
from itertools import islice

from hookwall.config.platform import Params
from hookwall.jobs.job import DONE, OPEN, Job
from hookwall.jobs.job_table import JobTable
from hookwall.scheduling.fit import fit_of
from hookwall.scheduling.image_affinity import STARVES_S, WARM_GAIN_S, ImageAffinity
from hookwall.scheduling.placement import EPS, Ask, Room, place
from hookwall.scheduling.preemption import Preemption
from hookwall.scheduling.quotas import TeamLimits
from hookwall.scheduling.reservations import Reservations
from hookwall.scheduling.round_state import QueuedJob, RoundState, StartRoom, Usage, most_starts
from hookwall.storage.job_records import plain_starts_bytes
from hookwall.workers.fleet import Fleet

log = logging.getLogger(__name__)

ROUND_CORE_S = 0.011  # of a core, for one round: 30 ms on a third of one
MOST_ROUND_S = 0.12  # reports and health checks wait meanwhile
MOST_FRESH = 60  # jobs with starts that wait to be stored
HOLD_AFTER_S = 1.0


class Scheduler:
    """The leader's decisions about tasks. It changes jobs and fleet in memory; the writer stores."""

    def __init__(
        self,
        params: Params,
        table: JobTable,
        fleet: Fleet,
        clock: Callable[[], float],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.params, self.table, self.fleet, self.clock, self.wall = params, table, fleet, clock, wall
        self.limits = list(params.teams)
        # A budget of time that stayed as it was when the share was halved cut each round's work to a half as well.
        self.budget_s = min(MOST_ROUND_S, ROUND_CORE_S / max(0.01, params.machine_limits.core_share))
        self.resume: tuple | None = None
        self.waiting: dict[str, QueuedJob] = {}
        # Jobs that a drain has stopped (drains/): room was found for them, which they leave to nobody.
        self.relocated: Container[str] = ()
        self.fresh_count: Callable[[], int] = lambda: 0
        # How many bytes the starts of one job may take in the plain form of its record (job_writer.py).
        plain = plain_starts_bytes(params.state.value_kb)
        self.start_room: Callable[[], StartRoom] = lambda: StartRoom(plain, plain)
        self.last_start: dict[str, float] = {}  # when a class is expected to have begun at the latest
        for o in params.objectives:
            if o.kind == "wait" and o.job_class and o.within_s:
                self.last_start[o.job_class] = max(o.within_s, self.last_start.get(o.job_class, 0.0))
        self.teams = TeamLimits(self.limits, table)
        self.affinity = ImageAffinity(self.waiting, fleet, wall, self.last_start)
        self.preemption = Preemption(self.limits, fleet, self.ask)
        self.reservations = Reservations(table, fleet, self.waiting, self.affinity, self.preemption)

    # -- the picture ---------------------------------------------------------------------------

    def view(self, now: float) -> RoundState:
        """Free room on each usable machine, and what each team may be using."""
        state = RoundState()
        fleet = self.fleet
        for m in fleet.machines.values():
            if m.held_for and not self._still_waits(m.held_for):
                m.held_for = ""
            if not fleet.usable(m, now):
                continue
            room = fleet.room(m)
            state.rooms[m.index] = room
            if room.gpus > EPS:
                state.free[m.index] = room
            if m.held_for:
                state.held[m.index] = m.held_for
        for job in self.table.open.values():
            if job.spec is None or not (job.active or job.unrecorded):
                continue
            there = len(job.active) + len(job.unrecorded)
            u = state.usage.setdefault(job.team, Usage())
            u.cpus += job.spec.cpus * there
            u.gpus += job.spec.gpus * there
        return state

    def _still_waits(self, ref: str) -> bool:
        job = self.table.open.get(ref)
        return job is not None and job.phase == OPEN and ref in self.waiting

    # -- a round -------------------------------------------------------------------------------

    def round(self) -> bool:
        """Decide what can be decided now. True if the round ran out of time."""
        now = self.clock()
        self._tidy(now)
        self.reservations.measure(now)
        pending: list[Job] = []
        for job in self.table.open.values():
            if job.phase != OPEN or job.spec is None or now < job.not_before:
                continue
            if not job.pending(1) or (job.spec.gang and (job.active or job.unrecorded)):
                self.waiting.pop(job.ref, None)
                continue
            pending.append(job)
        for ref in [r for r in self.waiting if r not in self.table.open]:
            del self.waiting[ref]
        if not pending:
            self.resume = None
            return False
        firm = self.teams.guaranteed()
        queue = [((job.ref not in firm, job.rank, job.arrival, job.ref), job) for job in pending]
        queue.sort(key=lambda q: q[0])
        start = 0
        if self.resume is not None:
            start = next((i for i, q in enumerate(queue) if q[0] >= self.resume), 0)
        state = self.view(now)
        self.reservations.keep(state)
        self.resume = self._serve_all(queue[start:], state, firm, now)
        self.reservations.follow(state, now)
        return self.resume is not None or start > 0

    def _serve_all(self, queue: list[tuple[tuple, Job]], state: RoundState, firm: set[str], now: float) -> tuple | None:
        """Serve jobs in order while there is time; the key of the one to go on with, or None."""
        fresh = self.fresh_count()
        for i, (key, job) in enumerate(queue):
            if i > 0 and self.clock() - now > self.budget_s:
                log.debug("round out of time after %d of %d jobs", i, len(queue))
                return key
            if fresh > MOST_FRESH:
                return key
            was = job.fresh
            self._serve(job, state, job.ref in firm, now)
            fresh += job.fresh and not was
        return None

    def _tidy(self, now: float) -> None:
        """Finish jobs whose tasks are all done; end what is left of broken gangs."""
        for job in list(self.table.open.values()):
            if job.phase == OPEN and job.spec is not None and job.tasks and job.n_done >= job.tasks:
                job.phase = DONE
                job.ended = self.wall()
                job.dirty = True
            broken = job.spec is not None and job.spec.gang and 0 < len(job.active) < job.tasks
            if job.phase == OPEN and broken and not job.n_done:
                for a in job.active.values():
                    self.fleet.stop(job, a, 0.0, "its gang is incomplete")

    def ask(self, job: Job, count: int) -> Ask:
        spec = job.spec
        assert spec is not None
        in_zone: dict[int, int] = {}
        if spec.one_zone or spec.spread or spec.service:
            machines = [a.machine for a in job.active.values()]
            machines.extend(name for names in job.unrecorded.values() for name in names)
            for machine in machines:
                zone = self.fleet.zone_of(machine)
                in_zone[zone] = in_zone.get(zone, 0) + 1
        return Ask(
            count, job.tasks, spec.gang, spec.cpus, spec.gpus, spec.memory, job.image, job.types, job.zone,
            spec.one_zone, spec.spread, spec.spot, spec.service, in_zone,
        )  # fmt: skip

    def _serve(self, job: Job, state: RoundState, firm: bool, now: float) -> None:
        """Place what can be placed of one job; see to room for the rest."""
        spec = job.spec
        assert spec is not None
        count = job.tasks if spec.gang else min(job.n_pending(), most_starts(job, self.start_room()))
        admitted = self.teams.quota(job, state)
        if admitted < (count if spec.gang else 1):
            self.waiting.pop(job.ref, None)  # room would not help: it waits for its own team
            return
        count = min(count, admitted)
        ask = self.ask(job, count)
        got = self._choose(job, ask, state, self._rooms(job, ask, state, now), firm, now)
        if got and self._better_warm(job, ask, state, got, firm, now):
            return
        placed = sum(n for _, n in got)
        if placed:
            self._start(job, state, got, now)
        if placed < count:
            self._wait_for_room(job, ask, state, count - placed, placed > 0, firm, now)
        else:
            self.waiting.pop(job.ref, None)

    def _rooms(self, job: Job, ask: Ask, state: RoundState, now: float) -> list[Room]:
        """The machines from which the job may choose now."""
        starves = self._starves(job, now)
        # Not for ever: the machine may be the only one, and what was wrong with it may be over.
        shuns = job.errors and now - job.failed_at < STARVES_S
        rooms = [
            r for i, r in state.may_fit(ask.gpus).items()
            if (state.held.get(i, job.ref) == job.ref or (starves and self.reservations.idles(i, now)))
            and not (shuns and job.errors.get(self.fleet.by_index[i].name, 0) >= 2)
        ]  # fmt: skip
        if ask.gang:
            return self.affinity.spared(job, ask, rooms, state, now)
        return self.affinity.uncontested(job, rooms, state, now)

    def _start(self, job: Job, state: RoundState, got: list[tuple[int, int]], now: float) -> None:
        """Decide to start tasks: so many on each of these machines, all with one attempt number."""
        spec = job.spec
        assert spec is not None
        placed = sum(n for _, n in got)
        tasks = iter(job.pending(placed))
        attempt = job.next_attempt
        job.next_attempt += 1
        for index, n in got:
            machine = self.fleet.by_index[index]
            for task in islice(tasks, n):
                self.fleet.put(job, task, machine, attempt, now)
            state.take(index, job, n)
            self.reservations.reserved.pop(index, None)
            if machine.held_for == job.ref:
                machine.held_for = ""
                state.held.pop(index, None)
        used = state.usage.setdefault(job.team, Usage())
        used.cpus += spec.cpus * placed
        used.gpus += spec.gpus * placed
        if log.isEnabledFor(logging.DEBUG):
            where = ",".join(f"{self.fleet.by_index[i].name}*{n}" for i, n in got)
            log.debug("%s: %d tasks placed on %s", job.ref, placed, where)

    def _wait_for_room(
        self, job: Job, ask: Ask, state: RoundState, left: int, served: bool, firm: bool, now: float
    ) -> None:
        """Queue what is left of a job: stop others for it where that is allowed, reserve machines for a gang."""
        queued = self.waiting.get(job.ref)
        if queued is None:
            patient_since = -math.inf if job.ref in self.relocated else now
            queued = self.waiting[job.ref] = QueuedJob(job, left, now, served=patient_since)
        elif served:
            queued.served = now
            # As long as it is served it can go on being choosy. When its patience counted from the
            # first time, each job of a long queue took whatever came, and three in four tasks fetched.
            queued.declined = -1.0
        queued.count = left
        missing = self.preemption.make_room(job, state, left, firm, now)
        if ask.gang and missing > 0 and now - queued.since > HOLD_AFTER_S:
            self.reservations.reserve(job, ask, state, now)

    def _choose(
        self, job: Job, ask: Ask, state: RoundState, rooms: list[Room], firm: bool, now: float
    ) -> list[tuple[int, int]]:
        """HAS over the machines that the job may have; kept ones only if nothing else will do."""
        starves = self._starves(job, now)
        if (
            (state.kept or state.awaited)
            and not starves
            and job.rank <= self.reservations.whole_rank
            and not fit_of(job, self.fleet).whole
        ):
            if ask.spot:
                # Older arrays refilled each GPU of the machines that a gang waited for; they have the
                # cheap ones and the rest, and gangs have nothing else.
                rooms = [r for r in rooms if r.index not in state.awaited]
            got = place(ask, [r for r in rooms if r.index not in state.kept])
            if not firm or sum(n for _, n in got) >= ask.count:
                return got
        return place(ask, rooms)

    def _starves(self, job: Job, now: float) -> bool:
        """Whether a job has had nothing for so long that it need not leave machines to gangs any more."""
        w = self.waiting.get(job.ref)
        return job.ref in self.relocated or (w is not None and now - w.served > STARVES_S)

    def _better_warm(
        self, job: Job, ask: Ask, state: RoundState, got: list[tuple[int, int]], firm: bool, now: float
    ) -> bool:
        """Whether to wait for a machine that has the image, because making room is faster than a fetch."""
        spec = job.spec
        assert spec is not None
        if not spec.gang or job.tasks > 1:
            return False
        room = state.rooms[got[0][0]]
        fetch = self.fleet.fetch_s(room.type, spec.image_gb)
        if job.image in room.warm or fetch < WARM_GAIN_S:
            return False
        w = self.waiting.get(job.ref)
        if self.affinity.declines(job, room, fetch, w, state, now):
            return True
        if w is not None and now - w.since > WARM_GAIN_S:
            return False
        # Only a machine that has the image is worth waiting for, not any that is held for the job.
        held = any(
            ref == job.ref and i in state.rooms and job.image in state.rooms[i].warm for i, ref in state.held.items()
        )
        if not held and self.preemption.make_room(job, state, 1, firm, now, warm_only=True) > 0:
            return False
        if w is None:
            self.waiting[job.ref] = QueuedJob(job, 1, now, served=now)
        return True
