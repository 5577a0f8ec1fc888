"""One job must not keep the others from running, whatever amounts it has and whatever goes wrong in its handling."""

import asyncio
import json

import pytest
from conftest import description
from harness.play import play
from harness.simulation import Simulation

from hookwall.autoscaling import demand, provisioning_plan
from hookwall.jobs.job import Job
from hookwall.jobs.job_errors import JobOperation
from hookwall.jobs.job_table import JobTable
from hookwall.jobs.write_batch import PendingWrite
from hookwall.protocol import job_messages
from hookwall.scheduling import broken_gangs, serving_order
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.graceful_stop import stop_grace_s
from hookwall.workers.task_reconciliation import TaskReconciliation

ODD, SOUND, LATER = 1, 2, 3
AMOUNTS = ("cores", "cards", "memGb", "sizeGb", "guessS", "pinEveryS", "pinCostS", "dueS")
# The smallest double, a double that was never set, amounts around the tolerance of the capacity, the largest amount.
EXTREMES = (5e-324, 6.9e-310, 1e-300, 1e-12, 1e-7, 1e12)


async def submit_all(simulation: Simulation, *job_ids: str) -> None:
    """Submit jobs until they are accepted."""
    for job_id in job_ids:
        await simulation.submit_until_accepted(job_id)


def errors_of(simulation: Simulation) -> set[JobOperation]:
    """Return the operations in which the handling of a job failed at some node."""
    return {operation for node in simulation.nodes.values() for operation in node.job_table.errors.counts}


@pytest.mark.parametrize(("shape", "machines"), [("batch", 0), ("ensemble", 0), ("batch", 1)])
@pytest.mark.parametrize("value", EXTREMES)
@pytest.mark.parametrize("name", AMOUNTS)
def test_an_odd_amount_of_one_job_stops_neither_rounds_nor_renting(name, value, shape, machines):
    """Dividing by an amount near 0 raised an error that ended each round and each plan of machines, for good."""

    async def scenario(simulation: Simulation) -> None:
        simulation.cloud.available_machines = 60
        odd = simulation.define_job(ODD, run_s=20.0, owner="red", pieces=2, shape=shape, **{name: value})
        status = await simulation.submit("n1", odd)
        assert status in (201, 422)
        sound = simulation.define_job(SOUND, run_s=20.0, pieces=12)
        await submit_all(simulation, sound)
        await simulation.wait_until_running(sound, 40.0)
        assert not errors_of(simulation)
        assert len(simulation.workers) <= 30, "one job's amount makes the leader rent machines for nothing"

    play(scenario, machines=machines)


@pytest.mark.parametrize(
    "changes", [{"cores": 6.9e-310}, {"cards": 5e-324, "owner": "red"}, {"cores": 1e300}, {"on": 7}]
)
def test_a_record_that_an_earlier_version_accepted_stops_no_other_job(changes):
    """An odd record is stored, so that neither a restart nor another leader helps; some can't even be read."""

    async def scenario(simulation: Simulation) -> None:
        odd = simulation.define_job(ODD, run_s=20.0, pieces=2, **{k: v for k, v in changes.items() if k != "on"})
        spec = {name: value for name, value in simulation.jobs[odd].spec.items() if value is not None}
        on = changes.get("on", [])
        simulation.put_record(odd, {"phase": "open", "n": 2, "next": 1, "on": on, "spec": spec, "at": 1.0, "done": ""})
        sound = simulation.define_job(SOUND, run_s=20.0, pieces=2)
        await submit_all(simulation, sound)
        await simulation.wait_until_running(sound, 20.0)
        simulation.crash(simulation.current_leader_name())
        await simulation.wait_for_leader()
        later = simulation.define_job(LATER, run_s=20.0)
        await submit_all(simulation, later)
        await simulation.wait_until_running(later, 20.0)

    play(scenario, machines=2)


def fail_for_odd_job(function, job_id_of):
    """Wrap a function so that it raises an error for the odd job."""

    def wrapper(*args, **options):
        if job_id_of(*args) == Simulation.job_id(ODD):
            raise RuntimeError("an error that nobody expected")
        return function(*args, **options)

    return wrapper


def record_key_job(_table: JobTable, job: Job, *_args) -> str:
    """Return the job of a call that applies a record."""
    return job.job_id


