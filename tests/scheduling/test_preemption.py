"""Which tasks are preempted for a waiting job, and which are not."""

from conftest import Cluster
from scheduling_steps import send_heartbeats


def test_an_urgent_job_preempts_tasks_of_lower_rank_and_gets_their_machine(cluster: Cluster):
    send_heartbeats(cluster, "vm-1")
    low = cluster.submit(1, pieces=4, rank="low")
    cluster.scheduler.run_round()
    cluster.store()
    report = [(f"{low.job_id}/{i}", 1, "running", None) for i in range(4)]
    cluster.beat("vm-1")
    cluster.beat("vm-1", report)
    high = cluster.submit(2, shape="ensemble", cards=4.0, cores=20.0, rank="urgent")
    other = cluster.submit(3, pieces=4, rank="low")
    cluster.scheduler.run_round()
    assert [o[0] for o in cluster.beat("vm-1", report)] == ["stop"] * 4
    cluster.beat("vm-1", [(p, a, "exited", "halted") for p, a, _, _ in report])
    cluster.scheduler.run_round()
    assert len(high.allocations) == 1 and not other.allocations and not low.allocations


def test_tasks_of_equal_rank_are_not_preempted_without_a_guarantee(cluster: Cluster):
    send_heartbeats(cluster, "vm-1")
    first = cluster.submit(1, pieces=4)
    cluster.scheduler.run_round()
    cluster.submit(2, pieces=4)
    cluster.scheduler.run_round()
    assert all(a.stop_grace_s is None for a in first.allocations.values())


def test_a_job_within_its_guarantee_preempts_only_borrowed_capacity(cluster: Cluster):
    send_heartbeats(cluster, "vm-1", "vm-2", "vm-3", "vm-4")
    blue = cluster.submit(1, owner="blue", pieces=12)
    grey = cluster.submit(2, owner="grey", pieces=4)
    cluster.scheduler.run_round()
    red = cluster.submit(3, owner="red", pieces=8)
    cluster.scheduler.run_round()
    stopped = {j.job_id: sum(a.stop_grace_s is not None for a in j.allocations.values()) for j in (blue, grey)}
    assert stopped == {blue.job_id: 4, grey.job_id: 4}
    assert red.job_id in cluster.scheduler.waiting


def test_an_urgent_job_preempts_on_a_machine_with_its_image_instead_of_fetching_it_elsewhere(cluster: Cluster):
    send_heartbeats(cluster, "vm-1", "vm-2")
    low = cluster.submit(1, pieces=4, rank="low")
    cluster.scheduler.run_round()
    (machine_with_image,) = {a.machine for a in low.allocations.values()}
    m = cluster.fleet.machines[machine_with_image]
    m.cached_images[cluster.fleet.image_names.index_of("img-9")] = 10.0
    urgent = cluster.submit(2, shape="ensemble", cards=4.0, rank="urgent", bundle="img-9", sizeGb=10.0)
    cluster.scheduler.run_round()
    assert not urgent.allocations and m.reserved_for == urgent.job_id
    for a in list(low.allocations.values()):
        cluster.fleet.release_allocation(low, a, "halted")
    low.phase = "withdrawn"
    cluster.scheduler.run_round()
    assert urgent.allocations[0].machine == machine_with_image


def test_free_machines_are_reserved_for_a_gang_that_preempts_tasks_on_other_machines(cluster: Cluster):
    cluster.beat("vm-1")
    low = cluster.submit(1, rank="low", pieces=4)
    cluster.scheduler.run_round()
    cluster.store()
    cluster.beat("vm-2")
    gang = cluster.submit(2, rank="urgent", shape="ensemble", pieces=2, cards=4.0, samePlace=True)
    cluster.scheduler.run_round()
    assert all(a.stop_grace_s is not None for a in low.allocations.values())
    small = cluster.submit(3, rank="low")
    cluster.scheduler.run_round()
    assert not small.allocations, "the free machine is reserved for the gang"
    for a in list(low.allocations.values()):
        cluster.fleet.release_allocation(low, a, "halted")
    cluster.scheduler.run_round()
    assert {a.machine for a in gang.allocations.values()} == {"vm-1", "vm-2"}
