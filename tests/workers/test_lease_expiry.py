"""When a lease counts as expired, and what is released at that time."""

from conftest import Cluster
from running_jobs import start_job


def test_unresponsive_machine_keeps_its_tasks_until_its_lease_must_have_expired(cluster: Cluster):
    job = start_job(cluster)
    cluster.beat("vm-2")
    cluster.clock.advance(12.0)
    cluster.beat("vm-2")
    cluster.beat("vm-2")
    cluster.fleet.expire_leases(cluster.clock())
    cluster.scheduler.run_round()
    assert job.allocations[0].machine == "vm-1"
    cluster.clock.advance(0.6)
    cluster.fleet.expire_leases(cluster.clock())
    cluster.scheduler.run_round()
    assert job.allocations[0].machine == "vm-2" and job.allocations[0].attempt == 2


def test_new_leader_counts_leases_from_the_start_of_its_validity(cluster: Cluster):
    job = start_job(cluster)
    cluster.fleet.reset(token=9)
    cluster.clock.advance(30.0)
    cluster.fleet.expire_leases(cluster.clock())
    assert job.allocations, "no lease may expire before this leader is valid"
    cluster.fleet.begin_validity(cluster.clock())
    cluster.clock.advance(12.0)
    cluster.fleet.expire_leases(cluster.clock())
    assert job.allocations
    cluster.clock.advance(1.0)
    cluster.fleet.expire_leases(cluster.clock())
    assert not job.allocations


def test_deleted_machine_is_removed_from_expired_machines(cluster: Cluster):
    """A delegation of the machine after its deletion must not void decisions, because nothing can run on it."""
    cluster.submit(1)
    cluster.beat("vm-1")
    cluster.scheduler.run_round()
    cluster.store()
    cluster.beat("vm-1", [("run-000001/0", 1, "running", None)])
    cluster.clock.advance(cluster.fleet.lease_expiry.expiry_s + 1.0)
    cluster.fleet.expire_leases(cluster.clock())
    machine = cluster.fleet.machines["vm-1"]
    assert cluster.fleet.lease_expiry.expired_machines == {"vm-1"}
    cluster.fleet.confirm_deletion(machine, "deleted")
    assert (
        not cluster.fleet.lease_expiry.retract_expired_machines(frozenset({"vm-1"}))
        and not cluster.fleet.lease_expiry.expired_machines
    )
