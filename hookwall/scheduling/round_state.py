"""What a round of decisions works on: the jobs that wait, and what is free."""

from collections import Counter
from dataclasses import dataclass, field

from hookwall.jobs.job import Active, Job
from hookwall.scheduling.placement import EPS, Ask, Room, allowed

MACHINE_BYTES = 40  # of a record, for each machine that it names
START_BYTES = 14  # and for each start, with what it leaves in the ranges of tasks that are done
LEAST_STARTS = 8  # that any record can name


@dataclass(slots=True)
class QueuedJob:
    """A job that a round could not serve in full: what the cloud slice rents for."""

    job: Job
    count: int
    since: float
    served: float = -1.0  # when it last got something, or began to wait
    zone: int = -1  # where machines are being kept for it
    declined: float = -1.0  # since when it leaves machines without its image to others, unserved


@dataclass(slots=True, frozen=True)
class StartRoom:
    """How many bytes of its record the starts of one job may take in the plain form.

    Several starts on one machine share its name, so new ones are taken to need no more names in a usual record. Those
    of a larger one count as each on a machine of its own, since that is what it might come to.
    """

    usual: float
    most: float


@dataclass(slots=True)
class Usage:
    """What a team's tasks may be using now, and what all its unfinished jobs want."""

    cpus: float = 0.0
    gpus: float = 0.0


@dataclass(slots=True)
class StopOption:
    """Room that could be made on one machine for tasks of one size."""

    cost: float  # without a fetch
    index: int
    count: int  # how many of the tasks would fit
    victims: list[tuple[Job, Active]]


@dataclass(slots=True)
class RoundState:
    """One round's view of what is free."""

    rooms: dict[int, Room] = field(default_factory=dict)
    free: dict[int, Room] = field(default_factory=dict)  # those of them with a GPU left
    rivals: dict[tuple[int, bool], Counter[int]] = field(default_factory=dict)
    options: dict[tuple, list[StopOption]] = field(default_factory=dict)
    usage: dict[int, Usage] = field(default_factory=dict)
    held: dict[int, str] = field(default_factory=dict)
    kept: set[int] = field(default_factory=set)  # for whole-machine jobs that may come
    awaited: set[int] = field(default_factory=set)  # for those that wait
    suiting: dict[tuple, list[Room]] = field(default_factory=dict)  # by what may be asked, but for those held

    def unheld(self, ask: Ask) -> list[Room]:
        """Machines that the job's conditions admit and nobody holds.

        Each gang of a queue looked through all machines, most of which earlier ones had reserved: of
        567 machines and 100 waiting gangs that was half of all the leader did.
        """
        key = (ask.types, ask.zone, ask.spot)
        rooms = self.suiting.get(key)
        if rooms is None:
            rooms = [r for r in self.rooms.values() if allowed(ask, r)]
        rooms = self.suiting[key] = [r for r in rooms if r.index not in self.held]
        return rooms

    def may_fit(self, gpus: float) -> dict[int, Room]:
        """Under load few machines have a GPU left, and only those matter to a task that needs one."""
        return self.free if gpus > 0 else self.rooms

    def take(self, index: int, job: Job, tasks: int) -> None:
        """Some tasks of a job are placed on a machine."""
        spec = job.spec
        assert spec is not None
        room = self.rooms[index]
        room.cpus -= spec.cpus * tasks
        room.gpus -= spec.gpus * tasks
        room.memory -= spec.memory * tasks
        room.warm = {*room.warm, job.image}
        if room.gpus <= EPS:
            self.free.pop(index, None)


def most_starts(job: Job, room: StartRoom) -> int:
    """How many more starts the job's record can name: a value has a limit, and ranges are short."""
    starts = len(job.active)
    used = MACHINE_BYTES * len({a.machine for a in job.active.values()}) + START_BYTES * starts
    usual = (room.usual - used) / START_BYTES
    most = (room.most - used) / (MACHINE_BYTES + START_BYTES)
    return max(0, LEAST_STARTS - starts, int(usual), int(most))


def needy(waiting: dict[str, QueuedJob]) -> list[QueuedJob]:
    """Queued jobs in the order in which the cloud slice rents for them."""
    return sorted(waiting.values(), key=lambda w: (w.job.rank, w.job.arrival, w.job.ref))
