"""Stand-ins written from the protocol: a clock, a state service, and a small cluster to decide about."""

import asyncio

import pytest
from known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary  # noqa: F401

from hookwall.config.platform import (
    CloudLimits,
    MachineLimits,
    PlatformParameters,
    StoreLimits,
    TeamQuota,
    WorkerTimings,
)
from hookwall.jobs.job import Job
from hookwall.jobs.job_table import JobTable
from hookwall.protocol import cloud_messages, heartbeat_messages, json_messages
from hookwall.scheduling.scheduler import Scheduler
from hookwall.storage.client import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError, VersionedValue
from hookwall.storage.job_records import usable_value_bytes
from hookwall.workers.fleet import Fleet


class Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now

    def tick(self, seconds: float) -> None:
        self.now += seconds


class FakeState:
    """The state service as PROTOCOL describes it, with faults by hand."""

    def __init__(self, limits: StoreLimits) -> None:
        self.limits = limits
        self.max_transaction_changes, self.max_value_bytes = (
            limits.lowest_txn_ops(),
            usable_value_bytes(limits.lowest_value_kb()),
        )
        self.keys: dict[str, tuple[object, int]] = {}
        self.epoch = 0
        self.mode = "ok"  # ok | down | lost (not executed, no answer) | ghost (executed, no answer)
        self.requests: list[str] = []

    def batch_size(self) -> int:
        return self.max_transaction_changes

    def max_plain_value_bytes(self) -> int:
        return usable_value_bytes(self.limits.value_kb)

    def healthy(self) -> bool:
        return self.mode != "down"

    def has_recent_response(self) -> bool:
        return self.mode == "ok"

    async def revoke_session_lease(self, hold):
        self._enter("drop")
        self.keys.pop("hookwall/leader", None)

    def _enter(self, what: str) -> None:
        self.requests.append(what)
        if self.mode == "down":
            raise RequestRejectedError("503")
        if self.mode == "lost":
            raise OutcomeUnknownError("timeout")

    async def get(self, key):
        self._enter(f"get {key}")
        return self.keys.get(key)

    async def read(self, key) -> VersionedValue:
        got = await self.get(key)
        return VersionedValue(None, 0, self.epoch) if got is None else VersionedValue(*got, got[1])

    async def scan(self, prefix):
        self._enter("scan")
        return [(k, v, s) for k, (v, s) in sorted(self.keys.items()) if k.startswith(prefix)], self.epoch

    async def commit(self, when, put=(), hold=None, timeout=1.5, delete=()):
        self._enter("commit" if put or delete else "compare")
        await asyncio.sleep(0)
        failed = [k for k, s in when if self.keys.get(k, (None, 0))[1] != s]
        if failed:
            raise PreconditionFailedError(failed)
        if put or delete:
            self.epoch += 1
            for k, v in put:
                self.keys[k] = (v, self.epoch)
            for k in delete:
                self.keys.pop(k, None)
        if self.mode == "ghost":
            raise OutcomeUnknownError("timeout")
        return self.epoch

    async def grant_session_lease(self, ttl):
        self._enter("hold")
        return 7

    async def renew_session_lease(self, hold):
        self._enter("extend")
        return True


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def params() -> PlatformParameters:
    return PlatformParameters(
        size=3,
        zones=["east", "west"],
        workers=WorkerTimings(report_s=2.0, lease_s=12.0, gang_wait_s=40.0, gang_peer_s=8.0, cancel_s=40.0),
        state=StoreLimits(rps=100.0, write_rps=30.0, value_kb=16.0, txn_ops=12),
        cloud=CloudLimits(rps=2.0, list_lag_s=5.0),
        teams=[TeamQuota("red", gpus=8.0, gpus_max=16.0), TeamQuota("blue", gpus=8.0), TeamQuota("grey")],
        machine_limits=MachineLimits(),
    )


@pytest.fixture
def state(params: PlatformParameters) -> FakeState:
    return FakeState(params.state)


def description(n=1, **changes):
    """A submission's fields."""
    d = {
        "ref": f"run-{n:06d}", "hookset": "k", "owner": "grey", "shape": "batch", "rank": "standard", "pieces": 1,
        "cores": 4.0, "cards": 1.0, "memGb": 16.0, "bundle": "img-1", "sizeGb": 5.0, "hulls": None, "yard": None,
        "samePlace": False, "spread": False, "loaners": False, "guessS": 60.0, "pinEveryS": 10.0, "pinCostS": 2.0,
        "dueS": None,
    }  # fmt: skip
    return {**d, **changes}


CATALOG = json_messages.convert_message(
    {
        "hulls": [
            {"label": "g4", "cores": 32, "cards": 4, "memGb": 256, "localGb": 20, "pullGbPerS": 0.5, "price": 10.0,
             "spotPrice": 4.0, "startupS": 25, "yards": ["east", "west"]},
        ]
    },
    cloud_messages.Catalog,
)  # fmt: skip


class Cluster:
    """A leader's slices without its loops; `store` plays the writer."""

    def __init__(self, params: PlatformParameters, clock: Clock) -> None:
        self.clock = clock
        self.table = JobTable(clock, lambda job, previous: self.fleet.replace_allocations(job, previous))
        self.fleet = Fleet(params, self.table, clock)
        self.fleet.set_catalog(CATALOG)
        self.fleet.fencing_token = 5
        self.fleet.begin_validity(clock())
        self.scheduler = Scheduler(params, self.table, self.fleet, clock, time_of_day=lambda: clock() - 1000.0)
        self.stamp = 10
        self.ticks: dict[str, int] = {}

    def submit(self, n=1, **changes) -> Job:
        d = description(n, **changes)
        record = {"phase": "open", "n": d["pieces"], "next": 1, "on": [], "spec": d, "at": float(n), "done": ""}
        self.stamp += 1
        self.table.apply_record("hookwall/job/" + d["ref"], record, self.stamp)
        return self.table.jobs[d["ref"]]

    def store(self) -> None:
        """All that is dirty is written."""
        for job in list(self.table.open_jobs.values()):
            if job.has_unsaved_changes:
                self.stamp += 1
                on = {a.task: (a.machine, a.attempt) for a in job.allocations.values()}
                job.has_unsaved_changes = job.has_unsaved_starts = False
                job.confirm_write(self.stamp, on, job.phase, job.done_count)
                self.table.update_indices(job)

    def beat(self, name, tasks=(), token=5, tenure=1, zone="east", spot=False, notice=None, tick=None):
        """A worker's report; returns the commands as (verb, piece, attempt)."""
        if tick is None and name not in self.ticks:
            # A worker is used once it has shown that it gets answers: by a second report soon after.
            self.ticks[name] = 0
            self.beat(name, tasks, token, tenure, zone, spot)
        n = self.ticks[name] = self.ticks.get(name, 0) + 1 if tick is None else tick
        b = heartbeat_messages.Heartbeat(
            machine=name,
            epoch=tenure,
            sequence=n,
            fencing_token=token,
            type="g4",
            zone=zone,
            spot=spot,
            preemption_notice_s=notice,
            tasks=[heartbeat_messages.TaskStatus(task_id=p, attempt=a, phase=ph, cause=c) for p, a, ph, c in tasks],
        )
        orders = self.fleet.process_heartbeat(b)
        return None if orders is None else [(o.action, o.task_id, o.attempt) for o in orders]


@pytest.fixture
def cluster(params: PlatformParameters, clock: Clock) -> Cluster:
    return Cluster(params, clock)
