"""A leader's job table, fleet and scheduler without its background loops, for unit tests of single decisions."""

from collections.abc import Iterable
from typing import Any

from harness.fake_clock import FakeClock
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
    """A leader's job table, fleet and scheduler.

    `submit`, `beat` and `store` stand in for users, workers and the job writer.
    """

    def __init__(self, params: PlatformParameters, clock: FakeClock) -> None:
        self.clock = clock
        self.table = JobTable(clock, lambda job, previous: self.fleet.replace_allocations(job, previous))
        self.fleet = Fleet(params, self.table, clock)
        self.fleet.set_catalog(CATALOG)
        self.fleet.tokens.begin_term(5)
        self.fleet.begin_validity(clock())
        self.scheduler = Scheduler(params, self.table, self.fleet, clock, time_of_day=lambda: clock() - 1000.0)
        self.stamp = 10
        self.sequence_numbers: dict[str, int] = {}
        self.tokens_seen: dict[str, int] = {}  # by machine: the token of the last response

    def submit(self, n: int = 1, **changes: Any) -> Job:
        """Apply the record of a new job that was submitted at `n` seconds; return the job."""
        spec = description(n, **changes)
        record = {"phase": "open", "n": spec["pieces"], "next": 1, "on": [], "spec": spec, "at": float(n), "done": ""}
        self.stamp += 1
        self.table.apply_record("hookwall/job/" + spec["ref"], record, self.stamp)
        return self.table.jobs[spec["ref"]]

    def store(self) -> None:
        """Confirm a write of the record of every job that has unsaved changes."""
        for job in list(self.table.open_jobs.values()):
            if job.has_unsaved_changes:
                self.stamp += 1
                self.fleet.tokens.record_commit(self.stamp)
                allocated = {a.task: (a.machine, a.attempt) for a in job.allocations.values()}
                job.has_unsaved_changes = job.has_unsaved_starts = False
                job.confirm_write(self.stamp, allocated, job.phase, job.done_count)
                self.table.update_indices(job)

    def beat(
        self,
        name: str,
        tasks: Iterable[tuple[str, int, str, str | None]] = (),
        token: int | None = None,
        tenure: int = 1,
        zone: str = "east",
        spot: bool = False,
        notice: float | None = None,
        tick: int | None = None,
    ) -> list[tuple[str, str, int]] | None:
        """Process a heartbeat; return the commands of the response as (action, task id, attempt).

        `tasks` are given as (id, attempt, phase, cause). `token` is the fencing token of the heartbeat, `tenure` its
        epoch and `tick` its sequence number; without `tick` it has the next number, and without `token` that of the
        last response to the machine. Return None if the worker receives no response.
        """
        if token is None:
            token = self.tokens_seen.get(name, 5)
        if tick is None and name not in self.sequence_numbers:
            # The scheduler places tasks on a worker only after the worker has shown that it receives responses: by a
            # second heartbeat soon after the first.
            self.sequence_numbers[name] = 0
            self.beat(name, tasks, token, tenure, zone, spot)
        sequence = self.sequence_numbers.get(name, 0) + 1 if tick is None else tick
        self.sequence_numbers[name] = sequence
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
        self.tokens_seen[name] = self.fleet.response_token(name)
        return [(command.action, command.task_id, command.attempt) for command in commands]
