"""What is rented and returned."""

import asyncio

import pytest
from conftest import Clock, Cluster
from world import VirtualLoop

from hookwall.autoscaling.cloud_client import CloudUnavailableError, NoCapacityError
from hookwall.autoscaling.scale_out import SETTLE_S, ScaleOut
from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import CANCELLED
from hookwall.protocol import cloud_messages, json_messages
from hookwall.workers.machine import MachinePhase


class ScriptedCloud:
    def __init__(self) -> None:
        self.asked: list[tuple] = []
        self.answer = lambda count: [f"vm-9{i}" for i in range(count)]

    async def rent(self, hire, type_, zone, spot, count):
        self.asked.append((hire, type_, zone, spot, count))
        return self.answer(count)


@pytest.fixture
def renting(cluster: Cluster, params: PlatformParameters, clock: Clock) -> ScaleOut:
    r = ScaleOut(params, cluster.fleet, cluster.scheduler, ScriptedCloud(), clock)
    r.reset()
    return r


def idle_beyond_need(cluster: Cluster, renting):
    """One machine that nobody has needed for long."""
    cluster.beat("vm-1")
    cluster.clock.tick(100.0)
    cluster.beat("vm-1")
    renting.demand.measure(cluster.clock())
    renting.scale_in.drain_excess_machines(cluster.clock())


def test_waiting_jobs_are_packed_into_what_is_rented(cluster: Cluster, renting: ScaleOut):
    cluster.submit(1, pieces=7)
    cluster.submit(2, shape="ensemble", cards=4.0)
    cluster.scheduler.run_round()
    plan = renting.wanted(cluster.clock())
    assert sum(plan.values()) == 3 and not any(spot for _, _, spot in plan)


def test_cheap_machines_for_those_that_may_use_them(cluster: Cluster, renting: ScaleOut):
    cluster.submit(1, pieces=4, loaners=True)
    cluster.scheduler.run_round()
    assert [spot for _, _, spot in renting.wanted(cluster.clock())] == [True]


def test_machines_on_their_way_are_counted(cluster: Cluster, renting: ScaleOut):
    cluster.submit(1, pieces=4)
    cluster.scheduler.run_round()
    cluster.fleet.ensure_machine("vm-5", "g4", "east", False)
    assert renting.wanted(cluster.clock()) == {}
    cluster.clock.tick(25.0 * 2.5 + 1)
    assert sum(renting.wanted(cluster.clock()).values()) == 1, "one that does not come up is not waited for"


def test_a_refused_pool_is_left_alone_for_a_while(cluster: Cluster, renting: ScaleOut):
    from hookwall.autoscaling.scale_out import ProvisioningRequest

    def refuse(count):
        raise NoCapacityError

    renting.client.answer = refuse
    hire = ProvisioningRequest("hw-5-1", (0, 0, False), 2)
    renting.capacity.pending_requests.append(hire)
    asyncio.run(renting._hire(hire))
    assert (0, 0, False) not in renting.available_pools(cluster.clock()) and not renting.capacity.pending_requests
    cluster.clock.tick(31.0)
    assert (0, 0, False) in renting.available_pools(cluster.clock())


def test_an_unanswered_hire_keeps_its_name_and_counts_as_coming(cluster: Cluster, renting: ScaleOut):
    from hookwall.autoscaling.scale_out import ProvisioningRequest

    def lose(count):
        raise CloudUnavailableError("timeout")

    renting.client.answer = lose
    hire = ProvisioningRequest("hw-5-1", (0, 0, False), 2)
    renting.capacity.pending_requests.append(hire)
    with pytest.raises(CloudUnavailableError):
        asyncio.run(renting._hire(hire))
    assert renting.capacity.pending_requests == [hire] and len(renting.capacity.incoming_machines(cluster.clock())) == 2


def test_unexpected_machines_are_taken_in(cluster: Cluster, renting: ScaleOut):
    renting.inventory.take(
        [cloud_messages.ListedMachine(name="vm-77", type="g4", zone="west", phase="running")], cluster.clock()
    )
    assert cluster.fleet.machines["vm-77"].phase is MachinePhase.BOOTING
    cluster.beat("vm-77", zone="west")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    assert job.allocations[0].machine == "vm-77"


