"""Digests of what seeded histories do at the outside, to show that a change of the code changed no behaviour.

For each kind of history and each seed, three digests: the writes at the key-value store, the commands at workers and
the calls at the cloud, each with its time on the fake clock, in order. A refactoring leaves all of them as they were.

    PYTHONHASHSEED=0 python tests/history_digests.py FIRST LAST > digests.txt

The hash seed has to be fixed, since a few choices among equals follow the order of a set.
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

import drain_histories  # noqa: E402  (the checkout's modules come first)
import histories  # noqa: E402
import pipeline_histories  # noqa: E402
from harness.cloud import FakeCloud  # noqa: E402
from harness.key_value_store import FakeKeyValueStore  # noqa: E402
from harness.worker import FakeWorker  # noqa: E402

KINDS = {
    "troubles": histories.broken_by,
    "pipelines": pipeline_histories.broken_by,
    "drains": drain_histories.broken_by,
}


class Recorder:
    """Records what the nodes of one history ask of the key-value store, the workers and the cloud."""

    def __init__(self) -> None:
        self.digests = {name: hashlib.sha256() for name in ("writes", "commands", "cloud")}
        self.counts = dict.fromkeys(self.digests, 0)

    def add(self, name: str, *event: Any) -> None:
        """Add an event to a digest."""
        self.digests[name].update(json.dumps(event, sort_keys=True).encode() + b"\n")
        self.counts[name] += 1

    def attach(self) -> None:
        """Record every later call of the stand-ins, in this process."""
        store_call = FakeKeyValueStore.call
        cloud_call = FakeCloud.call
        execute_commands = FakeWorker.execute_commands

        async def on_store(service: Any, node: str, method: str, path: str, body: Any, timeout: float) -> Any:
            if method != "GET":
                self.add("writes", round(service.simulation.now(), 3), node, method, path, body)
            return await store_call(service, node, method, path, body, timeout)

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
    """Play one history; a line with its digests and how many events each covers."""
    serial = itertools.count()
    random.SystemRandom = lambda: random.Random(f"{seed} {next(serial)}")  # process ids, which are stored
    recorder = Recorder()
    recorder.attach()
    KINDS[kind](seed)
    parts = (f"{name}={recorder.counts[name]}:{digest.hexdigest()[:16]}" for name, digest in recorder.digests.items())
    return f"{kind} {seed} {' '.join(parts)}"


def main() -> None:
    """Print the digests of a range of seeds."""
    seeds = range(int(sys.argv[1]), int(sys.argv[2]))
    pairs = [(kind, seed) for kind in KINDS for seed in seeds]
    with ProcessPoolExecutor(max_workers=5, max_tasks_per_child=1) as pool:
        for line in pool.map(digest, *zip(*pairs, strict=True)):
            print(line, flush=True)


if __name__ == "__main__":
    main()
