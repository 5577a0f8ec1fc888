# ruff: noqa: ASYNC110
"""A task is started on a second machine while a follower renews the lease of the first, whose zone is cut off.

The leader's link to the state service is interrupted for a moment, just when the follower states that it renews the
lease. What the leader decided meanwhile, on a lease that seemed to have ended, is stored although it should be void.
"""

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from aiohttp import web
from standins_2.cluster import Cluster, CouldNotRunError, play
from standins_2.sites import FINDWELL
from standins_2.store import Link
from standins_2.worker import Task, Worker

FAR, NEAR = "plovdiv-room", "lozenets"
NEAR_MACHINES = 7
# After the last answered report of the cut-off machine was sent.
HELD_FROM_S = 11.42
HELD_UNTIL_S = 12.70
LATER_S = 0.18  # by which a connection with a lost packet is behind the others
CUT_S = 24.0  # the zones are apart for this long; the site file has 25 s


async def scenario(cluster: Cluster) -> None:
    """Bring the disruption about, and watch where tasks run."""
    far = cluster.machine("vitosha-gpu", FAR)
    for _ in range(NEAR_MACHINES):
        cluster.machine("vitosha-gpu", NEAR)
    for name in ("wallhost-0", "wallhost-2"):
        cluster.start(name)
    await cluster.until(lambda: bool(cluster.leader), 30.0, "no node answers workers")
    cluster.start("wallhost-1")
    leader = cluster.leader
    other = next(name for name in ("wallhost-0", "wallhost-2") if name != leader)
    far.order = [cluster.names.index(name) for name in (leader, other, "wallhost-1")]
    await asyncio.sleep(4.0)
    ref = cluster.job(
        398, 3.0, hookset="photo-embed", owner="desk-ops", rank="low", pieces=1500, cores=5.0, cards=1.0, memGb=18.0,
        bundle="img-02", sizeGb=0.3, pinEveryS=10.0, pinCostS=4.0,
    )  # fmt: skip

    def begin(worker: Worker, task: Task) -> None:
        cluster.jobs[ref].longer.setdefault(task.piece, 300.0 if worker is far else random.uniform(1.0, 5.0))

    cluster.on_launch = begin  # type: ignore[method-assign]
    if await cluster.submit(ref) != 201:
        raise CouldNotRunError("the job was not accepted")
    await cluster.until(lambda: len([t for w, t in cluster.tasks_of(ref, "running") if w is far]) >= 4, 30.0, "not up")
    await asyncio.sleep(5.0)
    if cluster.leader != leader:
        raise CouldNotRunError("another node leads")
    if cluster.trouble:
        await _trouble(cluster, ref, far, leader)
    else:
        await asyncio.sleep(CUT_S)


async def _trouble(cluster: Cluster, ref: str, far: Worker, leader: str) -> None:
    """Cut the zones apart, and hold the leader's traffic with the state service for a moment."""
    store = cluster.store
    renewed = far.renewed_at
    await cluster.until(lambda: far.renewed_at > renewed, 5.0, "no report was answered")
    sent_at = far.renewed_at
    far.report_at, far.changed = sent_at + 1.5, True
    cluster.cut_zones(NEAR, FAR, "hold")
    held = asyncio.Event()
    link = store.links.setdefault(leader, Link())
    commits = Link()

    def on_commit(node: str, body: dict[str, Any], status: int) -> None:
        writes_job = any(ref in change.get("set", "") for change in body.get("apply", ()))
        if node == leader and status == 200 and writes_job and armed and not held.is_set():
            link.hold()
            commits.hold()
            held.set()
            cluster.record.line("network", f"{leader} | state service: hold")

    async def before_response(node: str, request: web.Request, node_link: Link) -> None:
        await node_link.passed()
        if node == leader and request.path == "/commit":
            await commits.passed()

    armed = False
    store.on_commit.append(on_commit)
    store.before_response = before_response  # type: ignore[method-assign]
    await asyncio.sleep(sent_at + HELD_FROM_S - time.monotonic())
    if far.lease_ends_at() > sent_at + 12.01:
        raise CouldNotRunError("the lease was renewed before")
    armed = True
    while not held.is_set() and time.monotonic() < sent_at + 11.9:
        far.report_at = time.monotonic() + 0.1
        await asyncio.sleep(0.01)
    if not held.is_set():
        raise CouldNotRunError("no write of the job came at the moment in question")
    far.report_at = max(sent_at + 11.6, time.monotonic())
    await asyncio.sleep(sent_at + HELD_UNTIL_S - time.monotonic())
    cluster.record.line("network", f"{leader} | state service: delivered")
    link.release()
    await asyncio.sleep(LATER_S)
    commits.release()
    end = sent_at + CUT_S
    while time.monotonic() < end and not cluster.violations:
        await asyncio.sleep(0.1)
    cluster.cut_zones(NEAR, FAR, "pass")


play(Path(__file__).resolve().parent, FINDWELL, scenario)
