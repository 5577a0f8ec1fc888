"""The leader's state of one machine, and dense indices of names.

Invariant: a task is in `Machine.allocations` or `Machine.unrecorded_tasks` for as long as it may run on the machine.
"""

from collections import OrderedDict
from enum import Enum
from typing import NamedTuple

from hookwall.config.clock_bounds import DISTANT_PAST
from hookwall.jobs.allocation import Allocation
from hookwall.jobs.job import Job
from hookwall.protocol.heartbeat_messages import TaskId
from hookwall.workers.resources import FreeCapacity


class NameIndex:
    """Dense indices of names, in the order in which the names first appeared."""

    def __init__(self) -> None:
        self.index_by_name: dict[str, int] = {}
        self.names: list[str] = []

    def index_of(self, name: str) -> int:
        """Return the index of a name; a new name gets the next free index."""
        index = self.index_by_name.get(name)
        if index is None:
            index = self.index_by_name[name] = len(self.names)
            self.names.append(name)
        return index


class MachinePhase(Enum):
    """The lifecycle phase of a machine. `FleetTransitions.transition_to` makes each change."""

    BOOTING = "booting"  # provisioned; its worker has sent no heartbeat yet
    UP = "up"
    PREEMPTION_NOTICED = "preemption_noticed"  # the cloud has announced the preemption of the machine
    QUARANTINED = "quarantined"  # tasks failed on it repeatedly; gets no more tasks and is deleted
    DRAINING = "draining"  # will be deleted after its tasks have written their checkpoints
    DELETING = "deleting"  # a deletion request was sent or is about to be sent
    DELETED = "deleted"


SCHEDULABLE_PHASES = (MachinePhase.UP,)


class AllocatedTask(NamedTuple):
    """An allocation of a machine to a task, from a job record or from a decision of this leader, and its job."""

    job: Job
    allocation: Allocation


class MachineDescription(NamedTuple):
    """A machine as a heartbeat or the cloud's list describes it; strings are empty if only job records name it."""

    type: str
    zone: str
    spot: bool


class Machine:
    """One machine: its identity, its worker's heartbeats, and the tasks that may run on it.

    Times are readings of the node's clock in seconds.
    """

    __slots__ = (
        "acknowledged_at",
        "allocations",
        "cached_images",
        "consecutive_errors",
        "described_as",
        "epoch",
        "first_heartbeat_at",
        "first_known_at",
        "free_capacity",
        "index",
        "jobs_with_errors",
        "last_listed_at",
        "last_on_demand_work_at",
        "last_response_at",
        "launch_token",
        "listed_running_at",
        "may_run_cancelled_tasks",
        "name",
        "phase",
        "preemption_at",
        "provisioned_at",
        "provisioning_failed",
        "receives_responses",
        "rejects_tasks_until",
        "reserved_for",
        "response_token",
        "sequence",
        "spot",
        "type",
        "unrecorded_tasks",
        "unresponsive",
        "zone",
    )  # fmt: skip

    def __init__(self, name: str, index: int, type_: int, zone: int, spot: bool, now: float) -> None:
        """Create a machine that became known at `now`; `type_` and `zone` are name indices."""
        self.name = name
        self.index = index
        self.type = type_
        self.zone = zone
        self.spot = spot
        self.described_as = MachineDescription("", "", False)
        self.phase = MachinePhase.BOOTING
        self.reserved_for = ""  # the job for which the machine is reserved
        self._init_cloud_state(now)
        self._init_worker_state()
        self._init_tasks()

    def _init_cloud_state(self, now: float) -> None:
        """Initialize the state that the cloud reports."""
        self.first_known_at = now
        self.provisioned_at = now
        self.last_listed_at = DISTANT_PAST  # when the cloud last listed it; stays so if only job records name it
        self.listed_running_at = -1.0  # when it was first listed as running; negative: not yet
        self.preemption_at: float | None = None  # announced time of the preemption
        self.provisioning_failed = False

    def _init_worker_state(self) -> None:
        """Initialize the state that the worker's heartbeats report."""
        self.first_heartbeat_at = -1.0
        self.epoch = 0
        self.sequence = -1
        self.response_token = 0  # the highest token that was sent to the worker, or seen by it, in this term
        self.launch_token = 0  # the highest token with which a launch was sent
        self.last_response_at = DISTANT_PAST  # when this leader last answered a heartbeat
        self.receives_responses = False  # whether its heartbeats show that this leader's responses reach it
        self.acknowledged_at = DISTANT_PAST  # when a heartbeat last showed that
        self.unresponsive = False

    def _init_tasks(self) -> None:
        """Initialize the tasks that may run on the machine, and its free capacity."""
        self.allocations: dict[TaskId, AllocatedTask] = {}
        # Tasks that its worker reports without a matching allocation known to this leader.
        self.unrecorded_tasks: set[TaskId] = set()
        # Whether its lease expired while it had cancelled tasks, and its worker has not begun a new epoch since.
        self.may_run_cancelled_tasks = False
        self.cached_images: OrderedDict[int, float] = OrderedDict()  # image -> GB, most recently used last
        self.consecutive_errors = 0
        self.jobs_with_errors: set[str] = set()
        self.rejects_tasks_until = DISTANT_PAST
        self.free_capacity: FreeCapacity | None = None  # None: has to be computed again
        self.last_on_demand_work_at = DISTANT_PAST  # when it last had tasks that can't run on spot instances
