"""Drains in a simulation on one clock, with several nodes, the store, the cloud, workers, users and failures."""

import asyncio

import pytest
from harness.drain_simulation import TEAMS, BudgetOracle, Operator, cordoned, operations
from harness.play import play
from harness.simulation import Simulation

from hookwall.drains.command import ExitCode
from hookwall.storage import keys

RED, BLUE = {"owner": "red"}, {"owner": "blue"}
WHOLE_MACHINE = {"cards": 4.0, "cores": 8.0}  # a task that needs all GPUs of a machine
LONG_RUN_S = 400.0


def play_with_budgets(scenario, machines: int = 4, budgets: dict[str, int] | None = None, **more) -> Simulation:
    """Play a scenario with a budget of one job per team by default; `BudgetOracle` checks the budgets."""
    allowed = {"red": 1, "blue": 1} if budgets is None else budgets

    async def with_oracle(simulation: Simulation) -> None:
        simulation.oracle = BudgetOracle(simulation, allowed).watch()
        await scenario(simulation, Operator(simulation))

    return play(with_oracle, machines, teams=TEAMS, operations=operations(**allowed), **more)


async def running_jobs(
    simulation: Simulation, *teams: dict, first: int = 1, run_s: float = LONG_RUN_S, **changes
) -> list[str]:
    """Submit one job for each of these teams, and wait until all run."""
    refs = [simulation.define_job(first + i, run_s=run_s, **{**team, **changes}) for i, team in enumerate(teams)]
    for ref in refs:
        await simulation.submit_until_accepted(ref)
    for ref in refs:
        await simulation.wait_until_running(ref)
    return refs


def machine_of(simulation: Simulation, ref: str) -> str:
    return next(
        worker.name
        for worker in simulation.workers.values()
        if any(task_id.startswith(ref) for task_id in worker.tasks)
    )


def test_a_zone_is_emptied_and_replaced_within_each_team_s_budget():
    async def scenario(simulation: Simulation, operator):
        simulation.cloud.available_machines = 4
        await running_jobs(simulation, RED, RED, BLUE, BLUE, **WHOLE_MACHINE)
        east = {worker.name for worker in simulation.workers.values() if worker.zone == "east"}
        await operator.start("kernel", "--zone", "east", "--batch", "2")
        await operator.wait_for_phase("kernel", 200.0)
        assert not east & simulation.workers.keys() and not cordoned(simulation)
        assert operator.record("kernel").outcome_counts == {"returned": 2}
        assert len(simulation.oracle.by_drains) == 2, "each job there was stopped once"
        await simulation.wait_until(
            lambda: all(simulation.count_tasks_on_machines(ref) for ref in simulation.jobs),
            60.0,
            "a job was not started again",
        )

    play_with_budgets(scenario)


def test_no_job_of_a_machine_is_evicted_while_one_of_the_teams_has_spent_its_budget():
    """A machine runs jobs of two teams. One team has just lost a job on another machine, so neither job is stopped."""

    async def scenario(simulation: Simulation, operator):
        simulation.cloud.available_machines = 4
        half = {"cards": 2.0}
        (lost,) = await running_jobs(simulation, BLUE, **WHOLE_MACHINE)
        red, blue = await running_jobs(simulation, RED, BLUE, first=2, **half)
        shared = machine_of(simulation, red)
        assert shared == machine_of(simulation, blue)
        simulation.workers.pop(machine_of(simulation, lost)).power_off()
        await simulation.wait_until(lambda: simulation.oracle.used("blue") == 1, 5.0, "the loss was not observed")
        await simulation.wait_until(
            lambda: simulation.leader().drains.controller.ledger.disruption_count("blue") == 1,
            60.0,
            "the loss was not counted",
        )
        await operator.start("kernel", "--machine", shared)
        await operator.wait_for_reason("kernel", "budget of team blue is spent", 20.0)
        assert (
            shared in cordoned(simulation)
            and simulation.count_tasks_on_machines(red) == 1
            and not simulation.oracle.by_drains
        )
        _, printed = await operator("status")
        assert [budget["used"] for budget in printed["budgets"] if budget["team"] == "blue"] == [1]
        await operator.wait_for_phase("kernel", 150.0)
        assert sorted(simulation.oracle.by_drains) == sorted([red, blue])

    play_with_budgets(scenario)


