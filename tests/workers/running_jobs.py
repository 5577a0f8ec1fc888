"""Helpers that start jobs and build the task statuses that workers report for them."""

from conftest import Cluster

from hookwall.jobs.job import Job


def start_job(cluster: Cluster, n=1, machine="vm-1", **changes) -> Job:
    """Submit a job whose tasks are placed on one machine, stored, launched and reported as running."""
    cluster.beat(machine)
    job = cluster.submit(n, **changes)
    cluster.scheduler.run_round()
    cluster.store()
    assert {a.machine for a in job.allocations.values()} == {machine}
    cluster.beat(machine)
    cluster.beat(machine, task_statuses(job))
    return job


def task_statuses(job, phase="running", cause=None):
    """Return the statuses of all allocated tasks of a job, as a heartbeat reports them."""
    return [(f"{job.job_id}/{a.task}", a.attempt, phase, cause) for a in job.allocations.values()]
