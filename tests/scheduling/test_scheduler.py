"""Scheduling rounds: serving order, limits, the time budget, and broken gangs."""

import msgspec
import pytest
from conftest import Cluster
from scheduling_steps import send_heartbeats

from hookwall.config.platform import MachineLimits, PlatformParameters
from hookwall.jobs.start_record_budget import BYTES_PER_MACHINE, BYTES_PER_START, StartRecordBudget
from hookwall.scheduling import machine_selection
from hookwall.scheduling.scheduler import Scheduler
from hookwall.storage.job_records import encode_plain


def test_jobs_are_served_by_rank_then_arrival(cluster: Cluster):
    send_heartbeats(cluster, "vm-1")
    late = cluster.submit(3, pieces=4, rank="urgent")
    early = cluster.submit(1, pieces=4)
    cluster.scheduler.run_round()
    assert len(late.allocations) == 4 and not early.allocations


def test_a_teams_limit_counts_tasks_that_may_still_run(cluster: Cluster):
    send_heartbeats(cluster, "vm-1", "vm-2", "vm-3", "vm-4", "vm-5")
    a = cluster.submit(1, owner="red", pieces=12)
    b = cluster.submit(2, owner="red", pieces=12)
    cluster.scheduler.run_round()
    assert len(a.allocations) + len(b.allocations) == 16
    a.phase = "withdrawn"
    cluster.scheduler.run_round()
    assert len(a.allocations) + len(b.allocations) == 16


@pytest.mark.parametrize("cards", [1e-7, 2e-9])
def test_tiny_tasks_do_not_exceed_a_teams_limit_together(cluster: Cluster, cards):
    """The tolerance for rounding errors in free capacity was granted beyond the limit."""
    send_heartbeats(cluster, "vm-1", "vm-2", "vm-3", "vm-4", "vm-5")
    cluster.submit(1, owner="red", pieces=16)
    tiny = cluster.submit(2, owner="red", pieces=5, cards=cards)
    cluster.scheduler.run_round()
    assert not tiny.allocations


def test_a_limit_of_many_fractions_is_used_whole(cluster: Cluster):
    send_heartbeats(cluster, "vm-1", "vm-2", "vm-3", "vm-4", "vm-5")
    jobs = [cluster.submit(n, owner="red", pieces=1, cards=0.1, cores=0.1, memGb=0.1) for n in range(1, 161)]
    for _ in range(4):
        cluster.scheduler.run_round()
        cluster.store()
    assert sum(len(job.allocations) for job in jobs) == 160


def test_no_job_is_placed_while_it_is_unknown_what_another_jobs_record_admits(cluster: Cluster):
    """Guards against a start that takes what a void decision about another job seemed to release."""
    send_heartbeats(cluster, "vm-1")
    unsettled, waiting = cluster.submit(1), cluster.submit(2)
    unsettled.write_in_flight = True
    cluster.table.revert_unsaved()
    assert not cluster.scheduler.run_round() and not waiting.allocations
    unsettled.write_in_flight = False
    cluster.table.finish_write(unsettled, may_be_executed=False)
    cluster.scheduler.run_round()
    assert waiting.allocations


def test_after_a_round_runs_out_of_time_the_next_one_continues_where_it_stopped(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
):
    send_heartbeats(cluster, *[f"vm-{i}" for i in range(8)])
    jobs = [cluster.submit(n, pieces=1) for n in range(1, 21)]
    place = machine_selection.place

    def slow_place(request, machines):
        cluster.clock.advance(cluster.scheduler.budget_s / 3)
        return place(request, machines)

    monkeypatch.setattr(machine_selection, "place", slow_place)
    served = []
    for _ in range(8):
        more = cluster.scheduler.run_round()
        served.append(sum(bool(j.allocations) for j in jobs))
        send_heartbeats(cluster, *[f"vm-{i}" for i in range(8)])
        if not more:
            break
    assert served[0] < 20 and served[-1] == 20 and served == sorted(served)


@pytest.mark.parametrize(
    ("share", "budget_s"), [(0.36, 0.0306), (0.18, 0.0611), (0.13, 0.0846), (0.01, 0.12), (1.0, 0.011)]
)
def test_the_time_budget_of_a_round_follows_the_core_share(
    cluster: Cluster, params: PlatformParameters, share, budget_s
):
    params = msgspec.structs.replace(params, machine_limits=MachineLimits(core_share=share))
    scheduler = Scheduler(params, cluster.table, cluster.fleet, cluster.clock)
    assert scheduler.budget_s == pytest.approx(budget_s, rel=0.01)


def test_a_broken_gang_is_stopped_and_restarted_as_a_whole(cluster: Cluster):
    send_heartbeats(cluster, "vm-1")
    send_heartbeats(cluster, "vm-2")
    gang = cluster.submit(1, shape="ensemble", pieces=2, cards=4.0)
    cluster.scheduler.run_round()
    cluster.store()
    for n in ("vm-1", "vm-2"):
        cluster.beat(n)
        t = next(a.task for a in gang.allocations.values() if a.machine == n)
        cluster.beat(n, [(f"{gang.job_id}/{t}", 1, "running", None)])
    cluster.fleet.confirm_deletion(cluster.fleet.machines["vm-1"], "deleted")
    cluster.scheduler.run_round()
    (left,) = gang.allocations.values()
    assert left.stop_grace_s == 0.0
    cluster.beat("vm-2", [(f"{gang.job_id}/{left.task}", 1, "exited", "mates_gone")])
    send_heartbeats(cluster, "vm-3")
    cluster.scheduler.run_round()
    assert {a.attempt for a in gang.allocations.values()} == {2} and len(gang.allocations) == 2


def test_a_machine_on_which_a_job_failed_twice_is_tried_again_later(cluster: Cluster):
    """The job must not wait indefinitely when that machine is the only one with free capacity."""
    send_heartbeats(cluster, "vm-1")
    job = cluster.submit(1)
    job.failures_by_machine, job.last_failure_at = {"vm-1": 2}, cluster.clock()
    cluster.scheduler.run_round()
    assert not job.allocations
    for _ in range(40):
        cluster.clock.advance(2.0)
        send_heartbeats(cluster, "vm-1")
        cluster.scheduler.run_round()
    assert len(job.allocations) == 1


def test_tasks_on_machines_known_only_from_records_count_in_every_zone(cluster: Cluster):
    job = cluster.submit(1, pieces=4, spread=True)
    record = {**encode_plain(job.record()), "on": [["vm-7", 1, 1, "0-1"]], "next": 2}
    cluster.stamp += 1
    cluster.table.apply_record("hookwall/job/" + job.job_id, record, cluster.stamp)
    send_heartbeats(cluster, "vm-1", zone="east")
    send_heartbeats(cluster, "vm-2", zone="west")
    cluster.scheduler.run_round()
    assert len(job.allocations) == 2, "vm-7 may be in either zone, and each may have two tasks"
    cluster.beat("vm-7", [(f"{job.job_id}/{i}", 1, "running", None) for i in (0, 1)], zone="east")
    cluster.scheduler.run_round()
    assert {a.machine for a in job.allocations.values()} == {"vm-7", "vm-2"}


def test_a_large_record_may_contain_more_starts_than_a_usual_one(cluster: Cluster):
    for n in range(1, 13):
        cluster.beat(f"vm-{n}")
    cluster.scheduler.start_record_budget = lambda: StartRecordBudget(
        0.0, 20 * (BYTES_PER_MACHINE + BYTES_PER_START) + 1.0
    )
    job = cluster.submit(1, pieces=40)
    cluster.scheduler.run_round()
    assert len(job.allocations) == 20