def test_no_job_is_evicted_before_there_is_capacity_on_other_machines():
    async def scenario(simulation: Simulation, operator):
        refs = await running_jobs(simulation, RED, BLUE, RED, BLUE, **WHOLE_MACHINE)
        machine = machine_of(simulation, refs[0])
        await operator.start("kernel", "--machine", machine)
        await operator.wait_for_reason("kernel", f"no room elsewhere for {refs[0]}", 30.0)
        await operator.wait_for_phase("kernel", 120.0, "stalled")
        assert not simulation.oracle.losses
        simulation.cloud.available_machines = 1
        await operator.wait_for_phase("kernel", 120.0)
        assert simulation.oracle.by_drains == [refs[0]] and machine not in simulation.workers

    play_with_budgets(scenario)


def test_jobs_are_not_evicted_from_the_only_zone_in_which_they_may_run():
    """The jobs may run in this zone only, and the cloud can't provision another machine there."""

    async def scenario(simulation: Simulation, operator):
        refs = await running_jobs(simulation, RED, BLUE, yard="east", **WHOLE_MACHINE)
        await operator.start("kernel", "--zone", "east", "--batch", "2")
        await operator.wait_for_reason("kernel", "no room elsewhere", 30.0)
        await asyncio.sleep(60.0)
        assert not simulation.oracle.losses and all(simulation.count_tasks_on_machines(ref) for ref in refs)
        simulation.cloud.available_machines = 2
        await operator.wait_for_phase("kernel", 200.0)
        assert sorted(simulation.oracle.by_drains) == sorted(refs)

    play_with_budgets(scenario)


def test_tasks_may_end_by_themselves_during_the_finish_grace():
    async def scenario(simulation: Simulation, operator):
        (ref,) = await running_jobs(simulation, RED, run_s=40.0, **WHOLE_MACHINE)
        await operator.start("kernel", "--machine", machine_of(simulation, ref), "--finish", "60")
        await operator.wait_for_phase("kernel", 100.0)
        assert not simulation.oracle.losses and len(simulation.jobs[ref].done) == 1

    play_with_budgets(scenario)


@pytest.mark.parametrize("at_deadline", ["go-on", "stop-waiting", "abort"])
def test_the_deadline_policy_decides_what_happens_at_the_deadline(at_deadline):
    async def scenario(simulation: Simulation, operator):
        refs = await running_jobs(simulation, RED, BLUE, RED, BLUE, **WHOLE_MACHINE)
        machine = machine_of(simulation, refs[0])
        await operator.start("kernel", "--machine", machine, "--deadline", "30", "--at-deadline", at_deadline)
        await operator.wait_for_reason("kernel", "no room", 25.0)
        await asyncio.sleep(45.0)
        if at_deadline == "abort":
            assert operator.record("kernel").phase.value == "aborted" and not cordoned(simulation)
            assert operator.record("kernel").wait_reason == "its deadline has passed"
        assert simulation.oracle.by_drains == ([refs[0]] if at_deadline == "stop-waiting" else [])
        assert (machine in simulation.workers) == (at_deadline != "stop-waiting")

    play_with_budgets(scenario)


