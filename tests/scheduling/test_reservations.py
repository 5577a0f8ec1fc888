"""Machines that are reserved for waiting gangs, or set aside for gangs that wait or are expected."""

from conftest import Cluster
from scheduling_steps import send_heartbeats


def test_a_waiting_gang_is_not_starved_by_later_small_jobs(cluster: Cluster):
    send_heartbeats(cluster, "vm-1")
    small = cluster.submit(1, pieces=2)
    cluster.scheduler.run_round()
    cluster.store()
    gang = cluster.submit(2, shape="ensemble", cards=4.0)
    cluster.scheduler.run_round()
    cluster.clock.advance(1.5)
    send_heartbeats(cluster, "vm-1")
    later = cluster.submit(3, pieces=2)
    cluster.scheduler.run_round()
    assert not later.allocations and not gang.allocations and len(small.allocations) == 2


def test_some_machines_are_set_aside_for_gangs_that_need_whole_machines(cluster: Cluster):
    """Otherwise small tasks of the same rank refill each freed GPU, and a gang waits for minutes under load."""
    send_heartbeats(cluster, "vm-1", "vm-2")
    gang = cluster.submit(1, shape="ensemble", cards=4.0)
    for _ in range(60):
        cluster.clock.advance(5.0)
        send_heartbeats(cluster, "vm-1", "vm-2")
        cluster.scheduler.run_round()
    assert len(gang.allocations) == 1
    cluster.submit(2, pieces=8)
    cluster.scheduler.run_round()
    used = {m.name for m in cluster.fleet.machines.values() if m.allocations}
    assert used == {gang.allocations[0].machine}


def test_the_zone_reserved_for_a_gang_does_not_change(cluster: Cluster):
    for name, zone in (("e1", "east"), ("e2", "east"), ("w1", "west"), ("w2", "west")):
        cluster.beat(name, zone=zone)
    fillers = [cluster.submit(n, pieces=1, cards=c, yard=z) for n, c, z in ((1, 2.0, "east"), (2, 2.0, "west"))]
    fillers.append(cluster.submit(3, pieces=1, cards=1.0, yard="west"))
    cluster.scheduler.run_round()
    gang = cluster.submit(4, shape="ensemble", pieces=2, cards=4.0, samePlace=True)
    cluster.scheduler.run_round()
    cluster.clock.advance(2.0)
    for name, zone in (("e1", "east"), ("e2", "east"), ("w1", "west"), ("w2", "west")):
        cluster.beat(name, zone=zone)
    cluster.scheduler.run_round()
    zone = cluster.scheduler.waiting[gang.job_id].reserved_zone
    assert zone == cluster.fleet.zone_names.index_of("east")
    cluster.fleet.release_allocation(fillers[2], fillers[2].allocations[0], "done")
    later = cluster.submit(5, pieces=4)
    cluster.scheduler.run_round()
    assert cluster.scheduler.waiting[gang.job_id].reserved_zone == zone
    assert {a.machine[0] for a in later.allocations.values()} == {"w"}


def test_queued_gangs_reserve_each_machine_only_once(cluster: Cluster):
    # The list of unreserved machines is cached for a round; no machine may be reserved twice from it.
    send_heartbeats(cluster, "vm-1", "vm-2", "vm-3", "vm-4")
    cluster.submit(1, pieces=16)
    cluster.scheduler.run_round()
    gangs = [cluster.submit(n, shape="ensemble", pieces=2, cards=4.0) for n in (2, 3, 4)]
    cluster.scheduler.run_round()
    cluster.clock.advance(1.5)
    send_heartbeats(cluster, "vm-1", "vm-2", "vm-3", "vm-4")
    state = cluster.scheduler.round_state(cluster.clock())
    for gang in gangs:
        cluster.scheduler.reservations.reserve_for_gang(
            gang, cluster.scheduler.resource_request(gang, 2), state, cluster.clock()
        )
    assert sorted(state.reserved_for.values()) == [gangs[0].job_id] * 2 + [gangs[1].job_id] * 2


def test_arrays_yield_the_emptiest_machines_to_a_waiting_gang(cluster: Cluster):
    """Otherwise older arrays refill each freed GPU, and gangs that need whole machines wait for minutes."""
    send_heartbeats(cluster, "vm-1", "vm-2")
    old = cluster.submit(1, pieces=20, loaners=True)
    cluster.scheduler.run_round()
    cluster.store()
    gang = cluster.submit(2, shape="ensemble", cards=4.0)
    cluster.scheduler.run_round()
    for a in [a for a in old.allocations.values() if a.machine == "vm-1"]:
        cluster.clock.advance(1.0)
        old.mark_task_done(a.task)
        cluster.fleet.release_allocation(old, a, "done")
        send_heartbeats(cluster, "vm-1", "vm-2")
        cluster.scheduler.run_round()
    assert gang.allocations[0].machine == "vm-1"


def test_a_starving_array_gets_machines_set_aside_for_waiting_gangs(cluster: Cluster):
    send_heartbeats(cluster, "vm-1")
    old = cluster.submit(1, pieces=20, loaners=True)
    cluster.scheduler.run_round()
    cluster.store()
    gang = cluster.submit(2, shape="ensemble", pieces=2, cards=4.0)
    cluster.scheduler.run_round()
    first = next(iter(old.allocations.values()))
    old.mark_task_done(first.task)
    cluster.fleet.release_allocation(old, first, "done")
    cluster.scheduler.run_round()
    assert len(old.allocations) == 3 and not gang.allocations
    for _ in range(40):
        cluster.clock.advance(2.0)
        send_heartbeats(cluster, "vm-1")
        cluster.scheduler.run_round()
    assert len(old.allocations) == 4, "the gang lacks a second machine, and the array is starving"


def test_a_starving_job_gets_machines_set_aside_for_expected_gangs(cluster: Cluster):
    """Otherwise an array whose team has no guarantee waits beside idle machines for as long as gangs are expected."""
    send_heartbeats(cluster, "vm-1", "vm-2")
    gang = cluster.submit(1, shape="ensemble", cards=4.0)
    for _ in range(60):
        cluster.clock.advance(5.0)
        send_heartbeats(cluster, "vm-1", "vm-2")
        cluster.scheduler.run_round()
    assert len(gang.allocations) == 1
    array = cluster.submit(2, pieces=4)
    cluster.scheduler.run_round()
    assert not array.allocations
    for _ in range(44):
        cluster.clock.advance(2.0)
        send_heartbeats(cluster, "vm-1", "vm-2")
        cluster.scheduler.run_round()
    assert len(array.allocations) == 4


def test_a_machine_with_a_stale_reservation_goes_to_a_starving_job(cluster: Cluster):
    """While a gang waits for a second machine, the first one must not stay idle although other jobs could use it."""
    send_heartbeats(cluster, "vm-1")
    gang = cluster.submit(1, shape="ensemble", pieces=2, cards=4.0, rank="urgent")
    cluster.scheduler.run_round()
    cluster.clock.advance(2.0)
    send_heartbeats(cluster, "vm-1")
    cluster.scheduler.run_round()
    later = cluster.submit(2, rank="low")
    waited = 0.0
    while not later.allocations:
        cluster.scheduler.run_round()
        cluster.clock.advance(2.0)
        waited += 2.0
        send_heartbeats(cluster, "vm-1")
        assert waited < 90.0
    assert waited > 50.0 and not gang.allocations
