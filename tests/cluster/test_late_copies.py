"""A late copy of a start command that was carried out before must not start the task again.

What drops a copy on its way to a worker, path by path: docs/design.md, "Late copies of commands".
"""

import asyncio
import random

import pytest
from harness.play import play
from harness.simulation import Simulation
from harness.worker import FakeWorker, ReceivedResponse
from histories import Invariants

WHOLE_MACHINE = {"cores": 28.0, "cards": 4.0, "memGb": 200.0}
OBSERVED_S = 6.0  # how long nothing may start after the copies have arrived


def knows(worker: FakeWorker, job_id: str) -> bool:
    """Whether a worker knows an attempt of the job, in whatever state."""
    return any(task_id.startswith(job_id) for task_id in worker.tasks)


async def start_job(simulation: Simulation, **changes) -> tuple[str, FakeWorker, list[tuple[str, str, int]]]:
    """Run a job of one task; return its id, its machine, and a list of all launches that are executed from now on."""
    Invariants(simulation).watch()
    job_id = simulation.define_job(1, run_s=300.0, **changes)
    await simulation.submit_until_accepted(job_id)
    await simulation.wait_until_running(job_id)
    launches: list[tuple[str, str, int]] = []
    simulation.on_launch.append(lambda worker, task_id, attempt: launches.append((worker.name, task_id, attempt)))
    return job_id, simulation.machines_with(job_id)[0], launches


async def end_task(simulation: Simulation, worker: FakeWorker, job_id: str, cause: str) -> None:
    """End the job's task on a machine, and wait until its worker has been told to forget that attempt."""
    ended = [task for task_id, task in worker.tasks.items() if task_id.startswith(job_id)]
    for task_id, task in worker.tasks.items():
        if task in ended:
            worker.exit(task_id, task, cause)
    await simulation.wait_until(
        lambda: not any(task in ended for task in worker.tasks.values()), 20.0, "the attempt is not forgotten"
    )


async def assert_copies_start_nothing(
    simulation: Simulation, worker: FakeWorker, launches: list[tuple[str, str, int]]
) -> None:
    """Let copies of all responses that the machine has received arrive again; assert that none starts a task."""
    before = list(launches)
    for response in list(worker.responses):
        worker.receive_copy(response)
        await asyncio.sleep(0.01)
    assert launches == before
    await asyncio.sleep(OBSERVED_S)
    assert [launch for launch in launches if launch[0] == worker.name] == [
        launch for launch in before if launch[0] == worker.name
    ]


@pytest.mark.parametrize("cause", ["full", "error", "halted", "alone"])
def test_a_copy_of_a_launch_does_not_start_a_task_that_was_moved(cause):
    """The worker had forgotten the attempt, and token and session were still the same: the task ran twice."""

    async def scenario(simulation: Simulation) -> None:
        job_id, worker, launches = await start_job(simulation, **WHOLE_MACHINE)
        machine = simulation.leader().fleet.machines[worker.name]
        machine.rejects_tasks_until = simulation.now() + 120.0
        await end_task(simulation, worker, job_id, cause)
        await simulation.wait_until_running(job_id)
        assert simulation.machines_with(job_id)[0] is not worker
        await assert_copies_start_nothing(simulation, worker, launches)

    play(scenario)


@pytest.mark.parametrize("cancel_at", ["leader", "follower"])
def test_a_copy_of_a_launch_does_not_start_a_cancelled_task(cancel_at):
    """A task of a job whose cancellation had been confirmed began again."""

    async def scenario(simulation: Simulation) -> None:
        job_id, worker, launches = await start_job(simulation)
        node = simulation.current_leader_name() if cancel_at == "leader" else simulation.followers()[0]
        assert await simulation.cancel(node, job_id) == (200, "withdrawn")
        await simulation.wait_until(lambda: not knows(worker, job_id), 20.0, "the task is not forgotten")
        await assert_copies_start_nothing(simulation, worker, launches)
        assert not knows(worker, job_id)

    play(scenario)