def test_a_task_that_does_not_stop_is_reported_and_ended_only_by_the_deadline_policy():
    async def scenario(simulation: Simulation, operator):
        (ref,) = await running_jobs(simulation, RED, **WHOLE_MACHINE)
        simulation.jobs[ref].save_s = 10_000.0
        machine = machine_of(simulation, ref)
        await operator.start("kernel", "--machine", machine, "--deadline", "60", "--at-deadline", "stop-waiting")
        await operator.wait_for_reason("kernel", f"{ref}/0 was told to stop and has not ended", 50.0)
        assert simulation.workers[machine].tasks[f"{ref}/0"].phase == "saving"
        await operator.wait_for_phase("kernel", 60.0)

    play_with_budgets(scenario)


@pytest.mark.parametrize("fault", ["loses_responses", "hung", "taken", "loses_heartbeats"])
def test_a_machine_that_fails_while_it_is_drained_leaves_the_drain(fault):
    async def scenario(simulation: Simulation, operator):
        simulation.cloud.available_machines = 6
        refs = await running_jobs(simulation, RED, BLUE, **WHOLE_MACHINE)
        machines = [machine_of(simulation, ref) for ref in refs]
        await operator.start("kernel", "--machine", machines[0], "--machine", machines[1], "--batch", "2")
        await simulation.wait_until(lambda: len(cordoned(simulation)) == 2, 10.0, "no cordon")
        worker = simulation.workers[machines[0]]
        if fault == "taken":
            simulation.workers.pop(worker.name).power_off()
        else:
            setattr(worker, fault, True)
        await operator.wait_for_phase("kernel", 200.0)
        assert (
            not set(machines) & simulation.workers.keys()
            and sum(operator.record("kernel").outcome_counts.values()) == 2
        )
        await simulation.wait_until(
            lambda: all(simulation.count_tasks_on_machines(ref) for ref in refs), 60.0, "a job was not started again"
        )

    play_with_budgets(scenario)


def test_abort_puts_machines_back_in_service_and_resume_continues_the_drain():
    async def scenario(simulation: Simulation, operator):
        refs = await running_jobs(simulation, RED, BLUE, RED, BLUE, **WHOLE_MACHINE)
        machine = machine_of(simulation, refs[0])
        await operator.start("kernel", "--machine", machine)
        await operator.wait_for_reason("kernel", "no room", 30.0)
        code, printed = await operator("abort", "kernel")
        assert code == ExitCode.OK and printed["drains"][0]["phase"] == "aborted"
        await simulation.wait_until(lambda: not cordoned(simulation), 10.0, "still cordoned")
        assert (
            simulation.leader().fleet.is_schedulable(simulation.leader().fleet.machines[machine], simulation.now())
            and not simulation.oracle.losses
        )
        assert (await operator("abort", "kernel"))[0] == ExitCode.BAD_INPUT
        simulation.cloud.available_machines = 2
        assert (await operator("resume", "kernel"))[0] == ExitCode.OK
        await operator.wait_for_phase("kernel", 120.0)
        assert (await operator("resume", "kernel"))[0] == ExitCode.BAD_INPUT

    play_with_budgets(scenario)


def test_a_machine_in_maintenance_stays_out_of_service_until_it_is_released():
    """The machine's worker sends no heartbeats for a long time, as during the installation of a driver.

    Guards against deleting such a machine as unresponsive.
    """

    async def scenario(simulation: Simulation, operator):
        simulation.cloud.available_machines = 2
        refs = await running_jobs(simulation, RED, BLUE, RED, BLUE, **WHOLE_MACHINE)
        first, second = machine_of(simulation, refs[0]), machine_of(simulation, refs[1])
        await operator.start("driver", "--machine", first, "--machine", second, "--then", "hold")
        await operator.wait_for_reason("driver", "waits to be released", 60.0)
        (machine,) = cordoned(simulation)
        simulation.workers[machine].loses_heartbeats = True
        await asyncio.sleep(90.0)
        assert machine in simulation.workers and cordoned(simulation) == {machine}
        assert (await operator("release", "driver", "vm-999999"))[0] == ExitCode.NOT_FOUND
        simulation.workers[machine].loses_heartbeats = False
        await asyncio.sleep(10.0)
        assert (await operator("release", "driver", machine))[0] == ExitCode.OK
        await simulation.wait_until(
            lambda: cordoned(simulation) == {first, second} - {machine}, 20.0, "the next one is not cordoned"
        )
        await operator.wait_for_reason("driver", "waits to be released", 60.0)
        assert (await operator("release", "driver", *cordoned(simulation)))[0] == ExitCode.OK
        await operator.wait_for_phase("driver", 20.0)
        assert (
            operator.record("driver").outcome_counts == {"back in service": 2}
            and {first, second} <= simulation.workers.keys()
        )

    play_with_budgets(scenario)


