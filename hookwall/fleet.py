"""Machines as their workers report them, and the commands they get.

The leader's picture of a machine is: what the records say may be on it (`entries`), and what its
worker last said. A start leaves the records only when it was shown to be gone:

- the worker reports it as exited, or
- the worker is in a later tenure than the one in which the start was decided, or
- a report that is newer than the launch, with our token, does not contain it, or
- the cloud has confirmed the machine's deletion with a 200, or
- no node can have answered the worker for longer than its lease, drift and a margin: neither this
  leader, nor one before it, nor a follower that keeps leases (see keeper.py).
"""

import logging
from collections.abc import Callable, Iterable

from hookwall import wire
from hookwall.clocks import DRIFT
from hookwall.hints import Hints
from hookwall.job import OPEN, WITHDRAWN, Active, Job
from hookwall.jobs import JobTable
from hookwall.kept import Kept
from hookwall.machine import USABLE, Machine, Names, Phase
from hookwall.placement import NOWHERE, Room
from hookwall.settings import Params
from hookwall.wire import Beat, Catalog, MachineType, Order

log = logging.getLogger("hookwall.fleet")

LEASE_MARGIN_S = 0.5
MOST_ORDERS = 300
STOP_AGAIN_S = 1.5
UNANSWERED_S = 4.5  # a worker without an answer waits 4 s for it and reports, elsewhere, a second later


