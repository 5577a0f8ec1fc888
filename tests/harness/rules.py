"""The rules of the platform, checked on machines and in responses while a scenario plays."""

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from harness.worker import FakeWorker

if TYPE_CHECKING:
    from harness.simulation import Simulation


@dataclass
class JobFacts:
    """What is true of a job, and what its user was answered."""

    spec: dict
    run_s: float
    save_s: float = 0.0  # how long its tasks save when they are stopped
    ends: dict[int, float] = field(default_factory=dict)  # run time of single tasks, where it differs
    accepted: bool = False
    cancelled_at: float | None = None
    asked_to_cancel: bool = False
    final: str | None = None
    done: set[int] = field(default_factory=set)
    starts: int = 0
    first_start: float | None = None
    cancelled_response_at: float | None = None  # when its user first got `withdrawn`

    def needs(self) -> list[str]:
        """The jobs that it depends on directly."""
        return self.spec.get("awaits") or []


class RuleChecker:
    """Checks the platform's rules against what is true; what breaks is added to the simulation's `broken`."""

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation

    def check_start(self, worker: FakeWorker, task_id: str, job: JobFacts, now: float) -> None:
        """A task is about to run on a machine: place, quota, dependencies, and no other machine has it."""
        job_id = task_id.rpartition("/")[0]
        job.starts += 1
        job.first_start = now if job.first_start is None else job.first_start
        there = [
            (w, p)
            for w in self.simulation.workers.values()
            for p, t in w.tasks.items()
            if t.occupies_machine() and self.may_still_run(w, now)
        ]
        for other, p in there:
            if p == task_id and other is not worker:
                self.simulation.broken.append(f"ran_twice: {task_id} on {other.name} and {worker.name} at {now:.1f}")
        spec = job.spec
        zones = {w.zone for w, p in there if p.rpartition("/")[0] == job_id}
        if (spec["samePlace"] and zones - {worker.zone}) or (spec["yard"] not in (None, worker.zone)):
            self.simulation.broken.append(f"wrong_place: {task_id} in {worker.zone}, others in {zones}")
        if worker.spot and not spec["loaners"]:
            self.simulation.broken.append(f"wrong_place: {task_id} on a spot machine")
        team = next(t for t in self.simulation.params.teams if t.name == spec["owner"])
        used = spec["cards"] + sum(
            self.simulation.jobs[p.rpartition("/")[0]].spec["cards"]
            for _, p in there if self.simulation.jobs[p.rpartition("/")[0]].spec["owner"] == team.name
        )  # fmt: skip
        if team.gpus_max and used > team.gpus_max + 1e-9:
            self.simulation.broken.append(f"quota: {team.name} uses {used}")
        for need in job.needs():
            if len(self.simulation.jobs[need].done) < self.simulation.jobs[need].spec["pieces"]:
                self.simulation.broken.append(f"too_early: {task_id} before {need}")

    def may_still_run(self, worker: FakeWorker, now: float) -> bool:
        """Whether a worker may still run what it has: one that hangs ends its tasks first once its lease is over."""
        return now <= worker.lease_from + self.simulation.params.workers.lease_s

    def check_cancelled(self, now: float) -> None:
        """No task is on a machine for longer than `cancel_s` after its cancellation was confirmed."""
        for worker in self.simulation.workers.values():
            for task_id, task in worker.tasks.items():
                at = self.simulation.jobs[task_id.rpartition("/")[0]].cancelled_at
                if at is not None and task.occupies_machine() and now - at > self.simulation.params.workers.cancel_s:
                    self.simulation.broken.append(f"ran_cancelled: {task_id} on {worker.name} {now - at:.1f} s later")
                    self.simulation.jobs[task_id.rpartition("/")[0]].cancelled_at = None  # reported once

    def _ancestors(self, job_id: str) -> set[str]:
        """The jobs that a job needs, directly or through others."""
        found: set[str] = set()
        stack = [job_id]
        while stack:
            more = set(self.simulation.jobs[stack.pop()].needs()) - found
            found |= more
            stack.extend(more)
        return found

    def _check_ancestors(self, job_id: str, phase: str) -> None:
        """A response about a job agrees with the phases of the jobs that it depends on."""
        ancestors = [self.simulation.jobs[a] for a in self._ancestors(job_id)]
        if phase == "withdrawn" and not any(j.asked_to_cancel for j in (self.simulation.jobs[job_id], *ancestors)):
            self.simulation.broken.append(f"went_back: {job_id} cancelled by nobody")
        answered_at = min(
            (j.cancelled_response_at for j in ancestors if j.cancelled_response_at is not None), default=None
        )
        if phase in ("pending", "running") and answered_at is not None:
            late = self.simulation.now() - answered_at - self.simulation.params.workers.cancel_s
            if late > 0:
                self.simulation.broken.append(f"orphaned: {job_id} {phase} {late:.1f} s too late")

    def check_response(self, job_id: str, status: int, raw: bytes) -> None:
        """A response to a user agrees with what is true and with earlier ones."""
        job = self.simulation.jobs.get(job_id)
        if status == 404 and job is not None and job.accepted:
            self.simulation.broken.append(f"forgotten: {job_id} answered 404")
        if status in (400, 422) and job is not None and job.accepted:
            self.simulation.broken.append(f"forgotten: {job_id} answered {status}")
        if status not in (200, 201):
            return
        phase = json.loads(raw)["phase"]
        if job is None:
            self.simulation.broken.append(f"invented: {job_id}")
            return
        job.accepted = True
        if job.final is not None and phase != job.final:
            self.simulation.broken.append(f"went_back: {job_id} {job.final} then {phase}")
        if phase == "done" and len(job.done) < job.spec["pieces"]:
            self.simulation.broken.append(f"not_done: {job_id} with {len(job.done)}")
        self._check_ancestors(job_id, phase)
        if phase == "withdrawn":
            if job.cancelled_response_at is None:
                job.cancelled_response_at = self.simulation.now()
            if job.cancelled_at is None and job.final is None:
                job.cancelled_at = self.simulation.now()
        if phase in ("done", "withdrawn"):
            job.final = phase
