"""The users of a simulated deployment: submissions, polls and cancellations, with a check of each response."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from harness.key_value_store import FakeKeyValueStore
from harness.rules import JobState, RuleChecker
from harness.submissions import description
from harness.worker import STEP_S, FakeWorker
from hookwall.node.node import Node


class UserRequests:
    """The requests of users to the nodes; the base class of `Simulation`."""

    nodes: dict[str, Node]
    jobs: dict[str, JobState]
    workers: dict[str, FakeWorker]
    store: FakeKeyValueStore
    rules: RuleChecker

    def now(self) -> float:
        """Return the virtual time in seconds."""
        raise NotImplementedError

    def define_job(self, number: int, run_s: float = 30.0, ends: dict[int, float] | None = None, **changes: Any) -> str:
        """Define a job without submitting it; return its id.

        Its tasks run for `run_s` seconds; `ends` gives other run times for single tasks, by task number.
        """
        spec = description(number, **changes)
        self.jobs[spec["ref"]] = JobState(spec, run_s, ends=ends or {})
        return spec["ref"]

    @staticmethod
    def job_id(number: int) -> str:
        """Return the id of job `number`."""
        return description(number)["ref"]

    @staticmethod
    def description(number: int, **changes: Any) -> dict:
        """Return the submission of job `number` without defining the job, so that the checks do not expect it."""
        return description(number, **changes)

    def put_record(self, job_id: str, value: dict | None = None) -> None:
        """Put a job record into the store directly, so that a scenario need not submit thousands of jobs."""
        spec = {k: v for k, v in self.jobs[job_id].spec.items() if v is not None}
        record = {"phase": "open", "n": spec["pieces"], "next": 1, "on": [], "spec": spec, "at": 1.0, "done": ""}
        self.store.put_key("hookwall/job/" + job_id, value or record)
        self.jobs[job_id].accepted = True

    async def submit_spec(self, node: str, spec: dict) -> int:
        """Submit a job specification; return the status of the response."""
        status, raw, _ = await self.nodes[node].job_service.submit(json.dumps(spec).encode())
        self.rules.check_response(spec["ref"], status, raw)
        return status

    async def submit(self, node: str, job_id: str) -> int:
        """Submit a job to a node; return the status of the response."""
        return await self.submit_spec(node, self.jobs[job_id].spec)

    async def poll(self, node: str, job_id: str) -> tuple[int, str]:
        """Poll a job at a node; return status and phase of the response."""
        status, raw, _ = await self.nodes[node].job_service.get(job_id)
        self.rules.check_response(job_id, status, raw)
        return status, json.loads(raw).get("phase", "")

    async def cancel(self, node: str, job_id: str) -> tuple[int, str]:
        """Cancel a job at a node; return status and phase of the response."""
        if job_id in self.jobs:
            self.jobs[job_id].cancel_requested = True
        status, raw, _ = await self.nodes[node].job_service.cancel(job_id)
        self.rules.check_response(job_id, status, raw)
        return status, json.loads(raw).get("phase", "")

    async def submit_until_accepted(self, job_id: str, node: str | None = None, within_s: float = 20.0) -> None:
        """Repeat the submission of a job until a node accepts it."""
        until = self.now() + within_s
        while await self.submit(node or next(iter(self.nodes)), job_id) not in (200, 201):
            assert self.now() < until, f"{job_id} was not accepted"
            await asyncio.sleep(1.0)

    async def wait_until(self, condition: Callable[[], bool], within_s: float, message: str) -> None:
        """Wait until a condition holds; fail with `message` if it does not within `within_s` seconds."""
        end = self.now() + within_s
        while not condition():
            assert self.now() < end, message
            await asyncio.sleep(STEP_S)

    async def wait_until_running(self, job_id: str, within_s: float = 30.0) -> None:
        """Wait until all tasks of a job are running."""
        task_count = self.jobs[job_id].spec["pieces"]

        def all_run() -> bool:
            return task_count == sum(
                p.rpartition("/")[0] == job_id and t.phase == "running"
                for w in self.workers.values() for p, t in w.tasks.items()
            )  # fmt: skip

        await self.wait_until(all_run, within_s, f"{job_id} is not running completely")

    # -- tasks -----------------------------------------------------------------------------------

    def machines_with(self, job_id: str) -> list[FakeWorker]:
        """Return the machines that have a task of a job which has not exited."""
        return [
            worker
            for worker in self.workers.values()
            if any(p.rpartition("/")[0] == job_id and t.phase != "exited" for p, t in worker.tasks.items())
        ]

    def count_tasks_on_machines(self, job_id: str) -> int:
        """Return how many tasks of a job are on machines and have not ended."""
        return sum(
            p.rpartition("/")[0] == job_id and t.phase != "exited"
            for w in self.workers.values()
            for p, t in w.tasks.items()
        )
