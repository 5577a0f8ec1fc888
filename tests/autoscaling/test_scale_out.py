"""What is provisioned, drained and deleted."""

import asyncio

import pytest
from conftest import Clock, Cluster
from harness.virtual_time import VirtualLoop

from hookwall.autoscaling.capacity import MachinePool, ProvisioningRequest
from hookwall.autoscaling.cloud_client import CloudUnavailableError, NoCapacityError
from hookwall.autoscaling.scale_out import SETTLE_S, ScaleOut
from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import CANCELLED
from hookwall.protocol import cloud_messages, json_messages
from hookwall.workers.machine import MachinePhase


class ScriptedCloud:
    """Responds to provisioning requests as `respond` says."""

    def __init__(self) -> None:
        self.requests: list[tuple] = []
        self.respond = lambda count: [f"vm-9{i}" for i in range(count)]

    async def provision(self, request_name, type_, zone, spot, count):
        self.requests.append((request_name, type_, zone, spot, count))
        return self.respond(count)


@pytest.fixture
def scale_out(cluster: Cluster, params: PlatformParameters, clock: Clock) -> ScaleOut:
    scale_out = ScaleOut(params, cluster.fleet, cluster.scheduler, ScriptedCloud(), clock)
    scale_out.reset()
    return scale_out


def drain_idle_machine(cluster: Cluster, scale_out):
    """Let scale-in drain one machine that nobody has needed for long."""
    cluster.beat("vm-1")
    cluster.clock.tick(100.0)
    cluster.beat("vm-1")
    scale_out.demand.measure(cluster.clock())
    scale_out.scale_in.drain_excess_machines(cluster.clock())


def test_waiting_jobs_are_packed_into_what_is_provisioned(cluster: Cluster, scale_out: ScaleOut):
    cluster.submit(1, pieces=7)
    cluster.submit(2, shape="ensemble", cards=4.0)
    cluster.scheduler.run_round()
    plan = scale_out.planner.plan_for_waiting_jobs(cluster.clock())
    assert sum(plan.values()) == 3 and not any(spot for _, _, spot in plan)


def test_spot_instances_are_provisioned_for_jobs_that_may_use_them(cluster: Cluster, scale_out: ScaleOut):
    cluster.submit(1, pieces=4, loaners=True)
    cluster.scheduler.run_round()
    assert [spot for _, _, spot in scale_out.planner.plan_for_waiting_jobs(cluster.clock())] == [True]


def test_incoming_machines_are_counted_until_they_are_overdue(cluster: Cluster, scale_out: ScaleOut):
    cluster.submit(1, pieces=4)
    cluster.scheduler.run_round()
    cluster.fleet.ensure_machine("vm-5", "g4", "east", False)
    assert scale_out.planner.plan_for_waiting_jobs(cluster.clock()) == {}
    cluster.clock.tick(25.0 * 2.5 + 1)
    assert sum(scale_out.planner.plan_for_waiting_jobs(cluster.clock()).values()) == 1, (
        "one that does not come up is not waited for"
    )


def test_a_pool_that_refused_is_closed_for_a_while(cluster: Cluster, scale_out: ScaleOut):
    def refuse(count):
        raise NoCapacityError

    scale_out.client.respond = refuse
    request = ProvisioningRequest("hw-5-1", MachinePool(0, 0, False), 2)
    scale_out.capacity.pending_requests.append(request)
    asyncio.run(scale_out._provision(request))
    assert MachinePool(0, 0, False) not in scale_out.planner.available_pools(cluster.clock())
    assert not scale_out.capacity.pending_requests
    cluster.clock.tick(31.0)
    assert MachinePool(0, 0, False) in scale_out.planner.available_pools(cluster.clock())


def test_a_request_without_response_stays_pending_and_its_machines_count_as_incoming(
    cluster: Cluster, scale_out: ScaleOut
):
    def lose(count):
        raise CloudUnavailableError("timeout")

    scale_out.client.respond = lose
    request = ProvisioningRequest("hw-5-1", MachinePool(0, 0, False), 2)
    scale_out.capacity.pending_requests.append(request)
    with pytest.raises(CloudUnavailableError):
        asyncio.run(scale_out._provision(request))
    assert scale_out.capacity.pending_requests == [request]
    assert len(scale_out.capacity.incoming_machines(cluster.clock())) == 2


