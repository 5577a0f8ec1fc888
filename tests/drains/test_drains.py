"""Drains on one clock: several nodes, the state service, the cloud, workers and users, while things fail."""

import asyncio

import pytest
from harness.drain_simulation import TEAMS, BudgetOracle, Operator, cordoned, operations
from harness.play import play
from harness.simulation import Simulation

from hookwall.drains.command import ExitCode
from hookwall.storage import keys

RED, BLUE = {"owner": "red"}, {"owner": "blue"}
WHOLE = {"cards": 4.0, "cores": 8.0}  # a task that needs a machine's GPUs
LONG_S = 400.0


def drained(scenario, machines: int = 4, budgets: dict[str, int] | None = None, **more) -> Simulation:
    """Play a scenario with budgets of one job a team unless others are given; the oracle watches."""
    allowed = {"red": 1, "blue": 1} if budgets is None else budgets

    async def with_oracle(simulation: Simulation) -> None:
        simulation.oracle = BudgetOracle(simulation, allowed).watch()
        await scenario(simulation, Operator(simulation))

    return play(with_oracle, machines, teams=TEAMS, operations=operations(**allowed), **more)


async def running_jobs(w: Simulation, *teams: dict, first: int = 1, run_s: float = LONG_S, **changes) -> list[str]:
    """A job for each team named, all running."""
    refs = [w.job(first + i, run_s=run_s, **{**team, **changes}) for i, team in enumerate(teams)]
    for ref in refs:
        await w.accepted(ref)
    for ref in refs:
        await w.runs(ref)
    return refs


def machine_of(w: Simulation, ref: str) -> str:
    return next(m.name for m in w.workers.values() if any(p.startswith(ref) for p in m.tasks))


def test_a_zone_is_emptied_and_replaced_within_each_team_s_budget():
    async def scenario(w: Simulation, operator):
        w.cloud.room = 4
        await running_jobs(w, RED, RED, BLUE, BLUE, **WHOLE)
        east = {m.name for m in w.workers.values() if m.zone == "east"}
        await operator.start("kernel", "--zone", "east", "--batch", "2")
        await operator.ends("kernel", 200.0)
        assert not east & w.workers.keys() and not cordoned(w)
        assert operator.record("kernel").outcome_counts == {"returned": 2}
        assert len(w.oracle.by_drains) == 2, "each job there was stopped once"
        await w.until(lambda: all(w.on_machines(r) for r in w.jobs), 60.0, "a job was not started again")

    drained(scenario)


def test_a_machine_is_left_alone_while_another_team_s_budget_is_spent():
    """A machine has jobs of two teams, and one team has just lost a job elsewhere: neither job is stopped."""

    async def scenario(w: Simulation, operator):
        w.cloud.room = 4
        half = {"cards": 2.0}
        (lost,) = await running_jobs(w, BLUE, **WHOLE)
        red, blue = await running_jobs(w, RED, BLUE, first=2, **half)
        shared = machine_of(w, red)
        assert shared == machine_of(w, blue)
        w.workers.pop(machine_of(w, lost)).gone()
        await w.until(lambda: w.oracle.used("blue") == 1, 5.0, "no loss")
        await w.until(
            lambda: w.leader().drains.controller.ledger.disruption_count("blue") == 1, 60.0, "the loss was not counted"
        )
        await operator.start("kernel", "--machine", shared)
        await operator.waits_for("kernel", "budget of team blue is spent", 20.0)
        assert shared in cordoned(w) and w.on_machines(red) == 1 and not w.oracle.by_drains
        _, printed = await operator("status")
        assert [b["used"] for b in printed["budgets"] if b["team"] == "blue"] == [1]
        await operator.ends("kernel", 150.0)
        assert sorted(w.oracle.by_drains) == sorted([red, blue])

    drained(scenario)


def test_without_room_elsewhere_nothing_is_stopped_until_there_is():
    async def scenario(w: Simulation, operator):
        refs = await running_jobs(w, RED, BLUE, RED, BLUE, **WHOLE)
        machine = machine_of(w, refs[0])
        await operator.start("kernel", "--machine", machine)
        await operator.waits_for("kernel", f"no room elsewhere for {refs[0]}", 30.0)
        await operator.ends("kernel", 120.0, "stalled")
        assert not w.oracle.losses
        w.cloud.room = 1
        await operator.ends("kernel", 120.0)
        assert w.oracle.by_drains == [refs[0]] and machine not in w.workers

    drained(scenario)


