"""One machine as the leader knows it, and the indices of names."""

from collections import OrderedDict
from enum import Enum

from hookwall.jobs.job import Allocation, Job
from hookwall.scheduling.placement import FreeCapacity


class NameIndex:
    """Names become dense indices at the door."""

    def __init__(self) -> None:
        self.index_by_name: dict[str, int] = {}
        self.names: list[str] = []

    def index_of(self, name: str) -> int:
        i = self.index_by_name.get(name)
        if i is None:
            i = self.index_by_name[name] = len(self.names)
            self.names.append(name)
        return i


class MachinePhase(Enum):
    BOOTING = "booting"  # rented, its worker has not reported yet
    UP = "up"
    PREEMPTION_NOTICED = "noticed"  # the cloud will take it
    QUARANTINED = "sick"  # fails its tasks; gets no more and is returned
    DRAINING = "draining"  # to be returned once its tasks have saved
    DELETING = "leaving"  # a deletion was sent or is about to be
    DELETED = "gone"


SCHEDULABLE_PHASES = (MachinePhase.UP,)


class Machine:
    """One machine."""

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
        self.name, self.index, self.type, self.zone, self.spot = name, index, type_, zone, spot
        self.described_as: tuple[str, str, bool] = ("", "", False)  # its type, zone and kind as last named
        self.phase = MachinePhase.BOOTING
        self.first_known_at = self.provisioned_at = now
        self.first_heartbeat_at = -1.0
        self.last_listed_at = -1e9  # when the cloud last named it; never for one that only records name
        self.listed_running_at = -1.0  # when it was first listed as running
        self.epoch = 0
        self.sequence = -1
        self.fencing_token = 0
        self.last_response_at = -1e9  # when a report was last answered by this leader
        self.allocations: dict[tuple[str, int], tuple[Job, Allocation]] = {}
        self.unrecorded_tasks: set[tuple[str, int]] = (
            set()
        )  # tasks that its worker reports and that no start here explains
        self.cached_images: OrderedDict[int, float] = OrderedDict()  # image -> GB, most recently used last
        self.preemption_at: float | None = None
        self.consecutive_errors = 0
        self.jobs_with_errors: set[str] = set()
        self.rejects_tasks_until = -1e9
        self.provisioning_failed = False
        self.reserved_for = ""
        self.acknowledges = False  # whether its reports show that our answers reach it
        self.acknowledged_at = -1e9  # when one last did
        self.unresponsive = False
        self.may_run_cancelled_tasks = (
            False  # its lease ended with cancelled tasks there, and it has not been heard since
        )
        self.free_capacity: FreeCapacity | None = None  # what is free here; None: to be counted anew
        self.last_on_demand_work_at = -1e9  # when it last had work that can't go to cheap machines