def test_an_idle_machine_is_returned_and_gets_no_more_work(cluster: Cluster, renting: ScaleOut):
    idle_beyond_need(cluster, renting)
    (m,) = renting.scale_in.machines_to_delete(cluster.clock())
    assert m.phase is MachinePhase.DELETING
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    assert not job.allocations


def test_a_drained_machine_is_used_again_when_jobs_wait(cluster: Cluster, renting: ScaleOut):
    idle_beyond_need(cluster, renting)
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    renting.demand.measure(cluster.clock())
    renting.scale_in.drain_excess_machines(cluster.clock())
    cluster.scheduler.run_round()
    assert job.allocations


def test_cheap_machines_do_not_stand_idle_for_work_that_can_not_use_them(cluster: Cluster, renting: ScaleOut):
    # In a queue of urgent gangs, need in all was what they lacked too, and half of the cheap machines idled.
    for n in range(1, 4):
        cluster.beat(f"vm-{n}", spot=True)
    cluster.clock.tick(100.0)
    for n in range(1, 4):
        cluster.beat(f"vm-{n}", spot=True)
    cluster.submit(1, shape="ensemble", cards=4.0, pieces=4)
    cluster.scheduler.run_round()
    for zone in (0, 1):
        renting._close((0, zone, False))
    renting.demand.measure(cluster.clock())
    assert renting.plan_standby(cluster.clock()) == {}, "and none is rented for it"
    renting.scale_in.drain_excess_machines(cluster.clock())
    assert {m.phase for m in cluster.fleet.machines.values()} == {MachinePhase.DRAINING}
    # As soon as work waits that may use them, they are.
    cluster.submit(2, pieces=40, loaners=True)
    cluster.scheduler.run_round()
    renting.scale_in.drain_excess_machines(cluster.clock())
    assert {m.phase for m in cluster.fleet.machines.values()} == {MachinePhase.UP}


def test_a_margin_stands_ready_while_jobs_arrive_and_goes_when_they_stop(cluster: Cluster, renting: ScaleOut):
    renting.demand.jobs_precede_leadership = False
    for n in range(1, 5):
        cluster.beat(f"vm-{n}")
        cluster.submit(n, shape="ensemble", cards=4.0)
        cluster.scheduler.run_round()
        renting.demand.measure(cluster.clock())
    assert renting.demand.targets.on_demand > 4.0 + 1.0
    plan = renting.plan_standby(cluster.clock())
    assert sum(n for (_, _, spot), n in plan.items() if not spot) >= 1
    for _ in range(300):
        cluster.clock.tick(1.0)
        renting.demand.measure(cluster.clock())
    assert renting.demand.targets.on_demand == pytest.approx(4.0, abs=0.25)


def test_a_silent_cheap_machine_is_deleted_before_its_lease_is_over(cluster: Cluster, renting: ScaleOut):
    cluster.clock.tick(60.0)
    for n in range(1, 4):
        cluster.beat(f"vm-{n}", spot=True)
    job = cluster.submit(1, loaners=True, pieces=12)
    cluster.scheduler.run_round()
    for _ in range(4):
        cluster.clock.tick(2.0)
        cluster.beat("vm-2", spot=True)
        cluster.beat("vm-3", spot=True)
        cluster.fleet.expire_leases(cluster.clock())
    (m,) = renting.scale_in.machines_to_delete(cluster.clock())
    assert m.name == "vm-1" and len(job.allocations) == 12
    cluster.fleet.confirm_deletion(m, "deleted")
    assert len(job.allocations) == 8


def test_machines_of_a_zone_that_is_cut_off_are_not_deleted_at_once(cluster: Cluster, renting: ScaleOut):
    for n in range(1, 5):
        cluster.beat(f"vm-{n}", zone="west")
    cluster.beat("vm-9", zone="east")
    for _ in range(50):
        cluster.clock.tick(1.0)
        cluster.beat("vm-8", zone="east")
        cluster.fleet.expire_leases(cluster.clock())
    assert [m.name for m in renting.scale_in.machines_to_delete(cluster.clock())] == ["vm-9"]
    cluster.clock.tick(80.0)
    assert len(renting.scale_in.machines_to_delete(cluster.clock())) == 5