def test_machines_that_nobody_requested_are_used(cluster: Cluster, scale_out: ScaleOut):
    scale_out.inventory.apply_listing(
        [cloud_messages.ListedMachine(name="vm-77", type="g4", zone="west", phase="running")], cluster.clock()
    )
    assert cluster.fleet.machines["vm-77"].phase is MachinePhase.BOOTING
    cluster.beat("vm-77", zone="west")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    assert job.allocations[0].machine == "vm-77"


def test_an_idle_machine_is_deleted_and_gets_no_more_work(cluster: Cluster, scale_out: ScaleOut):
    drain_idle_machine(cluster, scale_out)
    (m,) = scale_out.scale_in.machines_to_delete(cluster.clock())
    assert m.phase is MachinePhase.DELETING
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    assert not job.allocations


def test_a_drained_machine_is_used_again_when_jobs_wait(cluster: Cluster, scale_out: ScaleOut):
    drain_idle_machine(cluster, scale_out)
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    scale_out.demand.measure(cluster.clock())
    scale_out.scale_in.drain_excess_machines(cluster.clock())
    cluster.scheduler.run_round()
    assert job.allocations


def test_spot_instances_do_not_stand_idle_for_work_that_can_not_use_them(cluster: Cluster, scale_out: ScaleOut):
    # In a queue of urgent gangs, need in all was what they lacked too, and half of the spot instances idled.
    for n in range(1, 4):
        cluster.beat(f"vm-{n}", spot=True)
    cluster.clock.tick(100.0)
    for n in range(1, 4):
        cluster.beat(f"vm-{n}", spot=True)
    cluster.submit(1, shape="ensemble", cards=4.0, pieces=4)
    cluster.scheduler.run_round()
    for zone in (0, 1):
        scale_out.backoff.record_refusal(MachinePool(0, zone, False))
    scale_out.demand.measure(cluster.clock())
    assert scale_out.planner.plan_standby(cluster.clock()) == {}, "and none is provisioned for it"
    scale_out.scale_in.drain_excess_machines(cluster.clock())
    assert {m.phase for m in cluster.fleet.machines.values()} == {MachinePhase.DRAINING}
    # As soon as work waits that may use them, they are.
    cluster.submit(2, pieces=40, loaners=True)
    cluster.scheduler.run_round()
    scale_out.scale_in.drain_excess_machines(cluster.clock())
    assert {m.phase for m in cluster.fleet.machines.values()} == {MachinePhase.UP}


def test_a_margin_is_ready_while_jobs_arrive_and_goes_when_they_stop(cluster: Cluster, scale_out: ScaleOut):
    scale_out.demand.jobs_precede_leadership = False
    for n in range(1, 5):
        cluster.beat(f"vm-{n}")
        cluster.submit(n, shape="ensemble", cards=4.0)
        cluster.scheduler.run_round()
        scale_out.demand.measure(cluster.clock())
    assert scale_out.demand.targets.on_demand > 4.0 + 1.0
    plan = scale_out.planner.plan_standby(cluster.clock())
    assert sum(n for (_, _, spot), n in plan.items() if not spot) >= 1
    for _ in range(300):
        cluster.clock.tick(1.0)
        scale_out.demand.measure(cluster.clock())
    assert scale_out.demand.targets.on_demand == pytest.approx(4.0, abs=0.25)


def test_an_unresponsive_spot_instance_is_deleted_before_its_lease_is_over(cluster: Cluster, scale_out: ScaleOut):
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
    (m,) = scale_out.scale_in.machines_to_delete(cluster.clock())
    assert m.name == "vm-1" and len(job.allocations) == 12
    cluster.fleet.confirm_deletion(m, "deleted")
    assert len(job.allocations) == 8


