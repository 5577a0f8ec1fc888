"""Digests of the externally visible behaviour of seeded histories, to show that a refactoring has not changed it.

There are three digests for each kind of history and each seed: of the writes to the key-value store, of the commands to
workers and of the requests to the cloud. Each covers the events in order, with their virtual times. A refactoring must
leave all digests unchanged.

    PYTHONHASHSEED=0 python tests/history_digests.py FIRST LAST > digests.txt

The hash seed must be fixed, because a few choices between equal candidates depend on the iteration order of a set.
"""

import hashlib
import itertools
import json
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

TESTS = Path(__file__).parent
sys.path[:0] = [str(TESTS), str(TESTS.parent)]

import drain_histories  # noqa: E402  (the import path has to be set first)
import failover_histories  # noqa: E402
import histories  # noqa: E402
import pipeline_histories  # noqa: E402
from harness.cloud import FakeCloud  # noqa: E402
from harness.key_value_store import FakeKeyValueStore  # noqa: E402
from harness.worker import FakeWorker  # noqa: E402

KINDS = {
    "troubles": histories.violations_of_seed,
    "pipelines": pipeline_histories.violations_of_seed,
    "drains": drain_histories.violations_of_seed,
    "failovers": failover_histories.violations_of_seed,
}


class Recorder:
    """Records the writes, commands and cloud requests of the nodes in one history."""

    def __init__(self) -> None:
        self.digests = {name: hashlib.sha256() for name in ("writes", "commands", "cloud")}
        self.counts = dict.fromkeys(self.digests, 0)

    def add(self, name: str, *event: Any) -> None:
        """Add an event to a digest."""
        self.digests[name].update(json.dumps(event, sort_keys=True).encode() + b"\n")
        self.counts[name] += 1

    def attach(self) -> None:
        """Record all further calls to the fakes in this process."""
        store_call = FakeKeyValueStore.call
        cloud_call = FakeCloud.call
        execute_commands = FakeWorker.execute_commands

        async def on_store(store: Any, node: str, method: str, path: str, body: Any, timeout: float) -> Any:
            if method != "GET":
                self.add("writes", round(store.simulation.now(), 3), node, method, path, body)
            return await store_call(store, node, method, path, body, timeout)

        async def on_cloud(cloud: Any, node: str, method: str, path: str, body: Any, timeout: float) -> Any:
            self.add("cloud", round(cloud.simulation.now(), 3), node, method, path, body)
            return await cloud_call(cloud, node, method, path, body, timeout)

        def on_commands(worker: Any, commands: list[dict[str, Any]]) -> None:
            if commands:
                self.add("commands", round(worker.simulation.now(), 3), worker.name, commands)
            execute_commands(worker, commands)

        FakeKeyValueStore.call = on_store
        FakeCloud.call = on_cloud
        FakeWorker.execute_commands = on_commands


def digest(kind: str, seed: int) -> str:
    """Run one history; return a line with its digests and the number of events in each."""
    serial = itertools.count()
    random.SystemRandom = lambda: random.Random(f"{seed} {next(serial)}")  # makes the stored process ids reproducible
    recorder = Recorder()
    recorder.attach()
    KINDS[kind](seed)
    parts = (f"{name}={recorder.counts[name]}:{digest.hexdigest()[:16]}" for name, digest in recorder.digests.items())
    return f"{kind} {seed} {' '.join(parts)}"


def main() -> None:
    """Print the digests for a range of seeds."""
    seeds = range(int(sys.argv[1]), int(sys.argv[2]))
    pairs = [(kind, seed) for kind in KINDS for seed in seeds]
    with ProcessPoolExecutor(max_workers=5, max_tasks_per_child=1) as pool:
        for line in pool.map(digest, *zip(*pairs, strict=True)):
            print(line, flush=True)


if __name__ == "__main__":
    main()
