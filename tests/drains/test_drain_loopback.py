"""Drains with real controller processes, which are killed, and with workers and services on the loopback interface."""

import asyncio

import pytest
from harness import drain_simulation
from harness.drain_simulation import TEAMS, BudgetOracle, cordoned, operations
from harness.loopback import LoopbackCluster, play_loopback
from test_drains import BLUE, RED, WHOLE_MACHINE, machine_of

from hookwall.drains.command import ExitCode
from hookwall.drains.records import DrainRecord, decode
from hookwall.storage import keys

RUN_S = 600.0
BUDGETS = {"red": 1, "blue": 1}


def test_no_team_loses_more_running_jobs_than_its_budget_while_controllers_are_killed(monkeypatch: pytest.MonkeyPatch):
    """The machines of four jobs are drained. Leaders are killed after the first cordon and after two evictions."""
    monkeypatch.setattr(drain_simulation, "PERIOD_S", 4.0)

    async def scenario(cluster: LoopbackCluster) -> None:
        oracle = BudgetOracle(cluster, BUDGETS).watch()
        cluster.cloud.available_machines = 6
        refs = [cluster.define_job(n, run_s=RUN_S, **(RED, BLUE)[n % 2], **WHOLE_MACHINE) for n in range(1, 5)]
        for ref in refs:
            await cluster.submit_until_accepted(ref, cluster.names[0], 40.0)
        for ref in refs:
            await cluster.wait_until_running(ref, 40.0)
        machines = [machine_of(cluster, ref) for ref in refs]
        arguments = [argument for machine in machines for argument in ("--machine", machine)]
        code, printed = await cluster.call("drain", "plan", *arguments, "--batch", "2")
        assert code == ExitCode.OK and printed["disrupted"] == {"blue": 2, "red": 2}
        assert not any(key.startswith(keys.DRAIN_PREFIX) for key in cluster.store.keys)
        code, _ = await cluster.call("drain", "start", "kernel", *arguments, "--batch", "2")
        assert code == ExitCode.OK
        await cluster.wait_until(lambda: bool(cordoned(cluster)), 30.0, "no cordon")
        await restart_controller(cluster, cluster.leader_name())
        await cluster.wait_until(
            lambda: len(oracle.by_drains) >= 2, 120.0, "nothing is drained after the leader was killed"
        )
        await restart_controller(cluster, cluster.leader_name())
        code, printed = await cluster.call("drain", "status", "kernel", "--wait", "150")
        assert code == ExitCode.OK and printed["drains"][0]["phase"] == "finished", printed
        record = decode(cluster.store.keys[keys.DRAIN_PREFIX + "kernel"][0], DrainRecord)
        assert (
            record.outcome_counts == {"returned": 4}
            and not set(machines) & cluster.workers.keys()
            and not cordoned(cluster)
        )
        for ref in refs:
            await cluster.wait_until_running(ref, 60.0)
        assert sorted(set(oracle.by_drains)) == sorted(refs)

    play_loopback(scenario, machines=6, teams=TEAMS, operations=operations(**BUDGETS))


async def restart_controller(cluster: LoopbackCluster, name: str | None) -> None:
    """Kill a controller and start it again after three seconds."""
    assert name is not None
    cluster.crash(name)
    await asyncio.sleep(3.0)
    cluster.start(name)