class Fleet:
    """The leader's picture of all machines. A new leader starts with an empty one."""

    def __init__(self, params: Params, table: JobTable, clock: Callable[[], float]) -> None:
        self.params, self.table, self.clock = params, table, clock
        self.types, self.zones, self.images, self.teams = Names(), Names(), Names(), Names()
        for z in params.zones:
            self.zones.of(z)
        for t in params.teams:
            self.teams.of(t.name)
        self.catalog: Catalog | None = None
        self.type_info: list[MachineType | None] = []
        self.machines: dict[str, Machine] = {}
        self.by_index: list[Machine] = []
        self.deleted: set[str] = set()  # confirmed; late lists still name them
        self.began: float | None = None
        self.solid_images: set[int] = set()  # of jobs that can't use cheap machines
        self.token = 0
        self.kept = Kept(clock)
        self.lease_ended: set[str] = set()  # machines whose starts were dropped since no node can have answered them
        self.wake: Callable[[], None] = lambda: None
        self.cordoned: set[str] = set()  # machines that get no new work, since they are being drained (drains/)
        self.maintained: set[str] = set()  # those of them that are empty: their workers may be silent
        self.on_stop: Callable[[Job], None] = lambda job: None  # a job's tasks are told to stop
        self.on_loss: Callable[[Job, Active], None] = lambda job, start: None  # a start is gone
        self.hints = Hints(self.by_index, self.images)
        lease = params.workers.lease_s
        self.lease_gone = lease * (1 + DRIFT) + LEASE_MARGIN_S

    # -- start of a leadership -----------------------------------------------------------------

    def reset(self, token: int) -> None:
        """Forget everything: a new leader believes records, lists and reports only."""
        for m in self.machines.values():
            self._set_unrecorded(m, set())
        self.machines.clear()
        self.by_index.clear()
        self.deleted.clear()
        self.lease_ended.clear()
        self.began = None
        self.token = token
        for job in self.table.open.values():
            self.adopt(job)

    def begin(self, now: float) -> None:
        """From now on no other node can answer a worker; leases are counted from here."""
        if self.began is None:
            self.began = now

    def begin_again(self) -> None:
        """This leader was not valid for a while, so another node may have answered workers meanwhile."""
        self.began = None

    def set_catalog(self, catalog: Catalog) -> None:
        self.catalog = catalog
        for t in catalog.types:
            i = self.types.of(t.name)
            while len(self.type_info) <= i:
                self.type_info.append(None)
            self.type_info[i] = t
        self._all_rooms_changed()

    def _all_rooms_changed(self) -> None:
        """What rooms are counted from has changed everywhere: rare, unlike rounds."""
        for m in self.machines.values():
            m.room = None

    def info(self, type_: int) -> MachineType | None:
        return self.type_info[type_] if 0 <= type_ < len(self.type_info) else None

    def fetch_s(self, type_: int, gb: float) -> float:
        """How long a machine of the type takes to fetch an image; 0 where the catalog names no rate."""
        info = self.info(type_)
        return gb / info.fetch_gb_s if info is not None and info.fetch_gb_s > 0 else 0.0

    # -- machines ------------------------------------------------------------------------------

    def become(self, m: Machine, phase: Phase, why: str) -> None:
        """The one function for every change of a machine's phase."""
        if m.phase is phase:
            return
        log.info("machine %s %s -> %s: %s", m.name, m.phase.value, phase.value, why)
        m.phase = phase
        self.wake()

    def machine(self, name: str, type_: str, zone: str, spot: bool) -> Machine:
        """The machine of this name, new if nobody has named it before."""
        m = self.machines.get(name)
        if m is None:
            m = Machine(name, len(self.by_index), self.types.of(type_), self.zones.of(zone), spot, self.clock())
            self.machines[name] = m
            self.by_index.append(m)
            m.said = (type_, zone, spot)
        elif type_ and m.said != (type_, zone, spot):
            m.type, m.zone, m.spot = self.types.of(type_), self.zones.of(zone), spot
            m.said = (type_, zone, spot)
            m.room = None
        return m

    def zone_of(self, name: str) -> int:
        """The zone of a machine, or NOWHERE while only records name it."""
        m = self.machines.get(name)
        return m.zone if m is not None and self.zones.names[m.zone] else NOWHERE

    def room(self, m: Machine) -> Room:
        """What is free on the machine. Kept until something there changes: rounds are many, changes few."""
        if m.room is not None:
            return m.room
        info = self.info(m.type)
        assert info is not None
        cpus, gpus, memory = info.cpus, info.gpus, info.memory
        warm = set(m.images)
        for job, _ in m.entries.values():
            spec = job.spec
            if spec is not None:
                cpus -= spec.cpus
                gpus -= spec.gpus
                memory -= spec.memory
                warm.add(job.image)  # being fetched: one fetch serves all tasks that wait for it
        price = info.spot_price if m.spot else info.price
        stock = self.stock(m)
        m.room = Room(m.index, m.type, m.zone, m.spot, cpus, gpus, memory, price, float(m.errors), warm, stock)
        return m.room

    def adopt(self, job: Job) -> None:
        """Fill in a job's indices, and tie its starts to their machines."""
        spec = job.spec
        if spec is None:
            return
        job.fit = None
        job.image = self.images.of(spec.image)
        if not spec.spot and job.image not in self.solid_images:
            self.solid_images.add(job.image)
            self._all_rooms_changed()
        job.team = self.teams.of(spec.team)
        job.rank = self.table.rank(job)
        job.types = None if spec.types is None else frozenset(self.types.of(t) for t in spec.types)
        job.zone = -1 if spec.zone is None else self.zones.of(spec.zone)
        for a in job.active.values():
            m = self.machine(a.machine, "", "", False)
            m.entries[(job.ref, a.task)] = (job, a)
            m.room = None

    def retake(self, job: Job, before: Iterable[Active]) -> None:
        """A job's record was replaced by somebody else's write: untie the starts of before, tie those of now."""
        for a in before:
            m = self.machines.get(a.machine)
            if m is not None and m.entries.pop((job.ref, a.task), None) is not None:
                m.room = None
        self.adopt(job)
        self.wake()

    def put(self, job: Job, task: int, m: Machine, attempt: int, now: float) -> Active:
        """A decision to start a task; nothing is sent before it is stored."""
        a = Active(task, m.name, m.tenure, attempt, now)
        job.active[task] = a
        job.dirty = job.fresh = True
        m.entries[(job.ref, task)] = (job, a)
        m.room = None
        return a

    def drop(self, job: Job, a: Active, why: str) -> None:
        """A start is shown to be gone."""
        m = self.machines.get(a.machine)
        if m is not None:
            if job.spec is not None and not job.spec.spot:
                m.solid_at = self.clock()
            m.entries.pop((job.ref, a.task), None)
            m.room = None
        if job.active.get(a.task) is a:
            job.remove(a.task)
            self.on_loss(job, a)
        if log.isEnabledFor(logging.DEBUG):
            log.debug("%s/%d attempt %d left %s: %s", job.ref, a.task, a.attempt, a.machine, why)
        self.wake()

    def drop_all(self, m: Machine, why: str) -> None:
        """All starts on a machine are shown to be gone."""
        for job, a in list(m.entries.values()):
            self.drop(job, a, why)
        self._set_unrecorded(m, set())

    def _set_unrecorded(self, m: Machine, tasks: set[tuple[str, int]]) -> None:
        """The tasks that a worker reports and that no start known here explains.

        However that came about, they are there: they are not started anywhere else until they are shown gone.
        """
        for ref, task in m.unrecorded - tasks:
            if ref in self.table.jobs:
                self.table.jobs[ref].not_seen_on(task, m.name)
        for ref, task in tasks:
            if ref in self.table.jobs:
                self.table.jobs[ref].seen_on(task, m.name)
        m.unrecorded = tasks

    def gone(self, m: Machine, why: str) -> None:
        """The cloud has confirmed that the machine is no more."""
        self.drop_all(m, why)
        self.become(m, Phase.GONE, why)
        self.machines.pop(m.name, None)
        self.deleted.add(m.name)
        self.lease_ended.discard(m.name)  # whoever kept its lease, nothing runs there

    # -- images --------------------------------------------------------------------------------

    def stock(self, m: Machine) -> float:
        """GB of images on the machine that are worth keeping for jobs of ordinary machines."""
        return sum(gb for i, gb in m.images.items() if i in self.solid_images)

    def _has_image(self, m: Machine, image: int, gb: float) -> None:
        m.images.pop(image, None)
        m.images[image] = gb
        m.room = None
        info = self.info(m.type)
        if info is not None and info.cache_gb > 0:
            while len(m.images) > 1 and sum(m.images.values()) > info.cache_gb:
                m.images.popitem(last=False)

    # -- reports -------------------------------------------------------------------------------

    def report(self, b: Beat) -> list[Order] | None:
        """Take in a report and decide the answer's commands. None: too old to be answered."""
        now = self.clock()
        if b.machine in self.deleted:
            return None  # a late copy must not bring back a machine that is gone
        m = self.machine(b.machine, b.type, b.zone, b.spot)
        if (b.tenure, b.tick) <= (m.tenure, m.tick):
            return None
        if any(a.tenure > b.tenure for _, a in m.entries.values()):
            # A copy from before the tenure in which the records have started something there: a new
            # leader that had seen nothing newer took the difference for the end of those tasks.
            return None
        if m.phase is Phase.BOOTING:
            m.up_at = now
            m.room = None
            self.hints.recall(m)
            self.become(m, Phase.UP, f"reports after {now - m.known_at:.1f} s")
        self._listen(m, b, now)
        if b.tenure > m.tenure:
            m.doubtful = False
            for job, a in list(m.entries.values()):
                if a.tenure < b.tenure:
                    self.drop(job, a, "a later tenure")
        m.tenure, m.tick, m.token = b.tenure, b.tick, max(m.token, b.token)
        m.answered = now
        if b.notice_s is not None and m.notice_at is None:
            m.notice_at = now + b.notice_s
            if m.phase in (Phase.UP, Phase.SICK, Phase.DRAINING):
                self.become(m, Phase.NOTICED, f"taken in {b.notice_s:.1f} s")
        orders: list[Order] = []
        seen: set[tuple[str, int]] = set()
        unrecorded: set[tuple[str, int]] = set()
        for t in b.tasks:
            parts = wire.split_task(t.piece)
            if parts is None:
                continue
            if self._reported(m, parts, t, orders, unrecorded, now):
                seen.add(parts)
        self._set_unrecorded(m, unrecorded)
        current = b.token == self.token
        for key, (job, a) in list(m.entries.items()):
            if key not in seen:
                self._absent(m, job, a, current, orders)
        if m.phase is Phase.NOTICED:
            self._leave(m, now)
        return orders[:MOST_ORDERS]

    def _listen(self, m: Machine, b: Beat, now: float) -> None:
        """Follow whether our answers reach the worker; while they don't it gets no new work.

        Its reports may arrive all the same, as may late copies of them, so that it looks alive while
        its lease runs out. What shows that an answer arrived is our token, in the tenure of the
        report before, and sooner than a worker reports that has waited for an answer in vain.
        """
        if b.token != self.token or b.tenure != m.tenure:
            if m.hears:
                log.info("machine %s reports, but seems not to get our answers", m.name)
            # The first report of all: it has had no chance yet. A worker that has just begun, as one that
            # has seen no token has, is trusted to hear the answer, and finds its first tasks in the next:
            # half a second later instead of three, of the 60 in which urgent work is to begin.
            m.hears = m.tenure == 0 and b.tenure == 1 and b.token == 0
            if m.tenure == 0:
                m.heard_us_at = now
        elif now - m.answered < UNANSWERED_S:
            m.heard_us_at = now
            if m.silent:
                log.info("machine %s reports again", m.name)
                m.silent = False
            if not m.hears:
                m.hears = True
                self.wake()

    def _reported(
        self,
        m: Machine,
        key: tuple[str, int],
        t: wire.TaskReport,
        orders: list[Order],
        unrecorded: set[tuple[str, int]],
        now: float,
    ) -> bool:
        """One task of a report. False if the worker knows nothing of the task once it has the answer."""
        entry = m.entries.get(key)
        if entry is not None and entry[1].attempt != t.attempt:
            entry = None  # the records name another start of this task
        if t.phase == "exited":
            return self._reported_exit(m, key, t, entry, orders)
        if entry is None:
            unrecorded.add(key)
            orders.append(wire.stop(t.piece, t.attempt, 0.0))
            return True
        job, a = entry
        if t.phase != a.phase:
            log.debug("%s attempt %d on %s: %s", t.piece, t.attempt, m.name, t.phase)
            a.phase = t.phase
            if t.phase in ("waiting", "running") and job.spec is not None:
                self._has_image(m, job.image, job.spec.image_gb)
            if t.phase == "running":
                a.running_since = now
            self.wake()
        if job.phase == WITHDRAWN:
            orders.append(wire.stop(t.piece, t.attempt, 0.0))
        elif a.stop_grace is not None and now - a.stop_sent > STOP_AGAIN_S and _heeds_stop(a, t):
            a.stop_sent = now
            orders.append(wire.stop(t.piece, t.attempt, a.stop_grace))
        return True

    def _reported_exit(
        self,
        m: Machine,
        key: tuple[str, int],
        t: wire.TaskReport,
        entry: tuple[Job, Active] | None,
        orders: list[Order],
    ) -> bool:
        """A task of a report that has ended; `entry` is its start, if the records name it."""
        if entry is not None:
            self._exited(m, entry[0], entry[1], t.cause or "", t.saved)
        job = self.table.jobs.get(key[0])
        if job is not None and job.stored_on.get(key[1]) == (m.name, t.attempt):
            return True
        # Only once the record no longer names this start: a leader that forgot it would
        # otherwise launch the same attempt again.
        orders.append(wire.forget(t.piece, t.attempt))
        return entry is not None

    def _absent(self, m: Machine, job: Job, a: Active, current: bool, orders: list[Order]) -> None:
        """A start that the records name and the report does not."""
        wanted = job.phase == OPEN and a.stop_grace is None and not a.finished
        if not wanted or m.phase is not Phase.UP or m.name in self.cordoned:
            # The report answers none of our launches and the worker drops older leaders' answers.
            if current:
                self.drop(job, a, "not there")
            return
        if job.stored_on.get(a.task) != (m.name, a.attempt):
            return
        if a.tenure != m.tenure:
            self.drop(job, a, "another tenure")
            return
        if a.phase and current:
            # It was reported before and is not now, without having exited: it can't be there.
            self.drop(job, a, "vanished")
            return
        if job.may_launch(a):
            orders.append(wire.launch(job.ref, a.task, a.attempt))

    def _exited(self, m: Machine, job: Job, a: Active, cause: str, saved: bool) -> None:
        if cause == "done":
            m.errors = 0
            m.room = None
            m.error_jobs.clear()
            if job.spec is not None:
                self._has_image(m, job.image, job.spec.image_gb)
                if job.spec.gang:
                    # A gang's tasks complete together.
                    for task in range(job.tasks):
                        job.mark_done(task)
                    for other in job.active.values():
                        other.finished = True
            job.mark_done(a.task)
        elif cause == "error":
            self._error(m, job)
        elif cause == "full":
            m.full_until = self.clock() + 4.0
        elif cause == "no_such":
            job.not_before = self.clock() + 5.0
        if cause not in ("done", "halted") and job.phase == OPEN:
            log.info("%s/%d attempt %d on %s ended: %s", job.ref, a.task, a.attempt, m.name, cause)
        self.drop(job, a, cause)

    def _error(self, m: Machine, job: Job) -> None:
        """A task failed: either the machine is faulty, or the job fails wherever it runs."""
        now = self.clock()
        job.errors[m.name] = job.errors.get(m.name, 0) + 1
        job.failed_at = now
        elsewhere = len(job.errors)
        if elsewhere >= 3:
            # Three machines have failed it; more tries cost others their machines.
            job.not_before = now + min(60.0, 2.0 ** min(elsewhere, 6))
            return
        m.errors += 1
        m.room = None
        m.error_jobs.add(job.ref)
        if m.phase is Phase.UP and (len(m.error_jobs) >= 2 or m.errors >= 2):
            self.become(m, Phase.SICK, f"{m.errors} errors in a row")

    def _leave(self, m: Machine, now: float) -> None:
        """The machine will be taken: stop what can save, in time to save."""
        for job, a in m.entries.values():
            spec = job.spec
            if spec is None or a.stop_grace is not None or spec.checkpoint_s <= 0:
                continue
            self.stop(job, a, spec.save_s + 0.5, "spot notice")

    def stop(self, job: Job, a: Active, grace: float, why: str) -> None:
        """Ask for an orderly stop; of a gang, all tasks are told."""
        if a.stop_grace is not None:
            return
        self.on_stop(job)
        many = job.active.values() if job.spec is not None and job.spec.gang else (a,)
        for x in many:
            if x.stop_grace is None:
                x.stop_grace = grace
        log.debug("%s/%d on %s is to stop: %s", job.ref, a.task, a.machine, why)

    # -- time ----------------------------------------------------------------------------------

    def expire(self, now: float) -> None:
        """Machines whose worker can't have a lease any more have no tasks."""
        if self.began is None:
            return
        soon = min(self.lease_gone, self.params.workers.report_s * 3)
        for m in list(self.machines.values()):
            # Most were answered a moment ago: whatever could be over counts from later.
            if now - m.answered <= soon and now - m.heard_us_at <= soon:
                continue
            if not m.silent and self._quiet(m, now):
                m.silent, m.hears = True, False
                log.info("machine %s is silent", m.name)
                self.wake()
            idle = not m.entries and not m.unrecorded
            if idle or now - max(m.answered, self.began) <= self.lease_gone or self.kept.kept(m.name):
                continue
            if now - self.kept.heard(m.name) > self.lease_gone:
                log.info("machine %s: lease is over, %d tasks gone", m.name, len(m.entries))
                # A machine that hangs ends its tasks only when it goes on; cancelled ones must be gone before.
                m.doubtful = m.doubtful or any(job.phase == WITHDRAWN for job, _ in m.entries.values())
                self.lease_ended.add(m.name)
                self.drop_all(m, "the lease is over")

    def was_wrong(self, kept: frozenset[str] | None) -> bool:
        """Whether a lease that seemed to be over is one of those that a follower turns out to keep; None: any."""
        wrong = self.lease_ended if kept is None else self.lease_ended & kept
        found = bool(wrong)
        self.lease_ended -= set(wrong)
        return found

    def _quiet(self, m: Machine, now: float) -> bool:
        """Whether a machine that should be heard is not. One that has not come to a new leader has a lease's time."""
        assert self.began is not None
        if m.up_at >= 0:
            return now - m.heard_us_at > self.params.workers.report_s * 3
        return m.ran_at >= 0 and now - max(m.ran_at, self.began) > self.lease_gone

    def usable(self, m: Machine, now: float) -> bool:
        """Whether new tasks may be placed here."""
        return (
            m.phase in USABLE
            and m.name not in self.cordoned
            and m.hears
            and not m.silent
            and m.tenure > 0
            and not m.unrecorded
            and now >= m.full_until
            and self.info(m.type) is not None
        )


def _heeds_stop(start: Active, reported: wire.TaskReport) -> bool:
    """Whether a stop would change anything: a task that saves already only heeds one that gives it no more time."""
    return reported.phase != "saving" or start.stop_grace == 0.0
