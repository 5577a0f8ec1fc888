"""Jobs: their records in the state service, and what users may ask.

A record is the truth about a job. It names every machine on which a task may be, so whoever leads
next can tell where nothing may be started again. Everything else about a task (what a worker last
said) is kept in memory and can be lost.
"""

import logging
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import msgspec

from hookwall import store as st
from hookwall import wire
from hookwall.settings import Params
from hookwall.store import Confirmer, Conflict, Refused, Store, Unknown
from hookwall.wire import BadMessage, Catalog, JobSpec

log = logging.getLogger("hookwall.jobs")

OPEN, DONE, WITHDRAWN = "open", "done", "withdrawn"
REST_S = 1.0  # how long ends of single tasks may wait for company in a write
REST_MOST_S = 15.0  # and how long while the state service has no changes to spare


def pack(numbers: Iterable[int]) -> str:
    """Task numbers as ranges: `0-3,7`. A job of 100,000 tasks has to fit one value."""
    out: list[str] = []
    start = last = -2
    for n in sorted(numbers):
        if n == last + 1:
            last = n
            continue
        if start >= 0:
            out.append(f"{start}-{last}" if last > start else f"{start}")
        start = last = n
    if start >= 0:
        out.append(f"{start}-{last}" if last > start else f"{start}")
    return ",".join(out)


def unpack(text: str) -> list[int]:
    """The numbers that `pack` wrote."""
    out: list[int] = []
    for part in text.split(",") if text else ():
        a, _, b = part.partition("-")
        out.extend(range(int(a), int(b or a) + 1))
    return out


class Active:
    """One start of one task: from the decision until it is shown to be gone."""

    __slots__ = (
        "attempt",
        "finished",
        "machine",
        "phase",
        "running_since",
        "since",
        "stop_grace",
        "stop_sent",
        "task",
        "tenure",
    )  # fmt: skip

    def __init__(self, task: int, machine: str, tenure: int, attempt: int, now: float) -> None:
        self.task, self.machine, self.tenure, self.attempt = task, machine, tenure, attempt
        self.phase = ""  # as the worker last reported it; "" until it has
        self.since = now
        self.running_since = -1.0
        self.stop_grace: float | None = None
        self.stop_sent = -1e9
        self.finished = False


