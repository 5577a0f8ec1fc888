"""A gang whose images take longer to fetch than its tasks wait for each other runs all the same.

Invariant: a fetch that has lasted for `gang_wait_s` is never given up because of the gang's other tasks. So an attempt
during which no machine is lost either runs or leaves the image on each of its machines, and the next one runs.
"""

import asyncio
from collections.abc import Sequence

import pytest
from harness.image_fetches import ImageFetches
from harness.play import play
from harness.simulation import Simulation
from harness.worker import FakeWorker

from hookwall.config.platform import WorkerTimings

GANG_WAIT_S = 15.0
WORKERS = WorkerTimings(report_s=2.0, lease_s=12.0, gang_wait_s=GANG_WAIT_S, gang_peer_s=8.0, cancel_s=37.0)
IMAGE = "img-7"
LEASE_EXPIRY_S = 15.0  # lease, margin, and the time until the next round
RESTART_S = 12.0  # stops, their reports, writes and launches between two attempts of a gang
WHOLE_MACHINE = {"cores": 28.0, "cards": 4.0, "memGb": 200.0}


def set_fetch_rates(simulation: Simulation, gb_per_s: Sequence[float]) -> list[FakeWorker]:
    """Give the machines these fetch rates, in the order of their names; return the machines."""
    workers = [simulation.workers[name] for name in sorted(simulation.workers)]
    for worker, rate in zip(workers, gb_per_s, strict=True):
        worker.image_fetches = ImageFetches(rate)
    return workers


def define_gang(simulation: Simulation, pieces: int, size_gb: float, number: int = 1, **changes) -> str:
    """Define a gang whose tasks take a whole machine each and have to be in one zone; return its id."""
    return simulation.define_job(
        number, run_s=400.0, shape="ensemble", pieces=pieces, bundle=IMAGE, sizeGb=size_gb, samePlace=True,
        **{**WHOLE_MACHINE, **changes},
    )  # fmt: skip


def assert_long_fetches_kept(simulation: Simulation) -> None:
    """Assert the invariant: no machine that is up has given up a fetch that had lasted for `gang_wait_s`."""
    abandoned = [
        (worker.name, fetch)
        for worker in simulation.workers.values()
        if worker.image_fetches is not None and not worker.powered_off
        for fetch in worker.image_fetches.abandoned
        if fetch.lasted_s >= GANG_WAIT_S
    ]
    assert abandoned == []


@pytest.mark.parametrize("pieces", [2, 3])
@pytest.mark.parametrize("size_gb", [4.0, 10.0, 30.0])
@pytest.mark.parametrize("gb_per_s", [0.3, 0.5])
def test_a_gang_that_lost_a_machine_runs_again_although_one_fetch_outlasts_its_wait(pieces, size_gb, gb_per_s):
    """Each attempt waited for less time than a fetch takes, gave that fetch up, and so the next one began anew."""

    async def scenario(simulation: Simulation) -> None:
        workers = set_fetch_rates(simulation, [gb_per_s] * 8)
        for worker in [w for w in workers if w.zone == "east"][:pieces]:
            worker.image_fetches.cached.add(IMAGE)
        job_id = define_gang(simulation, pieces, size_gb, yard="east")
        await simulation.submit_until_accepted(job_id)
        await simulation.wait_until_running(job_id, pieces * size_gb / gb_per_s)
        await asyncio.sleep(5.0)
        lost = simulation.machines_with(job_id)[0]
        lost.power_off()
        await asyncio.sleep(2.0)
        fetch_s = size_gb / gb_per_s
        await simulation.wait_until_running(job_id, LEASE_EXPIRY_S + fetch_s + RESTART_S)
        assert_long_fetches_kept(simulation)

    play(scenario, machines=8, workers=WORKERS)


@pytest.mark.parametrize("rates", [(0.2, 0.4, 0.25, 0.3), (0.15, 0.6, 0.6, 0.6), (0.1, 0.2, 0.4, 0.8)])
def test_a_gang_starts_although_its_machines_fetch_at_very_different_rates(rates):
    """The slowest machine still fetches the image when the wait of the gang's fastest task is over."""

    async def scenario(simulation: Simulation) -> None:
        set_fetch_rates(simulation, [rate for rate in rates for _ in range(2)])
        job_id = define_gang(simulation, 4, 12.0)
        await simulation.submit_until_accepted(job_id)
        await simulation.wait_until_running(job_id, 12.0 / min(rates) + 2 * RESTART_S)
        assert_long_fetches_kept(simulation)

    play(scenario, machines=8, workers=WORKERS)


