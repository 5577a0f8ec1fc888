"""Rounds: order, limits, preemption, and the time budget."""

import msgspec
import pytest
from conftest import Cluster
from pytest import MonkeyPatch

from hookwall.config.platform import MachineLimits, PlatformParameters
from hookwall.scheduling import machine_selection
from hookwall.scheduling.round_state import BYTES_PER_MACHINE, BYTES_PER_START, StartRecordBudget
from hookwall.scheduling.scheduler import Scheduler
from hookwall.storage.job_records import encode_plain


def bring_up(cluster: Cluster, *names, **kw):
    for name in names:
        cluster.beat(name, **kw)


def test_jobs_are_served_by_rank_then_arrival(cluster: Cluster):
    bring_up(cluster, "vm-1")
    late = cluster.submit(3, pieces=4, rank="urgent")
    early = cluster.submit(1, pieces=4)
    cluster.scheduler.run_round()
    assert len(late.allocations) == 4 and not early.allocations


def test_a_teams_limit_counts_tasks_that_may_still_run(cluster: Cluster):
    bring_up(cluster, "vm-1", "vm-2", "vm-3", "vm-4", "vm-5")
    a = cluster.submit(1, owner="red", pieces=12)
    b = cluster.submit(2, owner="red", pieces=12)
    cluster.scheduler.run_round()
    assert len(a.allocations) + len(b.allocations) == 16
    a.phase = "withdrawn"
    cluster.scheduler.run_round()
    assert len(a.allocations) + len(b.allocations) == 16


def test_urgent_work_preempts_lower_work_and_gets_its_machine(cluster: Cluster):
    bring_up(cluster, "vm-1")
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


def test_equal_rank_is_not_preempted_without_a_guarantee(cluster: Cluster):
    bring_up(cluster, "vm-1")
    first = cluster.submit(1, pieces=4)
    cluster.scheduler.run_round()
    cluster.submit(2, pieces=4)
    cluster.scheduler.run_round()
    assert all(a.stop_grace_s is None for a in first.allocations.values())


def test_a_guarantee_preempts_only_what_was_borrowed(cluster: Cluster):
    bring_up(cluster, "vm-1", "vm-2", "vm-3", "vm-4")
    blue = cluster.submit(1, owner="blue", pieces=12)
    grey = cluster.submit(2, owner="grey", pieces=4)
    cluster.scheduler.run_round()
    red = cluster.submit(3, owner="red", pieces=8)
    cluster.scheduler.run_round()
    stopped = {j.job_id: sum(a.stop_grace_s is not None for a in j.allocations.values()) for j in (blue, grey)}
    assert stopped == {blue.job_id: 4, grey.job_id: 4}
    assert red.job_id in cluster.scheduler.waiting


def test_a_waiting_gang_is_not_starved_by_later_small_jobs(cluster: Cluster):
    bring_up(cluster, "vm-1")
    small = cluster.submit(1, pieces=2)
    cluster.scheduler.run_round()
    cluster.store()
    gang = cluster.submit(2, shape="ensemble", cards=4.0)
    cluster.scheduler.run_round()
    cluster.clock.tick(1.5)
    bring_up(cluster, "vm-1")
    later = cluster.submit(3, pieces=2)
    cluster.scheduler.run_round()
    assert not later.allocations and not gang.allocations and len(small.allocations) == 2


def test_a_round_out_of_time_goes_on_where_it_stopped(cluster: Cluster, monkeypatch: MonkeyPatch):
    bring_up(cluster, *[f"vm-{i}" for i in range(8)])
    jobs = [cluster.submit(n, pieces=1) for n in range(1, 21)]
    place = machine_selection.place

    def slow_place(request, machines):
        cluster.clock.tick(cluster.scheduler.budget_s / 3)
        return place(request, machines)

    monkeypatch.setattr(machine_selection, "place", slow_place)
    served = []
    for _ in range(8):
        more = cluster.scheduler.run_round()
        served.append(sum(bool(j.allocations) for j in jobs))
        bring_up(cluster, *[f"vm-{i}" for i in range(8)])
        if not more:
            break
    assert served[0] < 20 and served[-1] == 20 and served == sorted(served)


