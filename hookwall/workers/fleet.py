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

from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import Allocation, Job
from hookwall.jobs.job_table import JobTable
from hookwall.protocol.cloud_messages import Catalog, MachineType
from hookwall.protocol.heartbeat_messages import Command, Heartbeat
from hookwall.scheduling.placement import UNKNOWN_ZONE, FreeCapacity
from hookwall.workers.delegated_leases import DelegatedLeases
from hookwall.workers.heartbeat_handler import HeartbeatHandler
from hookwall.workers.lease_expiry import LeaseExpiry
from hookwall.workers.machine import SCHEDULABLE_PHASES, Machine, MachinePhase, NameIndex
from hookwall.workers.successor_hints import SuccessorHints

log = logging.getLogger(__name__)


class Fleet:
    """The leader's picture of all machines. A new leader starts with an empty one."""

    def __init__(self, params: PlatformParameters, table: JobTable, clock: Callable[[], float]) -> None:
        self.params, self.table, self.clock = params, table, clock
        self.type_names, self.zone_names, self.image_names, self.team_names = (
            NameIndex(),
            NameIndex(),
            NameIndex(),
            NameIndex(),
        )
        for z in params.zones:
            self.zone_names.index_of(z)
        for t in params.teams:
            self.team_names.index_of(t.name)
        self.catalog: Catalog | None = None
        self.machine_types: list[MachineType | None] = []
        self.machines: dict[str, Machine] = {}
        self.machines_by_index: list[Machine] = []
        self.deleted_names: set[str] = set()  # confirmed; late lists still name them
        self.valid_since: float | None = None
        self.on_demand_images: set[int] = set()  # of jobs that can't use cheap machines
        self.fencing_token = 0
        self.delegated_leases = DelegatedLeases(clock)
        self.lease_expiry = LeaseExpiry(self)
        self.on_change: Callable[[], None] = lambda: None
        self.cordoned: set[str] = set()  # machines that get no new work, since they are being drained (drains/)
        self.in_maintenance: set[str] = set()  # those of them that are empty: their workers may be silent
        self.on_stop_requested: Callable[[Job], None] = lambda job: None  # a job's tasks are told to stop
        self.on_allocation_released: Callable[[Job, Allocation], None] = lambda job, start: None  # a start is gone
        self.successor_hints = SuccessorHints(self.machines_by_index, self.image_names)
        self.heartbeat_handler = HeartbeatHandler(self)

    # -- start of a leadership -----------------------------------------------------------------

    def reset(self, token: int) -> None:
        """Forget everything: a new leader believes records, lists and reports only."""
        for m in self.machines.values():
            self.set_unrecorded_tasks(m, set())
        self.machines.clear()
        self.machines_by_index.clear()
        self.deleted_names.clear()
        self.lease_expiry.expired_machines.clear()
        self.valid_since = None
        self.fencing_token = token
        for job in self.table.open_jobs.values():
            self.attach_allocations(job)

    def begin_validity(self, now: float) -> None:
        """From now on no other node can answer a worker; leases are counted from here."""
        if self.valid_since is None:
            self.valid_since = now

    def end_validity(self) -> None:
        """This leader was not valid for a while, so another node may have answered workers meanwhile."""
        self.valid_since = None

    def set_catalog(self, catalog: Catalog) -> None:
        self.catalog = catalog
        for t in catalog.types:
            i = self.type_names.index_of(t.name)
            while len(self.machine_types) <= i:
                self.machine_types.append(None)
            self.machine_types[i] = t
        self._invalidate_free_capacity()

    def _invalidate_free_capacity(self) -> None:
        """What rooms are counted from has changed everywhere: rare, unlike rounds."""
        for m in self.machines.values():
            m.free_capacity = None

    def machine_type(self, type_: int) -> MachineType | None:
        return self.machine_types[type_] if 0 <= type_ < len(self.machine_types) else None

    def image_fetch_s(self, type_: int, gb: float) -> float:
        """How long a machine of the type takes to fetch an image; 0 where the catalog names no rate."""
        info = self.machine_type(type_)
        return gb / info.image_pull_gb_per_s if info is not None and info.image_pull_gb_per_s > 0 else 0.0

    # -- machines ------------------------------------------------------------------------------

    def transition_to(self, m: Machine, phase: MachinePhase, why: str) -> None:
        """The one function for every change of a machine's phase."""
        if m.phase is phase:
            return
        log.info("machine %s %s -> %s: %s", m.name, m.phase.value, phase.value, why)
        m.phase = phase
        self.on_change()

    def ensure_machine(self, name: str, type_: str, zone: str, spot: bool) -> Machine:
        """The machine of this name, new if nobody has named it before."""
        m = self.machines.get(name)
        if m is None:
            m = Machine(
                name,
                len(self.machines_by_index),
                self.type_names.index_of(type_),
                self.zone_names.index_of(zone),
                spot,
                self.clock(),
            )
            self.machines[name] = m
            self.machines_by_index.append(m)
            m.described_as = (type_, zone, spot)
        elif type_ and m.described_as != (type_, zone, spot):
            m.type, m.zone, m.spot = self.type_names.index_of(type_), self.zone_names.index_of(zone), spot
            m.described_as = (type_, zone, spot)
            m.free_capacity = None
        return m

    def zone_of(self, name: str) -> int:
        """The zone of a machine, or NOWHERE while only records name it."""
        m = self.machines.get(name)
        return m.zone if m is not None and self.zone_names.names[m.zone] else UNKNOWN_ZONE

    def free_capacity(self, m: Machine) -> FreeCapacity:
        """What is free on the machine. Kept until something there changes: rounds are many, changes few."""
        if m.free_capacity is not None:
            return m.free_capacity
        info = self.machine_type(m.type)
        assert info is not None
        cpus, gpus, memory = info.cpus, info.gpus, info.memory_gb
        warm = set(m.cached_images)
        for job, _ in m.allocations.values():
            spec = job.spec
            if spec is not None:
                cpus -= spec.cpus
                gpus -= spec.gpus
                memory -= spec.memory_gb
                warm.add(job.image_index)  # being fetched: one fetch serves all tasks that wait for it
        price = info.spot_price if m.spot else info.price
        stock = self.on_demand_image_gb(m)
        m.free_capacity = FreeCapacity(
            m.index, m.type, m.zone, m.spot, cpus, gpus, memory, price, float(m.consecutive_errors), warm, stock
        )
        return m.free_capacity

    def attach_allocations(self, job: Job) -> None:
        """Fill in a job's indices, and tie its starts to their machines."""
        spec = job.spec
        if spec is None:
            return
        job.machine_type_fit = None
        job.image_index = self.image_names.index_of(spec.image)
        if not spec.spot and job.image_index not in self.on_demand_images:
            self.on_demand_images.add(job.image_index)
            self._invalidate_free_capacity()
        job.team_index = self.team_names.index_of(spec.team)
        job.rank = self.table.effective_rank(job)
        job.allowed_type_indices = (
            None if spec.types is None else frozenset(self.type_names.index_of(t) for t in spec.types)
        )
        job.zone_index = -1 if spec.zone is None else self.zone_names.index_of(spec.zone)
        for a in job.allocations.values():
            m = self.ensure_machine(a.machine, "", "", False)
            m.allocations[(job.job_id, a.task)] = (job, a)
            m.free_capacity = None

    def replace_allocations(self, job: Job, before: Iterable[Allocation]) -> None:
        """A job's record was replaced by somebody else's write: untie the starts of before, tie those of now."""
        for a in before:
            m = self.machines.get(a.machine)
            if m is not None and m.allocations.pop((job.job_id, a.task), None) is not None:
                m.free_capacity = None
        self.attach_allocations(job)
        self.on_change()

    def allocate(self, job: Job, task: int, m: Machine, attempt: int, now: float) -> Allocation:
        """A decision to start a task; nothing is sent before it is stored."""
        a = Allocation(task, m.name, m.epoch, attempt, now)
        job.allocations[task] = a
        job.has_unsaved_changes = job.has_unsaved_starts = True
        m.allocations[(job.job_id, task)] = (job, a)
        m.free_capacity = None
        return a

    def release_allocation(self, job: Job, a: Allocation, why: str) -> None:
        """A start is shown to be gone."""
        m = self.machines.get(a.machine)
        if m is not None:
            if job.spec is not None and not job.spec.spot:
                m.last_on_demand_work_at = self.clock()
            m.allocations.pop((job.job_id, a.task), None)
            m.free_capacity = None
        if job.allocations.get(a.task) is a:
            job.remove_allocation(a.task)
            self.on_allocation_released(job, a)
        if log.isEnabledFor(logging.DEBUG):
            log.debug("%s/%d attempt %d left %s: %s", job.job_id, a.task, a.attempt, a.machine, why)
        self.on_change()

    def release_all_allocations(self, m: Machine, why: str) -> None:
        """All starts on a machine are shown to be gone."""
        for job, a in list(m.allocations.values()):
            self.release_allocation(job, a, why)
        self.set_unrecorded_tasks(m, set())

    def set_unrecorded_tasks(self, m: Machine, tasks: set[tuple[str, int]]) -> None:
        """The tasks that a worker reports and that no start known here explains.

        However that came about, they are there: they are not started anywhere else until they are shown gone.
        """
        for ref, task in m.unrecorded_tasks - tasks:
            if ref in self.table.jobs:
                self.table.jobs[ref].remove_unrecorded_sighting(task, m.name)
        for ref, task in tasks:
            if ref in self.table.jobs:
                self.table.jobs[ref].add_unrecorded_sighting(task, m.name)
        m.unrecorded_tasks = tasks

    def confirm_deletion(self, m: Machine, why: str) -> None:
        """The cloud has confirmed that the machine is no more."""
        self.release_all_allocations(m, why)
        self.transition_to(m, MachinePhase.DELETED, why)
        self.machines.pop(m.name, None)
        self.deleted_names.add(m.name)
        self.lease_expiry.expired_machines.discard(m.name)  # whoever kept its lease, nothing runs there

    # -- images --------------------------------------------------------------------------------

    def on_demand_image_gb(self, m: Machine) -> float:
        """GB of images on the machine that are worth keeping for jobs of ordinary machines."""
        return sum(gb for i, gb in m.cached_images.items() if i in self.on_demand_images)

    def record_image_use(self, m: Machine, image: int, gb: float) -> None:
        """The machine has an image, which it used just now."""
        m.cached_images.pop(image, None)
        m.cached_images[image] = gb
        m.free_capacity = None
        info = self.machine_type(m.type)
        if info is not None and info.image_cache_gb > 0:
            while len(m.cached_images) > 1 and sum(m.cached_images.values()) > info.image_cache_gb:
                m.cached_images.popitem(last=False)

    def process_heartbeat(self, beat: Heartbeat) -> list[Command] | None:
        """Take in a report and decide the answer's commands. None: too old to be answered."""
        return self.heartbeat_handler.process_heartbeat(beat)

    # -- stops ---------------------------------------------------------------------------------

    def request_stop(self, job: Job, a: Allocation, grace: float, why: str) -> None:
        """Ask for an orderly stop; of a gang, all tasks are told."""
        if a.stop_grace_s is not None:
            return
        self.on_stop_requested(job)
        many = job.allocations.values() if job.spec is not None and job.spec.gang else (a,)
        for x in many:
            if x.stop_grace_s is None:
                x.stop_grace_s = grace
        log.debug("%s/%d on %s is to stop: %s", job.job_id, a.task, a.machine, why)

    # -- time ----------------------------------------------------------------------------------

    def expire_leases(self, now: float) -> None:
        """Machines whose worker can't have a lease any more have no tasks."""
        self.lease_expiry.expire_leases(now)

    def is_schedulable(self, m: Machine, now: float) -> bool:
        """Whether new tasks may be placed here."""
        return (
            m.phase in SCHEDULABLE_PHASES
            and m.name not in self.cordoned
            and m.acknowledges
            and not m.unresponsive
            and m.epoch > 0
            and not m.unrecorded_tasks
            and now >= m.rejects_tasks_until
            and self.machine_type(m.type) is not None
        )