def test_machines_of_a_zone_that_is_cut_off_are_not_deleted_at_once(cluster: Cluster, scale_out: ScaleOut):
    for n in range(1, 5):
        cluster.beat(f"vm-{n}", zone="west")
    cluster.beat("vm-9", zone="east")
    for _ in range(50):
        cluster.clock.tick(1.0)
        cluster.beat("vm-8", zone="east")
        cluster.fleet.expire_leases(cluster.clock())
    assert [m.name for m in scale_out.scale_in.machines_to_delete(cluster.clock())] == ["vm-9"]
    cluster.clock.tick(80.0)
    assert len(scale_out.scale_in.machines_to_delete(cluster.clock())) == 5


def test_a_machine_with_tasks_is_not_deleted(cluster: Cluster, scale_out: ScaleOut):
    cluster.beat("vm-1")
    cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.clock.tick(200.0)
    cluster.beat("vm-1")
    assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []


def test_a_machine_that_never_comes_up_is_deleted(cluster: Cluster, scale_out: ScaleOut):
    cluster.fleet.ensure_machine("vm-5", "g4", "east", False)
    cluster.clock.tick(25.0 * 5 + 1)
    assert [m.name for m in scale_out.scale_in.machines_to_delete(cluster.clock())] == ["vm-5"]


def test_a_late_list_does_not_bring_a_deleted_machine_back(cluster: Cluster, scale_out: ScaleOut):
    """It would count as incoming, and nothing would be provisioned in its place."""
    cluster.beat("vm-1")
    cluster.fleet.confirm_deletion(cluster.fleet.machines["vm-1"], "deleted")
    scale_out.inventory.apply_listing(
        [cloud_messages.ListedMachine(name="vm-1", type="g4", zone="east", phase="running")], cluster.clock()
    )
    assert "vm-1" not in cluster.fleet.machines


def test_the_first_unresponsive_machines_of_a_cut_off_zone_are_not_deleted_either(
    cluster: Cluster, scale_out: ScaleOut
):
    """Heartbeats are spread over two seconds, and spot instances are given up after six."""
    cluster.clock.tick(60.0)
    for n in range(8):
        cluster.clock.tick(0.25)
        cluster.beat(f"vm-{n}", zone="west", spot=True)
    for _ in range(26):
        cluster.clock.tick(0.25)
        cluster.beat("vm-9", zone="east")
        cluster.fleet.expire_leases(cluster.clock())
        assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []
    assert any(m.unresponsive for m in cluster.fleet.machines.values())


def test_machines_of_several_types_are_provisioned_and_drained(cluster: Cluster, scale_out: ScaleOut):
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
    scale_out.demand.jobs_precede_leadership = False
    scale_out.demand.measure(cluster.clock())
    names = {
        cluster.fleet.type_names.names[t]: n
        for (t, _, _), n in scale_out.planner.plan_for_waiting_jobs(cluster.clock()).items()
    }
    assert names == {"c16": 2, "g4": 1}
    scale_out.planner.plan_standby(cluster.clock())
    scale_out.scale_in.drain_excess_machines(cluster.clock())


def test_machines_that_only_records_name_do_not_count_as_ready_once_lists_lack_them(
    cluster: Cluster, scale_out: ScaleOut
):
    cluster.beat("vm-1")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    cluster.fleet.reset(token=9)
    scale_out.reset()
    cluster.fleet.begin_validity(cluster.clock())
    scale_out.inventory.apply_listing([], cluster.clock())
    assert job.allocations and "vm-1" in cluster.fleet.machines
    assert scale_out.capacity.machine_counts(cluster.clock()) == (0, 0)
    # It is deleted only when even the latest list must have named it, and then its task is free.
    assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []
    cluster.clock.tick(12.0)
    scale_out.inventory.apply_listing([], cluster.clock())
    assert [m.name for m in scale_out.scale_in.machines_to_delete(cluster.clock())] == ["vm-1"]