class Job:
    """A job as the record says (`stored_*`) and as the leader has changed it since."""

    __slots__ = (
        "active",
        "at",
        "cursor",
        "dirty",
        "dirty_at",
        "done",
        "errors",
        "failed_at",
        "fresh",
        "image",
        "n_done",
        "next_attempt",
        "not_before",
        "parked",
        "phase",
        "rank",
        "raw",
        "ref",
        "spec",
        "stamp",
        "stored_done",
        "stored_on",
        "stored_phase",
        "tasks",
        "team",
        "types",
        "void",
        "writing",
        "zone",
    )  # fmt: skip

    def __init__(self, ref: str) -> None:
        self.ref = ref
        self.spec: JobSpec | None = None
        self.stamp = 0
        self.at = 0.0
        self.phase = OPEN
        self.next_attempt = 1
        self.tasks = 0
        self.done: bytearray | None = None
        self.n_done = 0
        self.active: dict[int, Active] = {}
        self.stored_on: dict[int, tuple[str, int]] = {}
        self.stored_phase = OPEN
        self.stored_done = 0
        self.dirty = False
        self.dirty_at = -1.0  # since when, as the writer saw it
        self.fresh = False  # whether starts wait to be stored: they are launched only then
        self.writing = False
        self.parked: tuple[object, int] | None = None  # a change seen while a write is under way
        self.cursor = 0
        self.errors: dict[str, int] = {}
        self.failed_at = -1e9  # when a task of it last failed
        self.not_before = -1e9
        self.image = self.team = self.rank = -1
        self.types: frozenset[int] | None = None
        self.zone = -1
        self.raw: object = None  # the record as stored
        self.void = False  # the record has to be taken again even if its stamp is known

    def final(self) -> bool:
        """Whether the stored phase is one that never changes again."""
        return self.stored_phase in (DONE, WITHDRAWN)

    def pending(self, most: int) -> list[int]:
        """Up to `most` tasks that are neither done nor possibly on a machine, lowest first."""
        if self.phase != OPEN or self.done is None:
            return []
        out: list[int] = []
        n, done, active = self.cursor, self.done, self.active
        while n < self.tasks and len(out) < most:
            if not done[n] and n not in active:
                if not out:
                    self.cursor = n
                out.append(n)
            n += 1
        if not out:
            self.cursor = self.tasks
        return out

    def n_pending(self) -> int:
        if self.phase != OPEN:
            return 0
        return self.tasks - self.n_done - sum(1 for a in self.active.values() if not a.finished)

    def mark_done(self, task: int) -> None:
        if self.done is not None and not self.done[task]:
            self.done[task] = 1
            self.n_done += 1
            self.dirty = True

    def remove(self, task: int) -> None:
        """The start is over or was shown to be gone; an unfinished task is pending again."""
        del self.active[task]
        self.cursor = min(self.cursor, task)
        self.dirty = True

    def record(self) -> dict[str, Any]:
        """What is written to the state service."""
        grouped: dict[tuple[str, int, int], list[int]] = {}
        for a in self.active.values():
            grouped.setdefault((a.machine, a.tenure, a.attempt), []).append(a.task)
        on = [[m, t, n, pack(tasks)] for (m, t, n), tasks in grouped.items()]
        out: dict[str, Any] = {"phase": self.phase, "n": self.tasks, "next": self.next_attempt, "on": on}
        if self.phase == OPEN or on:
            assert self.spec is not None and self.done is not None
            out["spec"] = msgspec.to_builtins(self.spec)
            out["at"] = self.at
            out["done"] = pack(i for i, d in enumerate(self.done) if d) if self.n_done else ""
        return out

    def take(self, value: object, stamp: int, now: float) -> None:
        """Replace what is known by a stored record. What workers said of the same starts is kept."""
        v = value if isinstance(value, dict) else {}
        old = self.active
        self.stamp, self.raw = stamp, value
        self.phase = self.stored_phase = str(v.get("phase", OPEN))
        self.tasks = int(v.get("n", 0))
        self.next_attempt = int(v.get("next", 1))
        self.at = float(v.get("at", self.at))
        spec = v.get("spec")
        if spec is None:
            self.spec = None
        elif self.spec is None:
            self.spec = msgspec.convert(spec, JobSpec)
        self.active = {}
        self.stored_on = {}
        for machine, tenure, attempt, tasks in v.get("on", ()):
            for task in unpack(tasks):
                a = old.get(task)
                if a is None or (a.machine, a.tenure, a.attempt) != (machine, tenure, attempt):
                    a = Active(task, machine, tenure, attempt, now)
                self.active[task] = a
                self.stored_on[task] = (machine, attempt)
        if spec is not None:
            self.done = bytearray(self.tasks)
            done = unpack(v.get("done", ""))
            for task in done:
                self.done[task] = 1
                if task in self.active:
                    self.active[task].finished = True
            self.n_done = len(done)
        else:
            self.done = None
            self.n_done = self.tasks if self.phase == DONE else 0
        self.stored_done = self.n_done
        self.cursor = 0
        self.dirty = self.void = self.fresh = False

    def stored(self, stamp: int, on: dict[int, tuple[str, int]], phase: str, done: int, raw: object = None) -> None:
        """A write of ours succeeded with this content."""
        self.raw = raw
        self.stamp, self.stored_on, self.stored_phase, self.stored_done = stamp, on, phase, done
        if phase != OPEN and not on and not self.active:
            self.spec, self.done, self.raw = None, None, None


def write_order(jobs: Iterable[Job], now: float, spare: bool) -> list[Job]:
    """The jobs to store next, most pressing first.

    An end that its user waits for, then starts, which are launched only once stored; by rank, then by
    how long they have waited. That a task of a larger job is over can wait: its worker goes on
    reporting it until it is stored, and the room that it leaves is used meanwhile. When each such end
    was written at once, and older jobs always first, a hundred running arrays used up the service's
    changes and starts of later ones waited for up to 50 s.
    """
    first: list[Job] = []
    rest: list[Job] = []
    for job in jobs:
        if not job.dirty or job.writing:
            continue
        if job.dirty_at < 0:
            job.dirty_at = now
        if job.fresh or job.phase != OPEN:
            first.append(job)
        elif now - job.dirty_at > (REST_S if spare else REST_MOST_S):
            rest.append(job)
    first.sort(key=lambda j: (j.phase == OPEN, j.rank, j.dirty_at, j.at))
    rest.sort(key=lambda j: (j.dirty_at, j.at))
    return first + rest


