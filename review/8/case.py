"""One accepted job with a tiny amount stops all rounds and all renting: no task of anybody is ever started."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2.cluster import Cluster, CouldNotRunError, play
from standins_2.sites import FINDWELL

CORES = 6.9e-310  # what a double that was never set often holds
WAIT_S = 75.0  # for the first task of three sound jobs; machines are up 3 s after they were rented


async def scenario(cluster: Cluster) -> None:
    """Submit a job with a mistake (unless TROUBLE=0), then three sound ones, and wait for any task."""
    cluster.cloud.boot_s = 3.0
    for zone in cluster.zones:
        cluster.cloud.free["vitosha-gpu", zone, False] = 9
        cluster.cloud.free["vitosha-gpu", zone, True] = 11
    for name in cluster.names:
        cluster.start(name)
    await asyncio.sleep(4.0)
    if cluster.trouble:
        mistake = cluster.job(
            500, 60.0, hookset="photo-embed", owner="desk-ops", rank="low", pieces=10, cores=CORES, cards=1.0,
            memGb=18.0, bundle="img-02", sizeGb=0.3, loaners=True, pinEveryS=10.0, pinCostS=4.0,
        )  # fmt: skip
        status = await cluster.submit(mistake)
        if status != 201:
            cluster.record.line("check", f"the job with the mistake was answered {status}")
    await asyncio.sleep(2.0)
    sound = [
        cluster.job(
            501 + n, 100.0, hookset="urgent-match", owner="desk-ops", shape="ensemble", rank="urgent", cores=43.0,
            cards=8.0, memGb=150.0, bundle="img-07", sizeGb=0.6, samePlace=True, pinEveryS=30.0, pinCostS=2.0,
        )
        for n in range(3)
    ]  # fmt: skip
    for ref in sound:
        if await cluster.submit(ref) != 201:
            raise CouldNotRunError("a sound job was not accepted")
    until = time.monotonic() + WAIT_S
    polled = 0.0
    while time.monotonic() < until and not cluster.started:
        await asyncio.sleep(0.1)
        if time.monotonic() - polled > 5.0:
            polled = time.monotonic()
            for ref in sound:
                await cluster.poll(ref, cluster.names[int(polled) % 3])
    cluster.record.line("check", f"tasks started: {len(cluster.started)}, machines rented: {len(cluster.workers)}")
    if not cluster.started:
        cluster.violate("nothing_ran: no task was started")


play(Path(__file__).resolve().parent, FINDWELL, scenario)
