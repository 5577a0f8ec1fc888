"""Waiting jobs leave machines for a while to equal jobs whose image is cached there."""

import msgspec
from conftest import Cluster
from scheduling_steps import send_heartbeats


def test_a_machine_reserved_without_the_image_is_used_once_it_is_free(cluster: Cluster):
    """The job must not leave the machine empty for twelve seconds, as if a machine with the image were being freed."""
    send_heartbeats(cluster, "vm-1")
    low = cluster.submit(1, pieces=4, rank="low")
    cluster.scheduler.run_round()
    urgent = cluster.submit(2, shape="ensemble", cards=4.0, rank="urgent", bundle="img-9", sizeGb=10.0)
    cluster.scheduler.run_round()
    assert cluster.fleet.machines["vm-1"].reserved_for == urgent.job_id
    for a in list(low.allocations.values()):
        cluster.fleet.release_allocation(low, a, "halted")
    cluster.scheduler.run_round()
    assert urgent.allocations


def test_in_a_queue_a_machine_goes_to_the_job_whose_image_is_cached_there(cluster: Cluster):
    send_heartbeats(cluster, "vm-1")
    m = cluster.fleet.machines["vm-1"]
    running = cluster.submit(1, shape="ensemble", cards=4.0, rank="urgent", bundle="img-8", sizeGb=10.0)
    cluster.scheduler.run_round()
    first = cluster.submit(2, shape="ensemble", cards=4.0, rank="urgent", bundle="img-9", sizeGb=10.0)
    second = cluster.submit(3, shape="ensemble", cards=4.0, rank="urgent", bundle="img-8", sizeGb=10.0)
    cluster.scheduler.run_round()
    m.cached_images[cluster.fleet.image_names.index_of("img-8")] = 10.0
    cluster.fleet.release_allocation(running, running.allocations[0], "halted")
    running.phase = "withdrawn"
    cluster.scheduler.run_round()
    assert second.allocations and not first.allocations
    # The first job declines the machine for a limited time only.
    cluster.fleet.release_allocation(second, second.allocations[0], "halted")
    cluster.clock.advance(8.0)
    send_heartbeats(cluster, "vm-1")
    cluster.scheduler.run_round()
    assert first.allocations


def submit_competing_gangs(cluster: Cluster):
    """Return two waiting gangs of two tasks; both machines have the image of the second gang only."""
    send_heartbeats(cluster, "vm-1", "vm-2")
    pair = {"shape": "ensemble", "pieces": 2, "cards": 4.0, "sizeGb": 10.0}
    running = cluster.submit(1, **pair, bundle="img-8")
    cluster.scheduler.run_round()
    first, second = cluster.submit(2, **pair, bundle="img-9"), cluster.submit(3, **pair, bundle="img-8")
    cluster.scheduler.run_round()
    for name in ("vm-1", "vm-2"):
        cluster.fleet.record_image_use(cluster.fleet.machines[name], cluster.fleet.image_names.index_of("img-8"), 10.0)
    for a in list(running.allocations.values()):
        cluster.fleet.release_allocation(running, a, "halted")
    running.phase = "withdrawn"
    return first, second


def test_in_a_queue_gangs_of_several_tasks_yield_machines_to_the_gang_whose_image_is_cached_there(cluster: Cluster):
    first, second = submit_competing_gangs(cluster)
    cluster.scheduler.run_round()
    assert len(second.allocations) == 2 and not first.allocations
    # The first gang declines the machines for a limited time only: the fetch takes 20 s.
    for a in list(second.allocations.values()):
        cluster.fleet.release_allocation(second, a, "halted")
    cluster.clock.advance(25.0)
    send_heartbeats(cluster, "vm-1", "vm-2")
    cluster.scheduler.run_round()
    assert len(first.allocations) == 2


def test_a_gang_that_would_miss_the_latest_start_of_its_class_yields_no_machines(cluster: Cluster):
    cluster.scheduler.latest_start_s["k"] = 60.0
    first, second = submit_competing_gangs(cluster)
    cluster.clock.advance(45.0)  # the gang has waited for 43 s, including the time under earlier leaders
    send_heartbeats(cluster, "vm-1", "vm-2")
    for queued in cluster.scheduler.waiting.values():
        queued.waiting_since = queued.last_served_at = cluster.clock()
    cluster.scheduler.run_round()
    assert len(first.allocations) == 2 and not second.allocations


def test_in_a_queue_arrays_yield_freed_gpus_to_the_array_whose_image_is_cached_there(cluster: Cluster):
    send_heartbeats(cluster, "vm-1")
    m = cluster.fleet.machines["vm-1"]
    full = cluster.submit(1, pieces=4, bundle="img-8")
    cluster.scheduler.run_round()
    first = cluster.submit(2, pieces=2, bundle="img-9", sizeGb=10.0)
    second = cluster.submit(3, pieces=2, bundle="img-8", sizeGb=10.0)
    cluster.scheduler.run_round()
    m.cached_images[cluster.fleet.image_names.index_of("img-8")] = 10.0
    cluster.fleet.release_allocation(full, full.allocations[0], "done")
    full.mark_task_done(0)
    cluster.scheduler.run_round()
    assert len(second.allocations) == 1 and not first.allocations
    cluster.clock.advance(15.0)
    send_heartbeats(cluster, "vm-1")
    cluster.fleet.release_allocation(full, full.allocations[1], "done")
    full.mark_task_done(1)
    cluster.scheduler.run_round()
    assert len(first.allocations) == 1, "the first job declines the machine for a limited time only"


def test_a_starving_gang_yields_no_machines_however_long_the_fetch_takes(cluster: Cluster):
    first, second = submit_competing_gangs(cluster)
    first.spec = msgspec.structs.replace(first.spec, image_gb=100.0)  # 200 s to fetch
    cluster.scheduler.waiting[first.job_id].last_served_at = cluster.clock() - 61.0
    cluster.scheduler.run_round()
    assert len(first.allocations) == 2 and not second.allocations
