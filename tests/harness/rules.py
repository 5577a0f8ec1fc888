"""The oracle for the rules of the platform: checks machines and responses while a scenario runs."""

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from harness.worker import FakeWorker

if TYPE_CHECKING:
    from harness.simulation import Simulation


@dataclass
class JobState:
    """The true state of a job, and what the responses to its user have said."""

    spec: dict
    run_s: float
    save_s: float = 0.0  # how long its tasks take to save a checkpoint when they are stopped
    ends: dict[int, float] = field(default_factory=dict)  # by task number: run times that differ from `run_s`
    accepted: bool = False
    cancelled_at: float | None = None
    cancel_requested: bool = False
    final: str | None = None
    done: set[int] = field(default_factory=set)
    starts: int = 0
    first_start: float | None = None
    cancelled_response_at: float | None = None  # time of the first response with `withdrawn`

    def needs(self) -> list[str]:
        """Return the jobs that this job depends on directly."""
        return self.spec.get("awaits") or []


class RuleChecker:
    """Checks the rules of the platform against the true state; adds violations to those of the simulation."""

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation

    def check_start(self, worker: FakeWorker, task_id: str, job: JobState, now: float) -> None:
        """Check a task that is about to run: placement, quota, dependencies, and that it runs on no other machine."""
        job_id = task_id.rpartition("/")[0]
        job.starts += 1
        job.first_start = now if job.first_start is None else job.first_start
        occupying = [
            (w, p)
            for w in self.simulation.workers.values()
            for p, t in w.tasks.items()
            if t.occupies_machine() and self.may_still_run(w, now)
        ]
        for other, p in occupying:
            if p == task_id and other is not worker:
                self.simulation.violations.append(
                    f"ran_twice: {task_id} on {other.name} and {worker.name} at {now:.1f}"
                )
        spec = job.spec
        zones = {w.zone for w, p in occupying if p.rpartition("/")[0] == job_id}
        if (spec["samePlace"] and zones - {worker.zone}) or (spec["yard"] not in (None, worker.zone)):
            self.simulation.violations.append(f"wrong_place: {task_id} in {worker.zone}, others in {zones}")
        if worker.spot and not spec["loaners"]:
            self.simulation.violations.append(f"wrong_place: {task_id} on a spot machine")
        team = next(t for t in self.simulation.params.teams if t.name == spec["owner"])
        used = spec["cards"] + sum(
            self.simulation.jobs[p.rpartition("/")[0]].spec["cards"]
            for _, p in occupying if self.simulation.jobs[p.rpartition("/")[0]].spec["owner"] == team.name
        )  # fmt: skip
        if team.gpus_max and used > team.gpus_max + 1e-9:
            self.simulation.violations.append(f"quota: {team.name} uses {used}")
        for need in job.needs():
            if len(self.simulation.jobs[need].done) < self.simulation.jobs[need].spec["pieces"]:
                self.simulation.violations.append(f"too_early: {task_id} before {need}")

    def may_still_run(self, worker: FakeWorker, now: float) -> bool:
        """Whether a worker may still run its tasks.

        After its lease has expired it may not: even a worker that has hung kills its tasks before anything else.
        """
        return now <= worker.lease_from + self.simulation.params.workers.lease_s

    def check_cancelled(self, now: float) -> None:
        """Check that no task stays on a machine for more than `cancel_s` after its cancellation was confirmed."""
        for worker in self.simulation.workers.values():
            for task_id, task in worker.tasks.items():
                at = self.simulation.jobs[task_id.rpartition("/")[0]].cancelled_at
                if at is not None and task.occupies_machine() and now - at > self.simulation.params.workers.cancel_s:
                    self.simulation.violations.append(
                        f"ran_cancelled: {task_id} on {worker.name} {now - at:.1f} s later"
                    )
                    self.simulation.jobs[task_id.rpartition("/")[0]].cancelled_at = None  # reported once

    def _ancestors(self, job_id: str) -> set[str]:
        """Return the jobs that a job depends on, directly or indirectly."""
        ancestors: set[str] = set()
        stack = [job_id]
        while stack:
            added = set(self.simulation.jobs[stack.pop()].needs()) - ancestors
            ancestors |= added
            stack.extend(added)
        return ancestors

    def _check_ancestors(self, job_id: str, phase: str) -> None:
        """Check that the phase in a response agrees with the state of the jobs that the job depends on."""
        ancestors = [self.simulation.jobs[a] for a in self._ancestors(job_id)]
        if phase == "withdrawn" and not any(j.cancel_requested for j in (self.simulation.jobs[job_id], *ancestors)):
            self.simulation.violations.append(f"went_back: {job_id} is cancelled without a request")
        first_response_at = min(
            (j.cancelled_response_at for j in ancestors if j.cancelled_response_at is not None), default=None
        )
        if phase in ("pending", "running") and first_response_at is not None:
            late = self.simulation.now() - first_response_at - self.simulation.params.workers.cancel_s
            if late > 0:
                self.simulation.violations.append(f"orphaned: {job_id} {phase} {late:.1f} s too late")

    def check_response(self, job_id: str, status: int, raw: bytes) -> None:
        """Check that a response to a user agrees with the true state and with earlier responses."""
        job = self.simulation.jobs.get(job_id)
        if status == 404 and job is not None and job.accepted:
            self.simulation.violations.append(f"forgotten: {job_id} answered 404")
        if status in (400, 422) and job is not None and job.accepted:
            self.simulation.violations.append(f"forgotten: {job_id} answered {status}")
        if status not in (200, 201):
            return
        phase = json.loads(raw)["phase"]
        if job is None:
            self.simulation.violations.append(f"invented: {job_id}")
            return
        job.accepted = True
        if job.final is not None and phase != job.final:
            self.simulation.violations.append(f"went_back: {job_id} {job.final} then {phase}")
        if phase == "done" and len(job.done) < job.spec["pieces"]:
            self.simulation.violations.append(f"not_done: {job_id} with {len(job.done)}")
        self._check_ancestors(job_id, phase)
        if phase == "withdrawn":
            if job.cancelled_response_at is None:
                job.cancelled_response_at = self.simulation.now()
            if job.cancelled_at is None and job.final is None:
                job.cancelled_at = self.simulation.now()
        if phase in ("done", "withdrawn"):
            job.final = phase