FAILING_PLACES = {
    "apply record": (JobTable, "_apply_newer_record", record_key_job, JobOperation.APPLY_RECORD),
    "encode record": (PendingWrite, "prepare", lambda job, *_: job.job_id, JobOperation.ENCODE_RECORD),
    "serve": (Scheduler, "_serve_job", lambda _self, job, *_: job.job_id, JobOperation.SCHEDULE),
    "pending": (serving_order, "_has_tasks_to_place", lambda job, _spec: job.job_id, JobOperation.SCHEDULE),
    "fit": ("hookwall.scheduling.fit", "_compute_fit", lambda job, _fleet: job.job_id, JobOperation.SCHEDULE),
    "demand": (demand.Demand, "_count_job", lambda _self, job, *_: job.job_id, JobOperation.MEASURE_DEMAND),
    "plan": (provisioning_plan._Packing, "add", None, JobOperation.PLAN_MACHINES),
    "report": (TaskReconciliation, "_apply_report", lambda _self, _m, report, *_: report.task_id.job_id,
               JobOperation.PROCESS_REPORT),
    "absent task": (TaskReconciliation, "_reconcile_absent", lambda _self, _m, job, *_: job.job_id,
                    JobOperation.PROCESS_REPORT),
    "broken gang": (broken_gangs.BrokenGangs, "_stop_tasks", lambda _self, job, _now: job.job_id,
                    JobOperation.SCHEDULE),
}  # fmt: skip
ODD_CARDS = 3.0  # by which a resource request shows that it is the odd job's


@pytest.mark.parametrize("place", FAILING_PLACES)
def test_an_unexpected_error_in_the_handling_of_one_job_stays_with_that_job(place, monkeypatch, caplog):
    """An error in the handling of any job ended the round, the plan, the response or the loop for all jobs."""
    owner, name, job_id_of, operation = FAILING_PLACES[place]
    if isinstance(owner, str):
        owner = __import__(owner, fromlist=[name])

    async def scenario(simulation: Simulation) -> None:
        simulation.cloud.available_machines = 6
        gang = place == "broken gang"
        pieces = {"broken gang": 2, "plan": 8}.get(place, 1)  # eight don't fit the machines that there are
        odd = simulation.define_job(
            ODD, run_s=60.0, pieces=pieces, cards=ODD_CARDS, shape="ensemble" if gang else "batch"
        )
        sound = simulation.define_job(SOUND, run_s=10.0, pieces=16)
        if place in ("report", "broken gang"):
            await submit_all(simulation, odd)
            await simulation.wait_until_running(odd)
        function = owner.__dict__[name]
        is_class_method = isinstance(function, classmethod)
        plain = function.__get__(None, owner) if is_class_method else function
        if job_id_of is None:
            wrapped = fail_for_odd_job(
                plain, lambda _self, request: simulation.job_id(ODD if request.gpus == ODD_CARDS else SOUND)
            )
        else:
            wrapped = fail_for_odd_job(plain, job_id_of)
        monkeypatch.setattr(owner, name, staticmethod(wrapped) if is_class_method else wrapped)
        await submit_all(simulation, odd, sound)
        if gang:
            worker = next(w for w in simulation.workers.values() if any(p.startswith(odd) for p in w.tasks))
            for task_id, task in worker.tasks.items():
                worker.exit(task_id, task, "error")
        await simulation.wait_until(lambda: len(simulation.jobs[sound].done) == 16, 60.0, "the sound job did not run")
        later = simulation.define_job(LATER, run_s=5.0)
        await submit_all(simulation, later)
        await simulation.wait_until(lambda: bool(simulation.jobs[later].done), 30.0, "a later job did not run")
        assert errors_of(simulation) == {operation}
        monkeypatch.undo()
        await asyncio.sleep(1.0)

    play(scenario, machines=2)
    messages = [record for record in caplog.records if "error in the handling of a job" in record.message]
    assert 1 <= len(messages) <= 3, "logged once by each node that meets it"


def test_a_number_beyond_the_range_of_a_double_is_refused_by_the_name_of_its_field():
    """The refusal did not tell the user which field was wrong."""

    async def scenario(simulation: Simulation) -> None:
        for name in AMOUNTS:
            body = f'{{"{name}":1e999,"pieces":1}}'
            status, raw, _ = await simulation.nodes["n0"].job_service.submit(body.encode())
            assert status == 400 and name in raw.decode()

    play(scenario, machines=0)


def test_a_stop_does_not_wait_for_a_checkpoint_that_takes_days():
    """A job that others preempt kept their machine until its checkpoint was written, however long that takes."""
    spec = job_messages.decode_job(json.dumps(description(ODD, pinCostS=1e12)).encode())
    assert stop_grace_s(spec) == 0.0
    assert stop_grace_s(job_messages.decode_job(json.dumps(description(ODD, pinCostS=4.0)).encode())) >= 4.0
