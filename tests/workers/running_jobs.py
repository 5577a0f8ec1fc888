"""Jobs whose tasks run, and what their workers report of them."""

from conftest import Cluster

from hookwall.jobs.job import Job


def started(cluster: Cluster, n=1, machine="vm-1", **changes) -> Job:
    """A job whose tasks were placed on one machine, stored, launched and are running."""
    cluster.beat(machine)
    job = cluster.submit(n, **changes)
    cluster.scheduler.run_round()
    cluster.store()
    assert {a.machine for a in job.allocations.values()} == {machine}
    cluster.beat(machine)
    cluster.beat(machine, running(job))
    return job


def running(job, phase="running", cause=None):
    return [(f"{job.job_id}/{a.task}", a.attempt, phase, cause) for a in job.allocations.values()]