def test_a_new_leader_does_not_count_on_machines_without_a_heartbeat(cluster: Cluster, scale_out: ScaleOut):
    listed = [cloud_messages.ListedMachine(name=f"vm-{i}", type="g4", zone="west", phase="running") for i in range(4)]
    cluster.fleet.reset(token=9)
    scale_out.reset()
    cluster.fleet.begin_validity(cluster.clock())
    scale_out.inventory.apply_listing(listed, cluster.clock())
    assert scale_out.capacity.machine_counts(cluster.clock()) == (4, 4)
    cluster.clock.tick(13.0)
    scale_out.inventory.apply_listing(listed, cluster.clock())
    cluster.fleet.expire_leases(cluster.clock())
    assert scale_out.capacity.machine_counts(cluster.clock()) == (0, 0)
    # A whole zone is rather cut off than dead.
    cluster.clock.tick(60.0)
    scale_out.inventory.apply_listing(listed, cluster.clock())
    assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []


def test_a_plan_has_one_full_request_for_each_pool_and_none_for_a_dearer_one(cluster: Cluster, scale_out: ScaleOut):
    cluster.submit(1, pieces=4 * 120, loaners=True)
    cluster.scheduler.run_round()
    plan = scale_out.planner.plan_for_waiting_jobs(cluster.clock())
    assert {pool.spot for pool in plan} == {True} and sum(plan.values()) == 100


def test_targets_do_not_fall_while_nothing_can_be_stored(cluster: Cluster, scale_out: ScaleOut):
    job = cluster.submit(1, shape="ensemble", cards=4.0, pieces=3)
    cluster.scheduler.run_round()
    scale_out.demand.measure(cluster.clock())
    before = scale_out.demand.targets
    assert before.on_demand >= 3.0
    job.phase = "done"
    scale_out.demand.intake_blocked = lambda: True
    cluster.clock.tick(10.0)
    cluster.scheduler.run_round()
    scale_out.demand.measure(cluster.clock())
    assert scale_out.demand.targets == before
    scale_out.demand.intake_blocked = lambda: False
    scale_out.demand.measure(cluster.clock())
    assert scale_out.demand.targets.on_demand < 3.0


def test_a_machine_whose_lease_ended_with_cancelled_tasks_is_deleted_before_they_could_go_on(
    cluster: Cluster, scale_out: ScaleOut
):
    """One that hangs has its tasks until it goes on, and an on-demand one is given the time to come back."""
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
    assert [m.name for m in scale_out.scale_in.machines_to_delete(cluster.clock())] == [at[off.job_id]]
    # A heartbeat of a later epoch shows that nothing is there any more.
    cluster.fleet.transition_to(cluster.fleet.machines[at[off.job_id]], MachinePhase.UP, "back")
    cluster.beat(at[off.job_id], tenure=2, tick=1)
    assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []


def test_provisioning_does_not_wait_for_a_machine_list_of_many_pages(cluster: Cluster, scale_out: ScaleOut):
    """At 4,000 machines a list took 3.5 of each 4 s, and what was to be provisioned waited for its end."""
    cloud, loop = scale_out.client, VirtualLoop()
    cloud.page_size, cloud.listings = 500, 0
    # What decides and what waits follow the same clock.
    scale_out.clock = scale_out.inventory.clock = scale_out.demand.clock = loop.time
    cluster.fleet.clock = cluster.scheduler.clock = loop.time

    async def fetch_catalog():
        return cluster.fleet.catalog

    async def machines():
        cloud.listings += 1
        await asyncio.sleep(3.5 if cloud.listings > 1 else 0.1)
        return []

    async def scenario():
        cloud.fetch_catalog, cloud.machines = fetch_catalog, machines
        scale_out.reset()
        loops = [scale_out.run(lambda: True, lambda: 5), scale_out.inventory.run(lambda: True)]
        running = [loop.create_task(work) for work in loops]
        while cloud.listings < 2 or loop.time() - scale_out.inventory.leading_since < SETTLE_S:
            await asyncio.sleep(0.1)
        begun = cloud.listings
        cluster.submit(1, pieces=4)
        cluster.scheduler.run_round()
        await asyncio.sleep(1.5)
        assert cloud.requests and cloud.listings == begun, "the list that was under way is still"
        for task in running:
            task.cancel()

    loop.run_until_complete(scenario())
    loop.close()