def test_a_copy_of_a_launch_does_not_start_a_task_that_is_done():
    async def scenario(simulation: Simulation) -> None:
        job_id, worker, launches = await start_job(simulation)
        simulation.jobs[job_id].run_s = 0.0
        await simulation.wait_until(
            lambda: simulation.jobs[job_id].done and not knows(worker, job_id), 20.0, "the task is not forgotten"
        )
        await assert_copies_start_nothing(simulation, worker, launches)

    play(scenario)


@pytest.mark.parametrize("down_s", [0.1, 0.5, 6.0])
@pytest.mark.parametrize("crash_first", [True, False])
def test_a_copy_of_a_launch_of_an_earlier_leader_starts_nothing(down_s, crash_first):
    """The leader is back within a second, or another node leads; the task has been moved before or after that."""

    async def scenario(simulation: Simulation) -> None:
        job_id, worker, launches = await start_job(simulation, **WHOLE_MACHINE)
        if not crash_first:
            simulation.leader().fleet.machines[worker.name].rejects_tasks_until = simulation.now() + 120.0
            await end_task(simulation, worker, job_id, "full")
        leader = simulation.current_leader_name()
        simulation.crash(leader)
        await asyncio.sleep(down_s)
        simulation.start(leader)
        await simulation.wait_for_leader()
        await asyncio.sleep(6.0)
        if crash_first:
            simulation.leader().fleet.machines[worker.name].rejects_tasks_until = simulation.now() + 120.0
            await end_task(simulation, worker, job_id, "full")
        await simulation.wait_until_running(job_id)
        await assert_copies_start_nothing(simulation, worker, launches)

    play(scenario)


@pytest.mark.parametrize("hung_s", [0.3, 0.8, 3.0])
def test_a_copy_of_a_launch_starts_nothing_on_a_machine_that_is_back_within_a_second(hung_s):
    async def scenario(simulation: Simulation) -> None:
        job_id, worker, launches = await start_job(simulation, **WHOLE_MACHINE)
        simulation.leader().fleet.machines[worker.name].rejects_tasks_until = simulation.now() + 120.0
        worker.hung = True
        await asyncio.sleep(hung_s)
        worker.hung = False
        await end_task(simulation, worker, job_id, "full")
        await simulation.wait_until_running(job_id)
        worker.hung = True
        await asyncio.sleep(hung_s)
        worker.hung = False
        await assert_copies_start_nothing(simulation, worker, launches)

    play(scenario)


def test_a_copy_of_a_launch_starts_nothing_in_a_later_session_of_its_worker():
    """The lease has ended, so the task was moved without an exit, and the token is the same as before."""

    async def scenario(simulation: Simulation) -> None:
        job_id, worker, launches = await start_job(simulation, **WHOLE_MACHINE)
        epoch, token = worker.epoch, worker.fencing_token
        worker.loses_heartbeats = True
        await simulation.wait_until(lambda: worker.epoch > epoch, 20.0, "the lease does not end")
        await simulation.wait_until_running(job_id)
        assert simulation.machines_with(job_id)[0] is not worker
        assert worker.fencing_token == token, "only the session drops the copies"
        await assert_copies_start_nothing(simulation, worker, launches)
        worker.loses_heartbeats = False
        await asyncio.sleep(4.0)
        await assert_copies_start_nothing(simulation, worker, launches)

    play(scenario)


def test_copies_of_a_followers_responses_start_nothing_and_its_responses_are_not_dropped():
    """A follower that renews a lease must not answer with a lower token than the leader that raised it."""

    async def scenario(simulation: Simulation) -> None:
        first, worker, launches = await start_job(simulation)
        await end_task(simulation, worker, first, "halted")  # this raises the machine's token
        for number in range(2, 6):
            await simulation.submit_until_accepted(simulation.define_job(number, run_s=300.0, yard=worker.zone))
        await simulation.wait_until(lambda: bool(worker.tasks), 20.0, "the machine has no task")
        await asyncio.sleep(4.0)
        assert worker.fencing_token > simulation.leader().leadership.fencing_token, "the token was not raised"
        delegate = simulation.followers()[0]
        simulation.partitions |= simulation.node_pairs_of(delegate)
        worker.reached = lambda node: node == delegate
        epoch = worker.epoch
        await asyncio.sleep(25.0)
        assert worker.epoch == epoch and worker.tasks, "the follower does not renew the lease"
        simulation.partitions.clear()
        worker.reached = lambda node: True
        await asyncio.sleep(10.0)
        assert worker.epoch == epoch
        await assert_copies_start_nothing(simulation, worker, launches)

    play(scenario)