@pytest.mark.parametrize(
    ("share", "budget_s"), [(0.36, 0.0306), (0.18, 0.0611), (0.13, 0.0846), (0.01, 0.12), (1.0, 0.011)]
)
def test_a_round_s_time_follows_the_share_of_a_core(cluster: Cluster, params: PlatformParameters, share, budget_s):
    params = msgspec.structs.replace(params, machine_limits=MachineLimits(core_share=share))
    scheduler = Scheduler(params, cluster.table, cluster.fleet, cluster.clock)
    assert scheduler.budget_s == pytest.approx(budget_s, rel=0.01)


def test_a_broken_gang_is_stopped_and_starts_whole_again(cluster: Cluster):
    bring_up(cluster, "vm-1")
    bring_up(cluster, "vm-2")
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
    bring_up(cluster, "vm-3")
    cluster.scheduler.run_round()
    assert {a.attempt for a in gang.allocations.values()} == {2} and len(gang.allocations) == 2


def test_some_machines_are_set_aside_for_gangs_that_need_one_whole(cluster: Cluster):
    """Small tasks of the same rank refill each GPU that is freed: a gang waited for minutes under load."""
    bring_up(cluster, "vm-1", "vm-2")
    gang = cluster.submit(1, shape="ensemble", cards=4.0)
    for _ in range(60):
        cluster.clock.tick(5.0)
        bring_up(cluster, "vm-1", "vm-2")
        cluster.scheduler.run_round()
    assert len(gang.allocations) == 1
    cluster.submit(2, pieces=8)
    cluster.scheduler.run_round()
    used = {m.name for m in cluster.fleet.machines.values() if m.allocations}
    assert used == {gang.allocations[0].machine}


def test_urgent_work_preempts_where_its_image_is_rather_than_fetch_elsewhere(cluster: Cluster):
    bring_up(cluster, "vm-1", "vm-2")
    low = cluster.submit(1, pieces=4, rank="low")
    cluster.scheduler.run_round()
    (warm,) = {a.machine for a in low.allocations.values()}
    m = cluster.fleet.machines[warm]
    m.cached_images[cluster.fleet.image_names.index_of("img-9")] = 10.0
    urgent = cluster.submit(2, shape="ensemble", cards=4.0, rank="urgent", bundle="img-9", sizeGb=10.0)
    cluster.scheduler.run_round()
    assert not urgent.allocations and m.reserved_for == urgent.job_id
    for a in list(low.allocations.values()):
        cluster.fleet.release_allocation(low, a, "halted")
    low.phase = "withdrawn"
    cluster.scheduler.run_round()
    assert urgent.allocations[0].machine == warm


def test_the_zone_reserved_for_a_gang_does_not_change(cluster: Cluster):
    for name, zone in (("e1", "east"), ("e2", "east"), ("w1", "west"), ("w2", "west")):
        cluster.beat(name, zone=zone)
    fillers = [cluster.submit(n, pieces=1, cards=c, yard=z) for n, c, z in ((1, 2.0, "east"), (2, 2.0, "west"))]
    fillers.append(cluster.submit(3, pieces=1, cards=1.0, yard="west"))
    cluster.scheduler.run_round()
    gang = cluster.submit(4, shape="ensemble", pieces=2, cards=4.0, samePlace=True)
    cluster.scheduler.run_round()
    cluster.clock.tick(2.0)
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


def test_a_machine_reserved_without_the_image_is_used_once_it_is_free(cluster: Cluster):
    """It was left empty for twelve seconds, as if the machine that had the image were on its way."""
    bring_up(cluster, "vm-1")
    low = cluster.submit(1, pieces=4, rank="low")
    cluster.scheduler.run_round()
    urgent = cluster.submit(2, shape="ensemble", cards=4.0, rank="urgent", bundle="img-9", sizeGb=10.0)
    cluster.scheduler.run_round()
    assert cluster.fleet.machines["vm-1"].reserved_for == urgent.job_id
    for a in list(low.allocations.values()):
        cluster.fleet.release_allocation(low, a, "halted")
    cluster.scheduler.run_round()
    assert urgent.allocations


def test_in_a_queue_a_machine_goes_to_the_job_whose_image_it_has(cluster: Cluster):
    bring_up(cluster, "vm-1")
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
    # But not for ever.
    cluster.fleet.release_allocation(second, second.allocations[0], "halted")
    cluster.clock.tick(8.0)
    bring_up(cluster, "vm-1")
    cluster.scheduler.run_round()
    assert first.allocations


