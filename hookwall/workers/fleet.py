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

from hookwall.config.platform import Params
from hookwall.jobs.job import Active, Job
from hookwall.jobs.job_table import JobTable
from hookwall.protocol.cloud_messages import Catalog, MachineType
from hookwall.protocol.heartbeat_messages import Beat, Order
from hookwall.scheduling.placement import NOWHERE, Room
from hookwall.workers.delegated_leases import Kept
from hookwall.workers.heartbeat_handler import ReportHandler
from hookwall.workers.lease_expiry import Leases
from hookwall.workers.machine import USABLE, Machine, Names, Phase
from hookwall.workers.successor_hints import Hints

log = logging.getLogger(__name__)


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
        self.leases = Leases(self)
        self.wake: Callable[[], None] = lambda: None
        self.cordoned: set[str] = set()  # machines that get no new work, since they are being drained (drains/)
        self.maintained: set[str] = set()  # those of them that are empty: their workers may be silent
        self.on_stop: Callable[[Job], None] = lambda job: None  # a job's tasks are told to stop
        self.on_loss: Callable[[Job, Active], None] = lambda job, start: None  # a start is gone
        self.hints = Hints(self.by_index, self.images)
        self.reports = ReportHandler(self)

    # -- start of a leadership -----------------------------------------------------------------

    def reset(self, token: int) -> None:
        """Forget everything: a new leader believes records, lists and reports only."""
        for m in self.machines.values():
            self.set_unrecorded(m, set())
        self.machines.clear()
        self.by_index.clear()
        self.deleted.clear()
        self.leases.ended.clear()
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
        self.set_unrecorded(m, set())

    def set_unrecorded(self, m: Machine, tasks: set[tuple[str, int]]) -> None:
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
        self.leases.ended.discard(m.name)  # whoever kept its lease, nothing runs there

    # -- images --------------------------------------------------------------------------------

    def stock(self, m: Machine) -> float:
        """GB of images on the machine that are worth keeping for jobs of ordinary machines."""
        return sum(gb for i, gb in m.images.items() if i in self.solid_images)

    def has_image(self, m: Machine, image: int, gb: float) -> None:
        """The machine has an image, which it used just now."""
        m.images.pop(image, None)
        m.images[image] = gb
        m.room = None
        info = self.info(m.type)
        if info is not None and info.cache_gb > 0:
            while len(m.images) > 1 and sum(m.images.values()) > info.cache_gb:
                m.images.popitem(last=False)

    def report(self, beat: Beat) -> list[Order] | None:
        """Take in a report and decide the answer's commands. None: too old to be answered."""
        return self.reports.take(beat)

    # -- stops ---------------------------------------------------------------------------------

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
        self.leases.expire(now)

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