class JobTable:
    """All jobs known to this node."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.jobs: dict[str, Job] = {}
        self.open: dict[str, Job] = {}  # those that still matter to the leader
        self.on_taken: Callable[[Job, list[Active]], None] = lambda job, before: None
        self.heard: dict[str, int] = {}  # cancellations that a peer has told and the records here don't show yet
        self.on_withdrawn: Callable[[str, int], None] = lambda ref, stamp: None

    def apply(self, key: str, value: object, stamp: int) -> None:
        """A record as read or watched; older than what is known: ignored."""
        ref = key[len(st.JOBS) :]
        job = self.jobs.get(ref)
        if job is None:
            job = self.jobs[ref] = Job(ref)
        if stamp < job.stamp or (stamp == job.stamp and not job.void):
            return
        if job.writing:
            job.parked = (value, stamp)
            if isinstance(value, dict) and value.get("phase") == WITHDRAWN:
                self.withdraw(ref, stamp)
            return
        before = list(job.active.values())
        try:
            job.take(value, stamp, self.clock())
        except (ValueError, TypeError, IndexError, AttributeError, msgspec.ValidationError) as e:
            log.error("record of %s is malformed: %s", ref, e)
            return
        if job.stored_phase == WITHDRAWN:
            self.on_withdrawn(ref, stamp)
        if self.heard.get(ref, 0) > stamp and not job.final():
            job.phase = WITHDRAWN
        else:
            self.heard.pop(ref, None)
        self.note(job)
        self.on_taken(job, before)

    def withdraw(self, ref: str, stamp: int) -> None:
        """Somebody knows that this job's cancellation was stored: no start of it from now on, and its tasks stop.

        The record follows when the state service shows it; whatever is written on the older one fails.
        """
        job = self.jobs.get(ref)
        if job is not None and (job.stamp >= stamp or job.final()):
            return
        self.heard[ref] = max(stamp, self.heard.get(ref, 0))
        if job is not None:
            job.phase = WITHDRAWN
        self.on_withdrawn(ref, stamp)

    def withdrawn(self, ref: str) -> bool:
        """Whether the job is known to be cancelled."""
        job = self.jobs.get(ref)
        return ref in self.heard or (job is not None and job.phase == WITHDRAWN)

    def void_decisions(self) -> None:
        """What an earlier leadership decided and did not store is to be replaced by the records.

        The stamps stay: a poll that was being confirmed while a new leader loaded found stamp 0 and
        was answered 404 for an accepted job.
        """
        for job in self.jobs.values():
            if job.spec is not None or not job.final():
                job.void, job.parked, job.writing, job.dirty, job.fresh = True, None, False, False, False

    def revert(self) -> None:
        """Go back to what is stored, for all jobs with decisions that are not."""
        for job in list(self.open.values()):
            if job.dirty and not job.writing and job.raw is not None:
                job.void = True
                self.apply(st.JOBS + job.ref, job.raw, job.stamp)

    def note(self, job: Job) -> None:
        """Keep the list of jobs that are not over."""
        if job.spec is not None and (job.phase == OPEN or job.active or not job.final()):
            self.open[job.ref] = job
        else:
            self.open.pop(job.ref, None)


Answer = tuple[int, bytes, dict[str, str] | None]


async def _always(ref: str, stamp: int) -> bool:
    """Where there is nobody else to tell."""
    return True


LATER = {"Retry-After": "1"}


def later(why: str) -> Answer:
    """Can't be answered now: said at once, with when to come back."""
    return 503, b'{"error":"' + why.encode() + b'"}', LATER