def queue_of_pairs(cluster: Cluster):
    """Two machines with an image that the second of two waiting gangs of two needs, and the first does not."""
    bring_up(cluster, "vm-1", "vm-2")
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


def test_in_a_queue_gangs_of_several_yield_machines_to_the_gang_whose_image_they_have(cluster: Cluster):
    first, second = queue_of_pairs(cluster)
    cluster.scheduler.run_round()
    assert len(second.allocations) == 2 and not first.allocations
    # But not for ever: the fetch takes 20 s.
    for a in list(second.allocations.values()):
        cluster.fleet.release_allocation(second, a, "halted")
    cluster.clock.tick(25.0)
    bring_up(cluster, "vm-1", "vm-2")
    cluster.scheduler.run_round()
    assert len(first.allocations) == 2


def test_a_gang_that_would_miss_the_latest_start_of_its_class_yields_nothing(cluster: Cluster):
    cluster.scheduler.latest_start_s["k"] = 60.0
    first, second = queue_of_pairs(cluster)
    cluster.clock.tick(45.0)  # and it has waited for 43 s, under whatever leader
    bring_up(cluster, "vm-1", "vm-2")
    for queued in cluster.scheduler.waiting.values():
        queued.waiting_since = queued.last_served_at = cluster.clock()
    cluster.scheduler.run_round()
    assert len(first.allocations) == 2 and not second.allocations


def test_gangs_of_a_queue_reserve_each_machine_once(cluster: Cluster):
    # What is still unreserved is cached for a round, and must not name a machine twice.
    bring_up(cluster, "vm-1", "vm-2", "vm-3", "vm-4")
    cluster.submit(1, pieces=16)
    cluster.scheduler.run_round()
    gangs = [cluster.submit(n, shape="ensemble", pieces=2, cards=4.0) for n in (2, 3, 4)]
    cluster.scheduler.run_round()
    cluster.clock.tick(1.5)
    bring_up(cluster, "vm-1", "vm-2", "vm-3", "vm-4")
    state = cluster.scheduler.round_state(cluster.clock())
    for gang in gangs:
        cluster.scheduler.reservations.reserve_for_gang(
            gang, cluster.scheduler.resource_request(gang, 2), state, cluster.clock()
        )
    assert sorted(state.reserved_for.values()) == [gangs[0].job_id] * 2 + [gangs[1].job_id] * 2


def test_in_a_queue_arrays_yield_freed_gpus_to_those_whose_image_is_there(cluster: Cluster):
    bring_up(cluster, "vm-1")
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
    cluster.clock.tick(15.0)
    bring_up(cluster, "vm-1")
    cluster.fleet.release_allocation(full, full.allocations[1], "done")
    full.mark_task_done(1)
    cluster.scheduler.run_round()
    assert len(first.allocations) == 1, "but not for ever"


def test_free_machines_are_reserved_for_a_gang_that_preempts_for_the_rest(cluster: Cluster):
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
    assert not small.allocations, "it would use the machine that the gang has already"
    for a in list(low.allocations.values()):
        cluster.fleet.release_allocation(low, a, "halted")
    cluster.scheduler.run_round()
    assert {a.machine for a in gang.allocations.values()} == {"vm-1", "vm-2"}


def test_arrays_yield_the_emptiest_machines_to_a_gang_that_waits(cluster: Cluster):
    """Older arrays refilled each GPU that was freed, and gangs of whole machines waited for minutes."""
    bring_up(cluster, "vm-1", "vm-2")
    old = cluster.submit(1, pieces=20, loaners=True)
    cluster.scheduler.run_round()
    cluster.store()
    gang = cluster.submit(2, shape="ensemble", cards=4.0)
    cluster.scheduler.run_round()
    for a in [a for a in old.allocations.values() if a.machine == "vm-1"]:
        cluster.clock.tick(1.0)
        old.mark_task_done(a.task)
        cluster.fleet.release_allocation(old, a, "done")
        bring_up(cluster, "vm-1", "vm-2")
        cluster.scheduler.run_round()
    assert gang.allocations[0].machine == "vm-1"