def test_a_machine_with_tasks_is_kept(cluster: Cluster, renting: ScaleOut):
    cluster.beat("vm-1")
    cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.clock.tick(200.0)
    cluster.beat("vm-1")
    assert renting.scale_in.machines_to_delete(cluster.clock()) == []


def test_a_machine_that_never_comes_up_is_deleted(cluster: Cluster, renting: ScaleOut):
    cluster.fleet.ensure_machine("vm-5", "g4", "east", False)
    cluster.clock.tick(25.0 * 5 + 1)
    assert [m.name for m in renting.scale_in.machines_to_delete(cluster.clock())] == ["vm-5"]


def test_a_late_list_does_not_bring_a_deleted_machine_back(cluster: Cluster, renting: ScaleOut):
    """It would count as one that is coming, and nothing would be rented in its place."""
    cluster.beat("vm-1")
    cluster.fleet.confirm_deletion(cluster.fleet.machines["vm-1"], "deleted")
    renting.inventory.take(
        [cloud_messages.ListedMachine(name="vm-1", type="g4", zone="east", phase="running")], cluster.clock()
    )
    assert "vm-1" not in cluster.fleet.machines


def test_the_first_silent_machines_of_a_cut_zone_are_not_deleted_either(cluster: Cluster, renting: ScaleOut):
    """Reports are spread over two seconds, and cheap machines are given up after six."""
    cluster.clock.tick(60.0)
    for n in range(8):
        cluster.clock.tick(0.25)
        cluster.beat(f"vm-{n}", zone="west", spot=True)
    for _ in range(26):
        cluster.clock.tick(0.25)
        cluster.beat("vm-9", zone="east")
        cluster.fleet.expire_leases(cluster.clock())
        assert renting.scale_in.machines_to_delete(cluster.clock()) == []
    assert any(m.unresponsive for m in cluster.fleet.machines.values())


def test_a_catalog_of_several_types_is_rented_from_and_returned_to(cluster: Cluster, renting: ScaleOut):
    """Need was once counted in GPUs, and a type without any divided by zero."""
    cpu = {"label": "c16", "cores": 16, "cards": 0, "memGb": 64, "price": 2.0, "spotPrice": 1.0, "yards": ["east"]}
    types = [
        *json_messages.convert_message({"hulls": [cpu]}, cloud_messages.Catalog).types,
        *cluster.fleet.catalog.types,
    ]
    cluster.fleet.set_catalog(cloud_messages.Catalog(types))
    cluster.submit(1, cards=0.0, cores=12.0, pieces=2, spot=False)
    cluster.submit(2, cards=1.0, pieces=4)
    cluster.scheduler.run_round()
    renting.demand.jobs_precede_leadership = False
    renting.demand.measure(cluster.clock())
    names = {cluster.fleet.type_names.names[t]: n for (t, _, _), n in renting.wanted(cluster.clock()).items()}
    assert names == {"c16": 2, "g4": 1}
    renting.plan_standby(cluster.clock())
    renting.scale_in.drain_excess_machines(cluster.clock())


def test_machines_that_only_records_name_do_not_stand_ready_once_lists_lack_them(cluster: Cluster, renting: ScaleOut):
    cluster.beat("vm-1")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    cluster.fleet.reset(token=9)
    renting.reset()
    cluster.fleet.begin_validity(cluster.clock())
    renting.inventory.take([], cluster.clock())
    assert job.allocations and "vm-1" in cluster.fleet.machines
    assert renting.capacity.machine_counts(cluster.clock()) == (0, 0)
    # It is deleted only when even the latest list must have named it, and then its task is free.
    assert renting.scale_in.machines_to_delete(cluster.clock()) == []
    cluster.clock.tick(12.0)
    renting.inventory.take([], cluster.clock())
    assert [m.name for m in renting.scale_in.machines_to_delete(cluster.clock())] == ["vm-1"]


def test_a_new_leader_does_not_count_on_machines_that_never_come_to_it(cluster: Cluster, renting: ScaleOut):
    listed = [cloud_messages.ListedMachine(name=f"vm-{i}", type="g4", zone="west", phase="running") for i in range(4)]
    cluster.fleet.reset(token=9)
    renting.reset()
    cluster.fleet.begin_validity(cluster.clock())
    renting.inventory.take(listed, cluster.clock())
    assert renting.capacity.machine_counts(cluster.clock()) == (4, 4)
    cluster.clock.tick(13.0)
    renting.inventory.take(listed, cluster.clock())
    cluster.fleet.expire_leases(cluster.clock())
    assert renting.capacity.machine_counts(cluster.clock()) == (0, 0)
    # A whole zone is rather cut off than dead.
    cluster.clock.tick(60.0)
    renting.inventory.take(listed, cluster.clock())
    assert renting.scale_in.machines_to_delete(cluster.clock()) == []


