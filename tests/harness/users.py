"""The users of a simulated deployment: submissions, polls and cancellations, each response checked."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from harness.key_value_store import FakeKeyValueStore
from harness.rules import JobFacts, RuleChecker
from harness.submissions import description
from harness.worker import STEP_S, FakeWorker
from hookwall.node.node import Node


class UserRequests:
    """What users ask of the nodes; the base of `Simulation`."""

    nodes: dict[str, Node]
    jobs: dict[str, JobFacts]
    workers: dict[str, FakeWorker]
    service: FakeKeyValueStore
    rules: RuleChecker

    def now(self) -> float:
        """The time of the fake clock, in seconds."""
        raise NotImplementedError

    def job(self, n: int, run_s: float = 30.0, ends: dict[int, float] | None = None, **changes: Any) -> str:
        spec = description(n, **changes)
        self.jobs[spec["ref"]] = JobFacts(spec, run_s, ends=ends or {})
        return spec["ref"]

    @staticmethod
    def job_ref(n: int) -> str:
        return description(n)["ref"]

    @staticmethod
    def description(n: int, **changes: Any) -> dict:
        return description(n, **changes)

    def put_record(self, ref: str, value: dict | None = None) -> None:
        """A record that is there already, so that a scenario need not submit thousands of jobs."""
        spec = {k: v for k, v in self.jobs[ref].spec.items() if v is not None}
        record = {"phase": "open", "n": spec["pieces"], "next": 1, "on": [], "spec": spec, "at": 1.0, "done": ""}
        self.service.epoch += 1
        key, value = "hookwall/job/" + ref, value or record
        self.service.keys[key] = (value, self.service.epoch, None)
        self.service.log.append((self.service.epoch, {"set": key, "value": value, "stamp": self.service.epoch}))
        self.jobs[ref].accepted = True

    async def ask(self, node: str, spec: dict) -> int:
        """Submit any description."""
        status, raw, _ = await self.nodes[node].job_service.submit(json.dumps(spec).encode())
        self.rules.check_response(spec["ref"], status, raw)
        return status

    async def submit(self, node: str, ref: str) -> int:
        return await self.ask(node, self.jobs[ref].spec)

    async def poll(self, node: str, ref: str) -> tuple[int, str]:
        status, raw, _ = await self.nodes[node].job_service.get(ref)
        self.rules.check_response(ref, status, raw)
        return status, json.loads(raw).get("phase", "")

    async def cancel(self, node: str, ref: str) -> tuple[int, str]:
        if ref in self.jobs:
            self.jobs[ref].asked_to_cancel = True
        status, raw, _ = await self.nodes[node].job_service.cancel(ref)
        self.rules.check_response(ref, status, raw)
        return status, json.loads(raw).get("phase", "")

    async def accepted(self, ref: str, node: str | None = None, within_s: float = 20.0) -> None:
        until = self.now() + within_s
        while await self.submit(node or next(iter(self.nodes)), ref) not in (200, 201):
            assert self.now() < until, f"{ref} was not accepted"
            await asyncio.sleep(1.0)

    async def until(self, what: Callable[[], bool], within_s: float, why: str) -> None:
        end = self.now() + within_s
        while not what():
            assert self.now() < end, why
            await asyncio.sleep(STEP_S)

    async def runs(self, ref: str, within_s: float = 30.0) -> None:
        n = self.jobs[ref].spec["pieces"]

        def all_run() -> bool:
            return n == sum(
                p.rpartition("/")[0] == ref and t.phase == "running"
                for w in self.workers.values() for p, t in w.tasks.items()
            )  # fmt: skip

        await self.until(all_run, within_s, f"{ref} does not run")
