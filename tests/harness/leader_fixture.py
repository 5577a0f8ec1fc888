"""A leader's job table, fleet and scheduler without its loops, for tests of single decisions."""

from collections.abc import Iterable
from typing import Any

from harness.fake_clock import Clock
from harness.submissions import description
from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import Job
from hookwall.jobs.job_table import JobTable
from hookwall.protocol import cloud_messages, heartbeat_messages, json_messages
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet

CATALOG = json_messages.convert_message(
    {
        "hulls": [
            {"label": "g4", "cores": 32, "cards": 4, "memGb": 256, "localGb": 20, "pullGbPerS": 0.5, "price": 10.0,
             "spotPrice": 4.0, "startupS": 25, "yards": ["east", "west"]},
        ]
    },
    cloud_messages.Catalog,
)  # fmt: skip


class Cluster:
    """A leader's parts without its loops: `submit`, `beat` and `store` play users, workers and the job writer."""

    def __init__(self, params: PlatformParameters, clock: Clock) -> None:
        self.clock = clock
        self.table = JobTable(clock, lambda job, previous: self.fleet.replace_allocations(job, previous))
        self.fleet = Fleet(params, self.table, clock)
        self.fleet.set_catalog(CATALOG)
        self.fleet.fencing_token = 5
        self.fleet.begin_validity(clock())
        self.scheduler = Scheduler(params, self.table, self.fleet, clock, time_of_day=lambda: clock() - 1000.0)
        self.stamp = 10
        self.ticks: dict[str, int] = {}

    def submit(self, n: int = 1, **changes: Any) -> Job:
        """The record of a new job arrives, submitted at `n` seconds."""
        spec = description(n, **changes)
        record = {"phase": "open", "n": spec["pieces"], "next": 1, "on": [], "spec": spec, "at": float(n), "done": ""}
        self.stamp += 1
        self.table.apply_record("hookwall/job/" + spec["ref"], record, self.stamp)
        return self.table.jobs[spec["ref"]]

    def store(self) -> None:
        """Confirm a write of every job that has unsaved changes."""
        for job in list(self.table.open_jobs.values()):
            if job.has_unsaved_changes:
                self.stamp += 1
                allocated = {a.task: (a.machine, a.attempt) for a in job.allocations.values()}
                job.has_unsaved_changes = job.has_unsaved_starts = False
                job.confirm_write(self.stamp, allocated, job.phase, job.done_count)
                self.table.update_indices(job)

    def beat(
        self,
        name: str,
        tasks: Iterable[tuple[str, int, str, str | None]] = (),
        token: int = 5,
        tenure: int = 1,
        zone: str = "east",
        spot: bool = False,
        notice: float | None = None,
        tick: int | None = None,
    ) -> list[tuple[str, str, int]] | None:
        """Process a heartbeat with tasks as (id, attempt, phase, cause): the commands as (action, task id, attempt).

        None where the worker gets no response. `tick` is the sequence number; without it the next one is used.
        """
        if tick is None and name not in self.ticks:
            # Tasks are placed on a worker once it has shown that it gets responses: by a second heartbeat soon after.
            self.ticks[name] = 0
            self.beat(name, tasks, token, tenure, zone, spot)
        sequence = self.ticks.get(name, 0) + 1 if tick is None else tick
        self.ticks[name] = sequence
        heartbeat = heartbeat_messages.Heartbeat(
            machine=name,
            epoch=tenure,
            sequence=sequence,
            fencing_token=token,
            type="g4",
            zone=zone,
            spot=spot,
            preemption_notice_s=notice,
            tasks=[
                heartbeat_messages.TaskStatus(task_id=task_id, attempt=attempt, phase=phase, cause=cause)
                for task_id, attempt, phase, cause in tasks
            ],
        )
        commands = self.fleet.process_heartbeat(heartbeat)
        if commands is None:
            return None
        return [(command.action, command.task_id, command.attempt) for command in commands]