def test_a_zone_that_holds_the_only_fitting_machines_keeps_its_work():
    """The jobs may run in this zone only, and the cloud has no machine there."""

    async def scenario(w: Simulation, operator):
        refs = await running_jobs(w, RED, BLUE, yard="east", **WHOLE)
        await operator.start("kernel", "--zone", "east", "--batch", "2")
        await operator.waits_for("kernel", "no room elsewhere", 30.0)
        await asyncio.sleep(60.0)
        assert not w.oracle.losses and all(w.on_machines(ref) for ref in refs)
        w.cloud.room = 2
        await operator.ends("kernel", 200.0)
        assert sorted(w.oracle.by_drains) == sorted(refs)

    drained(scenario)


def test_tasks_may_end_by_themselves_first():
    async def scenario(w: Simulation, operator):
        (ref,) = await running_jobs(w, RED, run_s=40.0, **WHOLE)
        await operator.start("kernel", "--machine", machine_of(w, ref), "--finish", "60")
        await operator.ends("kernel", 100.0)
        assert not w.oracle.losses and len(w.jobs[ref].done) == 1

    drained(scenario)


@pytest.mark.parametrize("at_deadline", ["go-on", "stop-waiting", "abort"])
def test_the_deadline_policy_decides_what_happens_at_the_deadline(at_deadline):
    async def scenario(w: Simulation, operator):
        refs = await running_jobs(w, RED, BLUE, RED, BLUE, **WHOLE)
        machine = machine_of(w, refs[0])
        await operator.start("kernel", "--machine", machine, "--deadline", "30", "--at-deadline", at_deadline)
        await operator.waits_for("kernel", "no room", 25.0)
        await asyncio.sleep(45.0)
        if at_deadline == "abort":
            assert operator.record("kernel").phase.value == "aborted" and not cordoned(w)
            assert operator.record("kernel").wait_reason == "its deadline has passed"
        assert w.oracle.by_drains == ([refs[0]] if at_deadline == "stop-waiting" else [])
        assert (machine in w.workers) == (at_deadline != "stop-waiting")

    drained(scenario)


def test_a_task_that_never_ends_is_named_and_only_ended_by_the_deadline_policy():
    async def scenario(w: Simulation, operator):
        (ref,) = await running_jobs(w, RED, **WHOLE)
        w.jobs[ref].save_s = 10_000.0
        machine = machine_of(w, ref)
        await operator.start("kernel", "--machine", machine, "--deadline", "60", "--at-deadline", "stop-waiting")
        await operator.waits_for("kernel", f"{ref}/0 was told to stop and has not ended", 50.0)
        assert w.workers[machine].tasks[f"{ref}/0"].phase == "saving"
        await operator.ends("kernel", 60.0)

    drained(scenario)


@pytest.mark.parametrize("trouble", ["deaf", "hung", "taken", "mute"])
def test_a_machine_that_fails_while_it_is_drained_leaves_the_drain(trouble):
    async def scenario(w: Simulation, operator):
        w.cloud.room = 6
        refs = await running_jobs(w, RED, BLUE, **WHOLE)
        machines = [machine_of(w, ref) for ref in refs]
        await operator.start("kernel", "--machine", machines[0], "--machine", machines[1], "--batch", "2")
        await w.until(lambda: len(cordoned(w)) == 2, 10.0, "no cordon")
        worker = w.workers[machines[0]]
        if trouble == "taken":
            w.workers.pop(worker.name).gone()
        else:
            setattr(worker, trouble, True)
        await operator.ends("kernel", 200.0)
        assert not set(machines) & w.workers.keys() and sum(operator.record("kernel").outcome_counts.values()) == 2
        await w.until(lambda: all(w.on_machines(ref) for ref in refs), 60.0, "a job was not started again")

    drained(scenario)