@pytest.mark.parametrize("cancelled", [True, False])
def test_a_copy_of_a_launch_that_was_lost_starts_nothing_after_the_start_was_given_up(cancelled):
    """The heartbeat shows that the task is not there, but a copy of the lost launch could still start it."""

    async def scenario(simulation: Simulation) -> None:
        Invariants(simulation).watch()
        job_id = simulation.define_job(1, run_s=300.0, **WHOLE_MACHINE)
        launches: list[tuple[str, str, int]] = []
        lost: list[tuple[FakeWorker, ReceivedResponse]] = []
        loses = True
        simulation.on_launch.append(lambda worker, task_id, attempt: launches.append((worker.name, task_id, attempt)))

        def lose_launches(worker: FakeWorker, commands: list[dict]) -> list[dict]:
            launch = [command for command in commands if command["verb"] == "launch"]
            if launch and loses and (not lost or lost[0][0] is worker):
                lost.append((worker, worker.responses[-1]))
                return [command for command in commands if command["verb"] != "launch"]
            return commands

        for worker in simulation.workers.values():
            execute = worker.execute_commands
            worker.execute_commands = lambda commands, w=worker, run=execute: run(lose_launches(w, commands))
        await simulation.submit_until_accepted(job_id)
        await simulation.wait_until(lambda: bool(lost), 10.0, "no launch was sent")
        worker = lost[0][0]
        leader = simulation.leader()
        if cancelled:
            assert (await simulation.cancel(simulation.current_leader_name(), job_id))[0] == 200
        else:
            job = leader.job_table.jobs[job_id]
            leader.fleet.machines[worker.name].rejects_tasks_until = simulation.now() + 120.0
            leader.fleet.request_stop(job, job.allocations[0], 0.0, "given up")
            await simulation.wait_until_running(job_id)
        await asyncio.sleep(8.0)
        assert not leader.fleet.machines[worker.name].allocations, "the start is not released"
        loses = False
        for _, response in lost:
            worker.receive_copy(response)
        await asyncio.sleep(OBSERVED_S)
        assert not [launch for launch in launches if launch[0] == worker.name]

    play(scenario)


@pytest.mark.parametrize("longest_s", [3.9, 30.0])
@pytest.mark.parametrize("seed", range(6))
def test_copies_of_all_responses_break_no_rule_while_short_jobs_come_and_some_are_cancelled(seed, longest_s):
    """Within the 4 s for which a worker accepts a response, and much later."""

    async def scenario(simulation: Simulation) -> None:
        Invariants(simulation).watch()
        draws = random.Random(seed)
        simulation.copy_delay_s = lambda worker: draws.uniform(0.0, longest_s)
        started_again: list[str] = []
        seen: set[tuple[str, str, int]] = set()

        def check_launch(worker: FakeWorker, task_id: str, attempt: int) -> None:
            start = (worker.name, task_id, attempt)
            if start in seen:
                started_again.append(f"{task_id} try {attempt} on {worker.name} at {simulation.now():.1f}")
            seen.add(start)

        simulation.on_launch.append(check_launch)
        for number in range(1, 31):
            shape = draws.choice(["batch", "batch", "ensemble"])
            job_id = simulation.define_job(
                number, run_s=draws.uniform(0.2, 4.0), pieces=draws.choice([1, 2, 3]), shape=shape
            )
            await simulation.submit_until_accepted(job_id)
            if draws.random() < 0.4:
                await asyncio.sleep(draws.uniform(0.5, 3.0))
                await simulation.cancel(draws.choice(sorted(simulation.nodes)), job_id)
            for worker in simulation.workers.values():
                for task_id, task in worker.tasks.items():
                    if task.phase == "running" and draws.random() < 0.2:
                        worker.exit(task_id, task, draws.choice(["full", "error", "halted"]))
            await asyncio.sleep(draws.uniform(0.1, 1.5))
        await asyncio.sleep(longest_s + 10.0)
        assert started_again == []

    play(scenario, machines=6)