class UserApi:
    """What users may ask of any node."""

    def __init__(
        self,
        params: Params,
        table: JobTable,
        store: Store,
        confirmer: Confirmer,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.wall = wall
        self.params, self.table, self.store, self.confirmer = params, table, store, confirmer
        self.teams = {t.name: t for t in params.teams}
        self.catalog: Catalog | None = None
        # Whether a user may be told of a stored cancellation (cancellations.py).
        self.confirmed: Callable[[str, int], Awaitable[bool]] = _always

    async def refresh(self, key: str) -> None:
        """Read a job's record anew."""
        got = await self.store.get(key)
        if got is not None:
            self.table.apply(key, *got)

    def _seen(self, job: Job) -> tuple[str, int]:
        """The newest state of the job that was seen, and its stamp.

        While a write of ours is under way somebody else's may have been seen: a cancellation told to
        its user must not be followed by "running" because of the order in which we store.
        """
        parked = job.parked
        if parked is not None and parked[1] > job.stamp and isinstance(parked[0], dict):
            phase = str(parked[0].get("phase", OPEN))
            if phase != OPEN:
                return phase, parked[1]
        return job.stored_phase, job.stamp

    async def _state(self, job: Job) -> Answer:
        """What the job's user is told. Cancelled only once all its tasks are certain to end in time."""
        phase, stamp = self._seen(job)
        if phase == WITHDRAWN and not await self.confirmed(job.ref, stamp):
            return later("the cancellation is not known to the leader yet")
        if phase == OPEN:
            phase = "running" if job.stored_on else "pending"
            return 200, wire.job_answer(job.ref, phase, job.stored_done, len(job.stored_on)), None
        return 200, wire.job_answer(job.ref, phase, job.tasks if phase == DONE else job.stored_done, 0), None

    async def _current(self, ref: str) -> Job | None:
        """The job as it is now. A cached version is confirmed first unless it is final."""
        job = self.table.jobs.get(ref)
        if job is not None and job.final() and job.stamp:
            return job
        await self.confirmer.confirm(st.JOBS + ref, job.stamp if job is not None else 0)
        job = self.table.jobs.get(ref)
        return job if job is not None and job.stamp else None

    async def get(self, ref: str) -> Answer:
        if not wire.REF.match(ref):
            return 404, b'{"error":"no such job"}', None
        if not self.store.healthy() and not self._cached_final(ref):
            return later("state service")
        try:
            job = await self._current(ref)
        except (Refused, Unknown, TimeoutError):
            return later("state service")
        return await self._state(job) if job is not None else (404, b'{"error":"no such job"}', None)

    def _cached_final(self, ref: str) -> bool:
        job = self.table.jobs.get(ref)
        return job is not None and job.stamp > 0 and job.final()

    def impossible(self, spec: JobSpec, catalog: Catalog) -> str | None:
        """Why the job can never run, or None."""
        team = self.teams.get(spec.team)
        if team is None:
            return "unknown team"
        n = spec.tasks if spec.gang else 1
        if team.gpus_max and spec.gpus * n > team.gpus_max + 1e-9:
            return "more GPUs than the team's limit"
        if team.cpus_max and spec.cpus * n > team.cpus_max + 1e-9:
            return "more CPUs than the team's limit"
        for t in catalog.types:
            if spec.types is not None and t.name not in spec.types:
                continue
            if spec.zone is not None and spec.zone not in t.zones:
                continue
            if spec.cpus <= t.cpus + 1e-9 and spec.gpus <= t.gpus + 1e-9 and spec.memory <= t.memory + 1e-9:
                return None
        return "a task fits no allowed machine type"

    async def submit(self, body: bytes) -> Answer:
        try:
            spec = wire.decode_job(body)
        except BadMessage as e:
            return 400, msgspec.json.encode({"error": str(e)}), None
        if self._cached_final(spec.ref):
            return await self._state(self.table.jobs[spec.ref])
        if not self.store.healthy():
            return later("state service")
        try:
            if spec.ref in self.table.jobs and self.table.jobs[spec.ref].stamp:
                job = await self._current(spec.ref)
                if job is not None:
                    return await self._state(job)
            if self.catalog is None:
                return later("machine types not known yet")
            why = self.impossible(spec, self.catalog)
            if why is not None:
                # An accepted job must not be refused later, whatever this node remembers of it.
                job = await self._current(spec.ref)
                if job is not None:
                    return await self._state(job)
                return 422, msgspec.json.encode({"error": why}), None
            job = Job(spec.ref)
            job.spec, job.at, job.tasks, job.done = spec, self.wall(), spec.tasks, bytearray(spec.tasks)
            key = st.JOBS + spec.ref
            record = job.record()
            if len(msgspec.json.encode(record)) > self.params.state.value_kb * 1024 - 512:
                return 400, b'{"error":"description too large"}', None
            try:
                stamp = await self.store.commit([(key, 0)], [(key, record)])
            except Conflict:
                await self.refresh(key)
                return await self._state(self.table.jobs[spec.ref])
            self.table.apply(key, record, stamp)
            log.debug("%s accepted: %s, %d tasks, image %s", spec.ref, spec.job_class, spec.tasks, spec.image)
            return 201, wire.job_answer(spec.ref, "pending"), None
        except (Refused, Unknown, TimeoutError, KeyError):
            return later("state service")

    async def cancel(self, ref: str) -> Answer:
        if not wire.REF.match(ref):
            return 404, b'{"error":"no such job"}', None
        if self._cached_final(ref):
            return await self._ended(ref, self.table.jobs[ref].stored_phase, self.table.jobs[ref].stamp)
        if not self.store.healthy():
            return later("state service")
        key = st.JOBS + ref
        try:
            for _ in range(4):
                got = await self.store.get(key)
                if got is None:
                    return 404, b'{"error":"no such job"}', None
                value, stamp = got
                self.table.apply(key, value, stamp)
                assert isinstance(value, dict)
                if value.get("phase") in (DONE, WITHDRAWN):
                    return await self._ended(ref, str(value["phase"]), stamp)
                changed = {**value, "phase": WITHDRAWN}
                if not changed.get("on"):
                    for name in ("spec", "at", "done"):
                        changed.pop(name, None)
                try:
                    new = await self.store.commit([(key, stamp)], [(key, changed)])
                except Conflict:
                    continue
                self.table.apply(key, changed, new)
                return await self._ended(ref, WITHDRAWN, new)
        except (Refused, Unknown, TimeoutError):
            pass
        return later("state service")

    async def _ended(self, ref: str, phase: str, stamp: int) -> Answer:
        """The answer to a cancellation of a job that has ended, now or before."""
        if phase == WITHDRAWN and not await self.confirmed(ref, stamp):
            return later("the cancellation is not known to the leader yet")
        return 200, wire.job_answer(ref, phase), None