def test_two_drains_share_budgets_and_machines():
    async def scenario(simulation: Simulation, operator):
        simulation.cloud.available_machines = 6
        refs = await running_jobs(simulation, RED, RED, RED, RED, **WHOLE_MACHINE)
        one, two, three = (machine_of(simulation, ref) for ref in refs[:3])
        await operator.start("a", "--machine", one, "--machine", two, "--batch", "2")
        await operator.start("b", "--machine", two, "--machine", three, "--batch", "2")
        await operator.wait_for_phase("a", 300.0)
        await operator.wait_for_phase("b", 300.0)
        assert not {one, two, three} & simulation.workers.keys()

    play_with_budgets(scenario)


def test_a_gang_on_two_machines_is_one_disruption_and_relocates_as_a_whole():
    async def scenario(simulation: Simulation, operator):
        simulation.cloud.available_machines = 2
        (ref,) = await running_jobs(simulation, RED, shape="ensemble", pieces=2, samePlace=True, **WHOLE_MACHINE)
        zone = next(worker.zone for worker in simulation.workers.values() if worker.tasks)
        await operator.start("kernel", "--zone", zone, "--batch", "2")
        await operator.wait_for_phase("kernel", 150.0)
        assert simulation.oracle.by_drains == [ref]
        await simulation.wait_until_running(ref, 60.0)

    play_with_budgets(scenario)


def test_preemptions_count_against_the_same_budget():
    async def scenario(simulation: Simulation, operator):
        refs = await running_jobs(simulation, RED, RED, BLUE, BLUE, rank="low", **WHOLE_MACHINE)
        urgent = simulation.define_job(9, run_s=LONG_RUN_S, rank="urgent", owner="blue", yard="east", **WHOLE_MACHINE)
        await simulation.submit_until_accepted(urgent)
        await simulation.wait_until(
            lambda: any(simulation.count_tasks_on_machines(ref) == 0 for ref in refs), 20.0, "no task was preempted"
        )
        team = next(simulation.jobs[ref].spec["owner"] for ref in refs if not simulation.count_tasks_on_machines(ref))
        other = next(
            ref
            for ref in refs
            if simulation.jobs[ref].spec["owner"] == team and simulation.count_tasks_on_machines(ref)
        )
        await operator.start("kernel", "--machine", machine_of(simulation, other), "--deadline", "5",
                             "--at-deadline", "stop-waiting")  # fmt: skip
        await operator.wait_for_reason("kernel", f"budget of team {team} is spent", 20.0)
        assert not simulation.oracle.by_drains

    play_with_budgets(scenario)


def test_no_job_is_evicted_during_a_store_outage_without_a_stored_disruption():
    async def scenario(simulation: Simulation, operator):
        simulation.cloud.available_machines = 4
        refs = await running_jobs(simulation, RED, BLUE, **WHOLE_MACHINE)
        machines = [machine_of(simulation, ref) for ref in refs]
        await operator.start("kernel", "--machine", machines[0], "--machine", machines[1], "--batch", "2")
        await simulation.wait_until(lambda: bool(cordoned(simulation)), 10.0, "no cordon")
        simulation.store.set_outage(True)
        lost = len(simulation.oracle.losses)
        await asyncio.sleep(25.0)
        assert len(simulation.oracle.losses) == lost
        assert (await operator("status"))[0] == ExitCode.UNAVAILABLE
        simulation.store.set_outage(False)
        await operator.wait_for_phase("kernel", 150.0)

    play_with_budgets(scenario)


