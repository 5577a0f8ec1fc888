"""A gang of two loses a machine, and never runs again beside idle machines: each attempt gives up the other's fetch."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2.cluster import Cluster, CouldNotRunError, play
from standins_2.sites import TABLERONDE
from standins_2.worker import Task, Worker

IMAGE, IMAGE_GB = "img-07", 20.0  # the largest image of bot-seat in the site file; 40 s at the nominal rate
END_S = 108.0  # since the case began


async def scenario(cluster: Cluster) -> None:
    """Run a gang on two machines that have its image, and let one of the two stop; twelve others are up by then."""
    for zone, first, booting, left in zip(cluster.zones, (2, 0, 0), (2, 4, 6), (1, 0, 1), strict=True):
        for _ in range(first):
            cluster.machine("erable-gpu", zone).images.add(IMAGE)  # they ran this class before
        for _ in range(booting):
            cluster.cloud.add("erable-gpu", zone, False, time.monotonic() - 20.0, 10.0)
        cluster.cloud.free["erable-gpu", zone, False] = left
    alone: list[str] = []
    given_up: list[str] = []

    def on_exit(worker: Worker, task: Task) -> None:
        if task.cause == "alone":
            alone.append(worker.name)
        if task.cause == "halted" and IMAGE in worker.fetched:
            given_up.append(f"{worker.name} after {worker.fetched[IMAGE]:.1f} of {IMAGE_GB} GB")

    cluster.on_exit = on_exit  # type: ignore[method-assign]
    await cluster.start_all()
    ref = cluster.job(
        412, 80.0, hookset="bot-seat", owner="member-care", shape="ensemble", rank="standard", pieces=2, cores=28.0,
        cards=4.0, memGb=200.0, bundle=IMAGE, sizeGb=IMAGE_GB, samePlace=True, pinEveryS=15.0, pinCostS=2.0,
    )  # fmt: skip
    if await cluster.submit(ref) != 201:
        raise CouldNotRunError("the job was not accepted")
    await cluster.until(lambda: len(cluster.tasks_of(ref, "running")) == 2, 20.0, "the gang did not run at first")
    await asyncio.sleep(2.0)
    if cluster.trouble:
        lost = next(w for w, t in cluster.tasks_of(ref, "running") if t.piece.endswith("/1"))
        cluster.cloud.die(lost.name)
        await asyncio.sleep(1.0)
    ran_again = False
    polled = 0.0
    while cluster.record.now() < END_S:
        await asyncio.sleep(0.1)
        if time.monotonic() - polled > 5.0:
            polled = time.monotonic()
            await cluster.poll(ref, cluster.names[0])
        running = cluster.tasks_of(ref, "running")
        ran_again = ran_again or len(running) == 2 or ref in cluster.complete
        if ref in cluster.complete:
            break
    cluster.record.line("check", f"ran after the trouble: {ran_again}; alone: {alone}; fetches given up: {given_up}")
    if not ran_again and len(alone) >= 2 and len(given_up) >= 2:
        cluster.violate(f"an accepted job must run: {ref} did not run again, {len(alone)} attempts ended alone")


play(Path(__file__).resolve().parent, TABLERONDE, scenario)
