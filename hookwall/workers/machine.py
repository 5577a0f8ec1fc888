"""One machine as the leader knows it, and the indices of names."""

from collections import OrderedDict
from enum import Enum

from hookwall.jobs.job import Active, Job
from hookwall.scheduling.placement import Room


class Names:
    """Names become dense indices at the door."""

    def __init__(self) -> None:
        self.index: dict[str, int] = {}
        self.names: list[str] = []

    def of(self, name: str) -> int:
        i = self.index.get(name)
        if i is None:
            i = self.index[name] = len(self.names)
            self.names.append(name)
        return i


class Phase(Enum):
    BOOTING = "booting"  # rented, its worker has not reported yet
    UP = "up"
    NOTICED = "noticed"  # the cloud will take it
    SICK = "sick"  # fails its tasks; gets no more and is returned
    DRAINING = "draining"  # to be returned once its tasks have saved
    LEAVING = "leaving"  # a deletion was sent or is about to be
    GONE = "gone"


USABLE = (Phase.UP,)


class Machine:
    """One machine."""

    __slots__ = (
        "answered",
        "doubtful",
        "entries",
        "error_jobs",
        "errors",
        "failed",
        "full_until",
        "heard_us_at",
        "hears",
        "held_for",
        "images",
        "index",
        "known_at",
        "listed_at",
        "name",
        "notice_at",
        "phase",
        "ran_at",
        "rented_at",
        "room",
        "said",
        "silent",
        "solid_at",
        "spot",
        "tenure",
        "tick",
        "token",
        "type",
        "unrecorded",
        "up_at",
        "zone",
    )  # fmt: skip

    def __init__(self, name: str, index: int, type_: int, zone: int, spot: bool, now: float) -> None:
        self.name, self.index, self.type, self.zone, self.spot = name, index, type_, zone, spot
        self.said: tuple[str, str, bool] = ("", "", False)  # its type, zone and kind as last named
        self.phase = Phase.BOOTING
        self.known_at = self.rented_at = now
        self.up_at = -1.0
        self.listed_at = -1e9  # when the cloud last named it; never for one that only records name
        self.ran_at = -1.0  # when it was first listed as running
        self.tenure = 0
        self.tick = -1
        self.token = 0
        self.answered = -1e9  # when a report was last answered by this leader
        self.entries: dict[tuple[str, int], tuple[Job, Active]] = {}
        self.unrecorded: set[tuple[str, int]] = set()  # tasks that its worker reports and that no start here explains
        self.images: OrderedDict[int, float] = OrderedDict()  # image -> GB, most recently used last
        self.notice_at: float | None = None
        self.errors = 0
        self.error_jobs: set[str] = set()
        self.full_until = -1e9
        self.failed = False
        self.held_for = ""
        self.hears = False  # whether its reports show that our answers reach it
        self.heard_us_at = -1e9  # when one last did
        self.silent = False
        self.doubtful = False  # its lease ended with cancelled tasks there, and it has not been heard since
        self.room: Room | None = None  # what is free here; None: to be counted anew
        self.solid_at = -1e9  # when it last had work that can't go to cheap machines