def writes_drain_keys(body: dict) -> bool:
    """Whether a transaction writes keys of drains."""
    names = [change.get("set") or change.get("delete") for change in body.get("apply", [])]
    return any(name.startswith((keys.DRAIN_PREFIX, keys.CORDON_PREFIX, keys.DISRUPTION_PREFIX)) for name in names)


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("step", range(1, 9))
def test_a_leader_crash_at_any_step_loses_neither_the_budget_nor_the_drain(step, late):
    """The leader crashes just after its n-th write of drain keys was executed, or while that write is in transit."""

    async def scenario(simulation: Simulation, operator):
        simulation.cloud.available_machines = 6
        refs = await running_jobs(simulation, RED, BLUE, **WHOLE_MACHINE)
        machines = [machine_of(simulation, ref) for ref in refs]
        await operator.start("kernel", "--machine", machines[0], "--machine", machines[1])
        writes = 0

        def crash_at(node: str, body: dict) -> float | None:
            nonlocal writes
            writes += node != "operator" and writes_drain_keys(body)
            if writes != step or not writes_drain_keys(body) or node not in simulation.nodes:
                return None
            simulation.run_in_background(crash_and_restart(simulation, node))
            return 8.0 if late else None

        simulation.store.write_delay_s = crash_at
        await simulation.wait_until(
            lambda: writes >= step or operator.record("kernel").phase.value == "finished", 120.0, "too few writes"
        )
        await operator.wait_for_phase("kernel", 300.0)
        assert not set(machines) & simulation.workers.keys() and not cordoned(simulation)
        await simulation.wait_until(
            lambda: all(simulation.count_tasks_on_machines(ref) for ref in refs), 60.0, "a job was not started again"
        )

    play_with_budgets(scenario)


async def crash_and_restart(simulation: Simulation, node: str) -> None:
    await asyncio.sleep(0.05)
    if node in simulation.nodes:
        simulation.crash(node)
    await asyncio.sleep(3.0)
    if node not in simulation.nodes:
        simulation.start(node)


def test_nothing_is_drained_before_all_nodes_support_drains():
    """A leader with an older program would place new work on a machine that is being drained."""

    async def scenario(simulation: Simulation, operator):
        simulation.cloud.available_machines = 4
        (ref,) = await running_jobs(simulation, RED, **WHOLE_MACHINE)
        machine = machine_of(simulation, ref)
        await simulation.upgrade("n0")
        await simulation.upgrade("n1")
        code, printed = await operator("start", "kernel", "--machine", machine)
        assert code == ExitCode.OK and "n2" in printed["drains"][0]["reason"]
        for _ in range(2):
            simulation.crash(next(name for name, node in simulation.nodes.items() if node is simulation.leader()))
            await simulation.wait_for_leader()
            for name in simulation.names:
                if name not in simulation.nodes:
                    simulation.start(name, 3 if name == "n2" else 0)
            await asyncio.sleep(20.0)
        assert not cordoned(simulation) and not simulation.oracle.losses and machine_of(simulation, ref) == machine
        assert "not all nodes run" in operator.record("kernel").wait_reason
        await simulation.upgrade("n2")
        await operator.wait_for_phase("kernel", 150.0)

    play_with_budgets(scenario, old=3)


def test_a_node_with_drains_disabled_ignores_them():
    async def scenario(simulation: Simulation):
        operator = Operator(simulation)
        await operator.start("kernel", "--zone", "east", "--unbudgeted")
        await asyncio.sleep(20.0)
        assert not cordoned(simulation) and "switched on" in (await operator.status("kernel"))["reason"]

    play(scenario, teams=TEAMS)