def test_abort_puts_machines_back_in_service_and_resume_goes_on():
    async def scenario(w: Simulation, operator):
        refs = await running_jobs(w, RED, BLUE, RED, BLUE, **WHOLE)
        machine = machine_of(w, refs[0])
        await operator.start("kernel", "--machine", machine)
        await operator.waits_for("kernel", "no room", 30.0)
        code, printed = await operator("abort", "kernel")
        assert code == ExitCode.OK and printed["drains"][0]["phase"] == "aborted"
        await w.until(lambda: not cordoned(w), 10.0, "still cordoned")
        assert w.leader().fleet.is_schedulable(w.leader().fleet.machines[machine], w.now()) and not w.oracle.losses
        assert (await operator("abort", "kernel"))[0] == ExitCode.BAD_INPUT
        w.cloud.room = 2
        assert (await operator("resume", "kernel"))[0] == ExitCode.OK
        await operator.ends("kernel", 120.0)
        assert (await operator("resume", "kernel"))[0] == ExitCode.BAD_INPUT

    drained(scenario)


def test_a_machine_in_maintenance_stays_out_of_service_until_it_is_released():
    """Its worker is silent for long, as while a driver is installed; such machines were deleted."""

    async def scenario(w: Simulation, operator):
        w.cloud.room = 2
        refs = await running_jobs(w, RED, BLUE, RED, BLUE, **WHOLE)
        first, second = machine_of(w, refs[0]), machine_of(w, refs[1])
        await operator.start("driver", "--machine", first, "--machine", second, "--then", "hold")
        await operator.waits_for("driver", "waits to be released", 60.0)
        (machine,) = cordoned(w)
        w.workers[machine].mute = True
        await asyncio.sleep(90.0)
        assert machine in w.workers and cordoned(w) == {machine}
        assert (await operator("release", "driver", "vm-999999"))[0] == ExitCode.NOT_FOUND
        w.workers[machine].mute = False
        await asyncio.sleep(10.0)
        assert (await operator("release", "driver", machine))[0] == ExitCode.OK
        await w.until(lambda: cordoned(w) == {first, second} - {machine}, 20.0, "the next one is not cordoned")
        await operator.waits_for("driver", "waits to be released", 60.0)
        assert (await operator("release", "driver", *cordoned(w)))[0] == ExitCode.OK
        await operator.ends("driver", 20.0)
        assert (
            operator.record("driver").outcome_counts == {"back in service": 2} and {first, second} <= w.workers.keys()
        )

    drained(scenario)


def test_two_drains_share_budgets_and_machines():
    async def scenario(w: Simulation, operator):
        w.cloud.room = 6
        refs = await running_jobs(w, RED, RED, RED, RED, **WHOLE)
        one, two, three = (machine_of(w, ref) for ref in refs[:3])
        await operator.start("a", "--machine", one, "--machine", two, "--batch", "2")
        await operator.start("b", "--machine", two, "--machine", three, "--batch", "2")
        await operator.ends("a", 300.0)
        await operator.ends("b", 300.0)
        assert not {one, two, three} & w.workers.keys()

    drained(scenario)


def test_a_gang_on_two_machines_is_one_disruption_and_relocates_as_a_whole():
    async def scenario(w: Simulation, operator):
        w.cloud.room = 2
        (ref,) = await running_jobs(w, RED, shape="ensemble", pieces=2, samePlace=True, **WHOLE)
        zone = next(m.zone for m in w.workers.values() if m.tasks)
        await operator.start("kernel", "--zone", zone, "--batch", "2")
        await operator.ends("kernel", 150.0)
        assert w.oracle.by_drains == [ref]
        await w.runs(ref, 60.0)

    drained(scenario)


def test_preemption_spends_the_same_budget():
    async def scenario(w: Simulation, operator):
        refs = await running_jobs(w, RED, RED, BLUE, BLUE, rank="low", **WHOLE)
        urgent = w.job(9, run_s=LONG_S, rank="urgent", owner="blue", yard="east", **WHOLE)
        await w.accepted(urgent)
        await w.until(lambda: any(w.on_machines(ref) == 0 for ref in refs), 20.0, "nobody makes room")
        team = next(w.jobs[ref].spec["owner"] for ref in refs if not w.on_machines(ref))
        other = next(r for r in refs if w.jobs[r].spec["owner"] == team and w.on_machines(r))
        await operator.start("kernel", "--machine", machine_of(w, other), "--deadline", "5",
                             "--at-deadline", "stop-waiting")  # fmt: skip
        await operator.waits_for("kernel", f"budget of team {team} is spent", 20.0)
        assert not w.oracle.by_drains

    drained(scenario)


