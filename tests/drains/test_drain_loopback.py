"""Drains with real controller processes that are killed, workers and services on loopback."""

import asyncio

import pytest
from harness import drain_simulation
from harness.drain_simulation import TEAMS, BudgetOracle, cordoned, operations
from harness.loopback import LoopbackCluster, play_loopback
from test_drains import BLUE, RED, WHOLE, machine_of

from hookwall.drains.command import ExitCode
from hookwall.drains.records import DrainRecord, decode
from hookwall.storage import keys

RUN_S = 600.0
BUDGETS = {"red": 1, "blue": 1}


def test_no_team_loses_more_running_jobs_than_its_budget_while_controllers_are_killed(monkeypatch: pytest.MonkeyPatch):
    """Half of the machines are replaced; the leader is killed while the first is emptied, and the next one later."""
    monkeypatch.setattr(drain_simulation, "PERIOD_S", 4.0)

    async def scenario(w: LoopbackCluster) -> None:
        oracle = BudgetOracle(w, BUDGETS).watch()
        w.cloud.room = 6
        refs = [w.job(n, run_s=RUN_S, **(RED, BLUE)[n % 2], **WHOLE) for n in range(1, 5)]
        for ref in refs:
            await w.accepted(ref, w.names[0], 40.0)
        for ref in refs:
            await w.runs(ref, 40.0)
        machines = [machine_of(w, ref) for ref in refs]
        named = [part for machine in machines for part in ("--machine", machine)]
        code, printed = await w.call("drain", "plan", *named, "--batch", "2")
        assert code == ExitCode.OK and printed["disrupted"] == {"blue": 2, "red": 2}
        assert not any(key.startswith(keys.DRAIN_PREFIX) for key in w.service.keys)
        code, _ = await w.call("drain", "start", "kernel", *named, "--batch", "2")
        assert code == ExitCode.OK
        await w.until(lambda: bool(cordoned(w)), 30.0, "no cordon")
        await replaced(w, w.leader_name())
        await w.until(lambda: len(oracle.by_drains) >= 2, 120.0, "nothing is drained after the leader was killed")
        await replaced(w, w.leader_name())
        code, printed = await w.call("drain", "status", "kernel", "--wait", "150")
        assert code == ExitCode.OK and printed["drains"][0]["phase"] == "finished", printed
        record = decode(w.service.keys[keys.DRAIN_PREFIX + "kernel"][0], DrainRecord)
        assert record.outcome_counts == {"returned": 4} and not set(machines) & w.workers.keys() and not cordoned(w)
        for ref in refs:
            await w.runs(ref, 60.0)
        assert sorted(set(oracle.by_drains)) == sorted(refs)

    play_loopback(scenario, machines=6, teams=TEAMS, operations=operations(**BUDGETS))


async def replaced(w: LoopbackCluster, name: str | None) -> None:
    """A controller is killed and comes back after three seconds."""
    assert name is not None
    w.crash(name)
    await asyncio.sleep(3.0)
    w.start(name)
