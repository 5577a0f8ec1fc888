# ruff: noqa: ASYNC110
"""A team gets over its limit after the leader has crashed: a start that had been given up is carried out after all."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2.cluster import Cluster, CouldNotRunError, play
from standins_2.sites import TABLERONDE
from standins_2.worker import Task, Worker

TEAM, LIMIT = "bot-guild", 40.0
IMAGE = "img-07"


async def scenario(cluster: Cluster) -> None:
    """Fill the team's limit, let another team's guarantee push out a start that is not carried out yet, and crash."""
    only = cluster.machine("erable-gpu", "montreal-est")
    for _ in range(10):
        cluster.machine("erable-gpu", "sherbrooke")
    for worker in cluster.workers.values():
        worker.images.add(IMAGE)
    await cluster.start_all()
    await asyncio.sleep(4.0)
    gang = {
        "hookset": "bot-seat", "shape": "ensemble", "cores": 28.0, "cards": 4.0, "memGb": 200.0, "bundle": IMAGE,
        "sizeGb": 7.0, "samePlace": True, "pinEveryS": 15.0, "pinCostS": 2.0,
    }  # fmt: skip
    for number in range(9):
        ref = cluster.job(100 + number, 200.0, owner=TEAM, yard="sherbrooke", **gang)
        if await cluster.submit(ref) != 201:
            raise CouldNotRunError("a job was not accepted")
    await cluster.until(lambda: _used(cluster) == 36.0, 30.0, "nine jobs did not run")
    cluster.on_start = lambda worker, task: _judge(cluster, worker, task)  # type: ignore[method-assign]
    await asyncio.sleep(2.0)
    leader = cluster.leader
    given_up = cluster.job(200, 80.0, owner=TEAM, yard="montreal-est", **gang)
    next_one = cluster.job(201, 80.0, owner=TEAM, **gang)
    pushing = cluster.job(202, 80.0, owner="member-care", yard="montreal-est", **gang)
    stored = asyncio.Event()

    def on_commit(node: str, body: dict[str, Any], status: int) -> None:
        writes = any(next_one in change.get("set", "") for change in body.get("apply", ()))
        if writes and node == leader and status == 200 and "vm-" in str(body):
            stored.set()

    cluster.store.on_commit.append(on_commit)
    heard = only.renewed_at
    await cluster.until(lambda: only.renewed_at > heard and not only.changed, 5.0, "no report was answered")
    only.report_at = only.renewed_at + 2.2  # reports come every 2 s, give or take a quarter
    for ref in (given_up, next_one, pushing):
        if await cluster.submit(ref, [leader]) != 201:
            raise CouldNotRunError("a job was not accepted")
        await asyncio.sleep(0.45 if ref == given_up else 0.05)
    if not cluster.trouble:
        await asyncio.sleep(20.0)
        return
    await asyncio.wait_for(stored.wait(), 10.0)
    await asyncio.sleep(0.3)
    cluster.kill(leader)
    await asyncio.sleep(3.0)
    cluster.start(leader)
    end = time.monotonic() + 25.0
    while time.monotonic() < end and not cluster.violations:
        await asyncio.sleep(0.5)
    await asyncio.sleep(1.0)


def _used(cluster: Cluster) -> float:
    """Return the cards that the team's tasks use now."""
    return sum(
        cluster.jobs[task.ref].spec["cards"]
        for worker in cluster.workers.values()
        for task in worker.tasks.values()
        if task.on_machine() and cluster.jobs[task.ref].spec["owner"] == TEAM
    )


def _judge(cluster: Cluster, worker: Worker, task: Task) -> None:
    """Check the team's limit when a task of it is on its machine."""
    if cluster.jobs[task.ref].spec["owner"] == TEAM and _used(cluster) > LIMIT + 1e-6:
        cluster.violate(f"quota: {TEAM} uses {_used(cluster):.0f} of {LIMIT:.0f} with {task.piece} on {worker.name}")


play(Path(__file__).resolve().parent, TABLERONDE, scenario)