def test_an_outage_of_the_state_service_evicts_no_job_whose_disruption_is_not_stored():
    async def scenario(w: Simulation, operator):
        w.cloud.room = 4
        refs = await running_jobs(w, RED, BLUE, **WHOLE)
        machines = [machine_of(w, ref) for ref in refs]
        await operator.start("kernel", "--machine", machines[0], "--machine", machines[1], "--batch", "2")
        await w.until(lambda: bool(cordoned(w)), 10.0, "no cordon")
        w.service.outage(True)
        lost = len(w.oracle.losses)
        await asyncio.sleep(25.0)
        assert len(w.oracle.losses) == lost
        assert (await operator("status"))[0] == ExitCode.UNAVAILABLE
        w.service.outage(False)
        await operator.ends("kernel", 150.0)

    drained(scenario)


def drain_writes(body: dict) -> bool:
    """Whether a transaction changes a drain."""
    names = [change.get("set") or change.get("delete") for change in body.get("apply", [])]
    return any(name.startswith((keys.DRAIN_PREFIX, keys.CORDON_PREFIX, keys.DISRUPTION_PREFIX)) for name in names)


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("step", range(1, 9))
def test_a_leader_that_ends_at_any_step_loses_neither_budget_nor_drain(step, late):
    """The leader ends just after its n-th write for the drain was carried out, or while that is still on its way."""

    async def scenario(w: Simulation, operator):
        w.cloud.room = 6
        refs = await running_jobs(w, RED, BLUE, **WHOLE)
        machines = [machine_of(w, ref) for ref in refs]
        await operator.start("kernel", "--machine", machines[0], "--machine", machines[1])
        writes = 0

        def crash_at(node: str, body: dict) -> float | None:
            nonlocal writes
            writes += node != "operator" and drain_writes(body)
            if writes != step or not drain_writes(body) or node not in w.nodes:
                return None
            w.go(crashes(w, node))
            return 8.0 if late else None

        w.service.late = crash_at
        await w.until(lambda: writes >= step or operator.record("kernel").phase.value == "finished", 120.0, "too few")
        await operator.ends("kernel", 300.0)
        assert not set(machines) & w.workers.keys() and not cordoned(w)
        await w.until(lambda: all(w.on_machines(ref) for ref in refs), 60.0, "a job was not started again")

    drained(scenario)


async def crashes(w: Simulation, node: str) -> None:
    await asyncio.sleep(0.05)
    if node in w.nodes:
        w.crash(node)
    await asyncio.sleep(3.0)
    if node not in w.nodes:
        w.start(node)


def test_nothing_is_drained_before_all_nodes_know_drains():
    """An older leader would place new work on a machine that is being emptied."""

    async def scenario(w: Simulation, operator):
        w.cloud.room = 4
        (ref,) = await running_jobs(w, RED, **WHOLE)
        machine = machine_of(w, ref)
        await w.upgrade("n0")
        await w.upgrade("n1")
        code, printed = await operator("start", "kernel", "--machine", machine)
        assert code == ExitCode.OK and "n2" in printed["drains"][0]["reason"]
        for _ in range(2):
            w.crash(next(n for n, node in w.nodes.items() if node is w.leader()))
            await w.led()
            for name in w.names:
                if name not in w.nodes:
                    w.start(name, 3 if name == "n2" else 0)
            await asyncio.sleep(20.0)
        assert not cordoned(w) and not w.oracle.losses and machine_of(w, ref) == machine
        assert "not all nodes run" in operator.record("kernel").wait_reason
        await w.upgrade("n2")
        await operator.ends("kernel", 150.0)

    drained(scenario, old=3)


def test_a_node_that_has_drains_switched_off_ignores_them():
    async def scenario(w: Simulation):
        operator = Operator(w)
        await operator.start("kernel", "--zone", "east", "--unbudgeted")
        await asyncio.sleep(20.0)
        assert not cordoned(w) and "switched on" in (await operator.status("kernel"))["reason"]

    play(scenario, teams=TEAMS)
