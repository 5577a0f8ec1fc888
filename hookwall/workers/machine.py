"""One machine as the leader knows it, and the dense indices of names.

Invariant: a task is in `Machine.allocations` or `Machine.unrecorded_tasks` for as long as it may run there.
"""

from collections import OrderedDict
from enum import Enum
from typing import NamedTuple

from hookwall.jobs.allocation import Allocation
from hookwall.jobs.job import Job
from hookwall.protocol.heartbeat_messages import TaskId
from hookwall.workers.resources import FreeCapacity

NEVER = -1e9  # before any time of the clock: a time that has not come yet, where a hot path compares it


class NameIndex:
    """Dense indices of names, in the order in which the names first appeared."""

    def __init__(self) -> None:
        """Begin without any name."""
        self.index_by_name: dict[str, int] = {}
        self.names: list[str] = []

    def index_of(self, name: str) -> int:
        """The index of a name; a new name gets the next one."""
        index = self.index_by_name.get(name)
        if index is None:
            index = self.index_by_name[name] = len(self.names)
            self.names.append(name)
        return index


class MachinePhase(Enum):
    """Where a machine is in its life. `FleetTransitions.transition_to` makes each change."""

    BOOTING = "booting"  # provisioned; its worker has sent no heartbeat yet
    UP = "up"
    PREEMPTION_NOTICED = "preemption_noticed"  # the cloud has announced that it takes the machine
    QUARANTINED = "quarantined"  # fails its tasks; gets no more and is deleted
    DRAINING = "draining"  # to be deleted once its tasks have written their checkpoints
    DELETING = "deleting"  # a deletion was sent or is about to be
    DELETED = "deleted"


SCHEDULABLE_PHASES = (MachinePhase.UP,)


class AllocatedTask(NamedTuple):
    """A start of a task that a record or a decision names on a machine."""

    job: Job
    allocation: Allocation


class MachineDescription(NamedTuple):
    """What a heartbeat or the cloud's list says of a machine; empty texts where only records name it."""

    type: str
    zone: str
    spot: bool


class Machine:
    """One machine: its identity, its worker's heartbeats, and what may run on it. Times are those of the clock."""

    __slots__ = (
        "acknowledged_at",
        "acknowledges",
        "allocations",
        "cached_images",
        "consecutive_errors",
        "described_as",
        "epoch",
        "fencing_token",
        "first_heartbeat_at",
        "first_known_at",
        "free_capacity",
        "index",
        "jobs_with_errors",
        "last_listed_at",
        "last_on_demand_work_at",
        "last_response_at",
        "listed_running_at",
        "may_run_cancelled_tasks",
        "name",
        "phase",
        "preemption_at",
        "provisioned_at",
        "provisioning_failed",
        "rejects_tasks_until",
        "reserved_for",
        "sequence",
        "spot",
        "type",
        "unrecorded_tasks",
        "unresponsive",
        "zone",
    )  # fmt: skip

    def __init__(self, name: str, index: int, type_: int, zone: int, spot: bool, now: float) -> None:
        """A machine that was heard of just now; `type_` and `zone` are indices of their names."""
        self.name = name
        self.index = index
        self.type = type_
        self.zone = zone
        self.spot = spot
        self.described_as = MachineDescription("", "", False)
        self.phase = MachinePhase.BOOTING
        self.reserved_for = ""  # the job for which it is set aside
        self._init_cloud_state(now)
        self._init_worker_state()
        self._init_tasks()

    def _init_cloud_state(self, now: float) -> None:
        """What the cloud says of the machine."""
        self.first_known_at = now
        self.provisioned_at = now
        self.last_listed_at = NEVER  # when the cloud last listed it; never for one that only records name
        self.listed_running_at = -1.0  # when it was first listed as running
        self.preemption_at: float | None = None  # when the cloud takes it, as announced
        self.provisioning_failed = False

    def _init_worker_state(self) -> None:
        """What the worker's heartbeats say."""
        self.first_heartbeat_at = -1.0
        self.epoch = 0
        self.sequence = -1
        self.fencing_token = 0
        self.last_response_at = NEVER  # when this leader last answered a heartbeat
        self.acknowledges = False  # whether its heartbeats show that our responses reach it
        self.acknowledged_at = NEVER  # when one last did
        self.unresponsive = False

    def _init_tasks(self) -> None:
        """What may run on the machine, and what is free there."""
        self.allocations: dict[TaskId, AllocatedTask] = {}
        # Tasks that its worker reports and that no allocation known here explains.
        self.unrecorded_tasks: set[TaskId] = set()
        # Its lease expired with cancelled tasks there, and its worker has not begun a new epoch since.
        self.may_run_cancelled_tasks = False
        self.cached_images: OrderedDict[int, float] = OrderedDict()  # image -> GB, most recently used last
        self.consecutive_errors = 0
        self.jobs_with_errors: set[str] = set()
        self.rejects_tasks_until = NEVER
        self.free_capacity: FreeCapacity | None = None  # None: to be computed anew
        self.last_on_demand_work_at = NEVER  # when it last had work that can't run on spot instances