def test_an_array_that_starves_gets_machines_set_aside_for_waiting_gangs(cluster: Cluster):
    bring_up(cluster, "vm-1")
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
        cluster.clock.tick(2.0)
        bring_up(cluster, "vm-1")
        cluster.scheduler.run_round()
    assert len(old.allocations) == 4, "the gang lacks a second machine, and the array starved"


def test_a_job_that_starves_gets_machines_set_aside_for_expected_gangs(cluster: Cluster):
    """Nobody has a guarantee here, so an array waited for as long as gangs might come, beside idle machines."""
    bring_up(cluster, "vm-1", "vm-2")
    gang = cluster.submit(1, shape="ensemble", cards=4.0)
    for _ in range(60):
        cluster.clock.tick(5.0)
        bring_up(cluster, "vm-1", "vm-2")
        cluster.scheduler.run_round()
    assert len(gang.allocations) == 1
    array = cluster.submit(2, pieces=4)
    cluster.scheduler.run_round()
    assert not array.allocations
    for _ in range(44):
        cluster.clock.tick(2.0)
        bring_up(cluster, "vm-1", "vm-2")
        cluster.scheduler.run_round()
    assert len(array.allocations) == 4


def test_what_is_reserved_in_vain_for_long_goes_to_a_job_that_starves(cluster: Cluster):
    """A gang waits for a second machine; the first stood idle for it, whoever else could have used it."""
    bring_up(cluster, "vm-1")
    gang = cluster.submit(1, shape="ensemble", pieces=2, cards=4.0, rank="urgent")
    cluster.scheduler.run_round()
    cluster.clock.tick(2.0)
    bring_up(cluster, "vm-1")
    cluster.scheduler.run_round()
    later = cluster.submit(2, rank="low")
    waited = 0.0
    while not later.allocations:
        cluster.scheduler.run_round()
        cluster.clock.tick(2.0)
        waited += 2.0
        bring_up(cluster, "vm-1")
        assert waited < 90.0
    assert waited > 50.0 and not gang.allocations


def test_a_gang_that_starves_yields_nothing_to_equals_whatever_the_fetch_takes(cluster: Cluster):
    first, second = queue_of_pairs(cluster)
    first.spec = msgspec.structs.replace(first.spec, image_gb=100.0)  # 200 s to fetch
    cluster.scheduler.waiting[first.job_id].last_served_at = cluster.clock() - 61.0
    cluster.scheduler.run_round()
    assert len(first.allocations) == 2 and not second.allocations


def test_a_machine_on_which_a_job_failed_twice_is_tried_again_later(cluster: Cluster):
    """It was the only one with room, and the job waited for as long as it was."""
    bring_up(cluster, "vm-1")
    job = cluster.submit(1)
    job.failures_by_machine, job.last_failure_at = {"vm-1": 2}, cluster.clock()
    cluster.scheduler.run_round()
    assert not job.allocations
    for _ in range(40):
        cluster.clock.tick(2.0)
        bring_up(cluster, "vm-1")
        cluster.scheduler.run_round()
    assert len(job.allocations) == 1


def test_tasks_on_machines_that_only_records_name_count_in_every_zone(cluster: Cluster):
    job = cluster.submit(1, pieces=4, spread=True)
    record = {**encode_plain(job.record()), "on": [["vm-7", 1, 1, "0-1"]], "next": 2}
    cluster.stamp += 1
    cluster.table.apply_record("hookwall/job/" + job.job_id, record, cluster.stamp)
    bring_up(cluster, "vm-1", zone="east")
    bring_up(cluster, "vm-2", zone="west")
    cluster.scheduler.run_round()
    assert len(job.allocations) == 2, "vm-7 may be in either zone, and each may have two tasks"
    cluster.beat("vm-7", [(f"{job.job_id}/{i}", 1, "running", None) for i in (0, 1)], zone="east")
    cluster.scheduler.run_round()
    assert {a.machine for a in job.allocations.values()} == {"vm-7", "vm-2"}


def test_a_large_record_may_name_more_starts_than_a_usual_one(cluster: Cluster):
    for n in range(1, 13):
        cluster.beat(f"vm-{n}")
    cluster.scheduler.start_record_budget = lambda: StartRecordBudget(
        0.0, 20 * (BYTES_PER_MACHINE + BYTES_PER_START) + 1.0
    )
    job = cluster.submit(1, pieces=40)
    cluster.scheduler.run_round()
    assert len(job.allocations) == 20
