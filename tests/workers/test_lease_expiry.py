"""When a lease counts as expired, and what is released then."""

from conftest import Cluster
from running_jobs import started


def test_an_unresponsive_machine_has_its_tasks_until_its_lease_must_have_expired(cluster: Cluster):
    job = started(cluster)
    cluster.beat("vm-2")
    cluster.clock.tick(12.0)
    cluster.beat("vm-2")
    cluster.beat("vm-2")
    cluster.fleet.expire_leases(cluster.clock())
    cluster.scheduler.run_round()
    assert job.allocations[0].machine == "vm-1"
    cluster.clock.tick(0.6)
    cluster.fleet.expire_leases(cluster.clock())
    cluster.scheduler.run_round()
    assert job.allocations[0].machine == "vm-2" and job.allocations[0].attempt == 2


def test_a_new_leader_counts_leases_from_its_own_beginning(cluster: Cluster):
    job = started(cluster)
    cluster.fleet.reset(token=9)
    cluster.clock.tick(30.0)
    cluster.fleet.expire_leases(cluster.clock())
    assert job.allocations, "nobody may expire leases before this leader is valid"
    cluster.fleet.begin_validity(cluster.clock())
    cluster.clock.tick(12.0)
    cluster.fleet.expire_leases(cluster.clock())
    assert job.allocations
    cluster.clock.tick(1.0)
    cluster.fleet.expire_leases(cluster.clock())
    assert not job.allocations


def test_a_deleted_machine_is_not_remembered_for_its_lease(cluster: Cluster):
    """A key that names it afterwards says nothing about a decision: nothing runs there, whoever renewed its lease."""
    cluster.submit(1)
    cluster.beat("vm-1")
    cluster.scheduler.run_round()
    cluster.store()
    cluster.beat("vm-1", [("run-000001/0", 1, "running", None)])
    cluster.clock.tick(cluster.fleet.lease_expiry.expiry_s + 1.0)
    cluster.fleet.expire_leases(cluster.clock())
    machine = cluster.fleet.machines["vm-1"]
    assert cluster.fleet.lease_expiry.expired_machines == {"vm-1"}
    cluster.fleet.confirm_deletion(machine, "deleted")
    assert (
        not cluster.fleet.lease_expiry.retract_expiry(frozenset({"vm-1"}))
        and not cluster.fleet.lease_expiry.expired_machines
    )