def test_a_plan_asks_each_pool_for_one_full_call_and_spills_into_no_dearer_one(cluster: Cluster, renting: ScaleOut):
    cluster.submit(1, pieces=4 * 120, loaners=True)
    cluster.scheduler.run_round()
    plan = renting.wanted(cluster.clock())
    assert {pool[2] for pool in plan} == {True} and sum(plan.values()) == 100


def test_need_that_falls_since_nothing_can_be_stored_is_not_believed(cluster: Cluster, renting: ScaleOut):
    job = cluster.submit(1, shape="ensemble", cards=4.0, pieces=3)
    cluster.scheduler.run_round()
    renting.demand.measure(cluster.clock())
    before = renting.demand.targets
    assert before.on_demand >= 3.0
    job.phase = "done"
    renting.demand.intake_blocked = lambda: True
    cluster.clock.tick(10.0)
    cluster.scheduler.run_round()
    renting.demand.measure(cluster.clock())
    assert renting.demand.targets == before
    renting.demand.intake_blocked = lambda: False
    renting.demand.measure(cluster.clock())
    assert renting.demand.targets.on_demand < 3.0


def test_a_machine_whose_lease_ended_with_cancelled_tasks_is_deleted_before_they_could_go_on(
    cluster: Cluster, renting: ScaleOut
):
    """One that hangs has its tasks until it goes on, and an ordinary one is given the time to come back."""
    for name in ("vm-1", "vm-2"):
        cluster.beat(name)
    off, other = cluster.submit(1, pieces=4), cluster.submit(2, pieces=4)
    cluster.scheduler.run_round()
    cluster.store()
    at = {job.job_id: job.allocations[0].machine for job in (off, other)}
    cluster.table.apply_cancellation(off.job_id, cluster.stamp + 1)
    assert off.phase == CANCELLED
    cluster.clock.tick(13.0)
    cluster.fleet.expire_leases(cluster.clock())
    assert [m.name for m in renting.scale_in.machines_to_delete(cluster.clock())] == [at[off.job_id]]
    # One that is heard in a later session has nothing any more.
    cluster.fleet.transition_to(cluster.fleet.machines[at[off.job_id]], MachinePhase.UP, "back")
    cluster.beat(at[off.job_id], tenure=2, tick=1)
    assert renting.scale_in.machines_to_delete(cluster.clock()) == []


def test_a_rental_does_not_wait_for_a_machine_list_of_many_pages(cluster: Cluster, renting: ScaleOut):
    """At 4,000 machines a list took 3.5 of each 4 s, and what was to be rented waited for its end."""
    cloud, loop = renting.client, VirtualLoop()
    cloud.page_size, cloud.listings = 500, 0
    # What decides and what waits follow the same clock.
    renting.clock = renting.inventory.clock = renting.demand.clock = renting.capacity.clock = loop.time
    cluster.fleet.clock = cluster.scheduler.clock = loop.time

    async def catalog():
        return cluster.fleet.catalog

    async def machines():
        cloud.listings += 1
        await asyncio.sleep(3.5 if cloud.listings > 1 else 0.1)
        return []

    async def scenario():
        cloud.catalog, cloud.machines = catalog, machines
        renting.reset()
        loops = [renting.run(lambda: True, lambda: 5), renting.inventory.run(lambda: True)]
        running = [loop.create_task(work) for work in loops]
        while cloud.listings < 2 or loop.time() - renting.leading_since < SETTLE_S:
            await asyncio.sleep(0.1)
        begun = cloud.listings
        cluster.submit(1, pieces=4)
        cluster.scheduler.run_round()
        await asyncio.sleep(1.5)
        assert cloud.asked and cloud.listings == begun, "the list that was under way is still"
        for task in running:
            task.cancel()

    loop.run_until_complete(scenario())
    loop.close()