@pytest.mark.parametrize("lost_after_s", [5.0, 25.0, 45.0])
def test_a_gang_that_loses_machines_during_its_fetches_keeps_what_the_others_have_fetched(lost_after_s):
    """A machine that stops during an attempt costs its own fetch only, once the others have fetched for a while."""

    async def scenario(simulation: Simulation) -> None:
        set_fetch_rates(simulation, [0.3, 0.3, 0.4, 0.4, 0.5, 0.5, 0.6, 0.6, 0.4, 0.4])
        simulation.cloud.available_machines = 10
        job_id = define_gang(simulation, 3, 20.0, yard="east")
        await simulation.submit_until_accepted(job_id)
        await simulation.wait_until(lambda: len(simulation.machines_with(job_id)) == 3, 10.0, "not launched")
        for _ in range(2):
            await asyncio.sleep(lost_after_s)
            machines = simulation.machines_with(job_id)
            if machines and not any(t.phase == "running" for w in machines for t in w.tasks.values()):
                machines[0].power_off()
        longest_fetch_s = 20.0 / 0.3
        await simulation.wait_until_running(job_id, 3 * (LEASE_EXPIRY_S + longest_fetch_s + RESTART_S))
        assert_long_fetches_kept(simulation)

    play(scenario, machines=10, workers=WORKERS, fetch_gb_per_s=0.3)


def test_machines_that_have_the_image_are_kept_for_the_gang_while_another_one_fetches_it():
    """Later small tasks took the machine whose task had waited in vain, so that the next attempt fetched again."""

    async def scenario(simulation: Simulation) -> None:
        workers = set_fetch_rates(simulation, [0.3] * 4)
        east = [worker for worker in workers if worker.zone == "east"]
        east[0].image_fetches.cached.add(IMAGE)
        gang = define_gang(simulation, 2, 12.0, yard="east")
        await simulation.submit_until_accepted(gang)
        await simulation.wait_until(lambda: len(simulation.machines_with(gang)) == 2, 10.0, "not launched")
        for number in range(2, 8):
            small = simulation.define_job(number, run_s=200.0, cards=4.0, yard="east", bundle="img-8", sizeGb=0.1)
            await simulation.submit_until_accepted(small)
        await simulation.wait_until_running(gang, 40.0 + RESTART_S)
        assert {w.name for w in simulation.machines_with(gang)} == {w.name for w in east}

    play(scenario, machines=4, workers=WORKERS)


@pytest.mark.parametrize("crash_after_s", [10.0, 20.0, 30.0])
def test_a_gang_runs_although_the_leader_changes_while_one_machine_still_fetches(crash_after_s):
    """A new leader does not know how long a fetch has lasted, and must not give it up for that reason."""

    async def scenario(simulation: Simulation) -> None:
        workers = set_fetch_rates(simulation, [0.3] * 4)
        next(w for w in workers if w.zone == "east").image_fetches.cached.add(IMAGE)
        job_id = define_gang(simulation, 2, 12.0, yard="east")
        await simulation.submit_until_accepted(job_id)
        await simulation.wait_until(lambda: len(simulation.machines_with(job_id)) == 2, 10.0, "not launched")
        await asyncio.sleep(crash_after_s)
        leader = simulation.current_leader_name()
        simulation.crash(leader)
        await asyncio.sleep(0.3)
        simulation.start(leader)
        await simulation.wait_until_running(job_id, 40.0 - crash_after_s + 2 * RESTART_S)
        assert_long_fetches_kept(simulation)

    play(scenario, machines=4, workers=WORKERS)


def test_a_gang_whose_fetches_are_short_is_placed_again_at_once_after_a_loss():
    """A fetch that has only begun is not worth waiting for: the gang starts elsewhere without delay."""

    async def scenario(simulation: Simulation) -> None:
        workers = set_fetch_rates(simulation, [0.05, 0.05] * 2 + [2.0] * 4)
        job_id = define_gang(simulation, 2, 20.0, hulls=["g4"])
        for worker in workers[4:]:
            worker.hung = True  # its workers send no heartbeat before the gang is placed on the slow machines
        await asyncio.sleep(8.0)
        await simulation.submit_until_accepted(job_id)
        await simulation.wait_until(lambda: len(simulation.machines_with(job_id)) == 2, 10.0, "not launched")
        for worker in workers[4:]:
            worker.hung = False
        await asyncio.sleep(2.0)
        machine = simulation.machines_with(job_id)[0]
        for task_id, task in machine.tasks.items():
            machine.exit(task_id, task, "error")
        await asyncio.sleep(GANG_WAIT_S)
        assert_long_fetches_kept(simulation)
        assert not [w for w in workers[:4] if any(t.attempt == 1 and t.phase == "pulling" for t in w.tasks.values())]

    play(scenario, machines=8, workers=WORKERS)
