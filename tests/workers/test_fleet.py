"""When a start is shown to be gone, and what workers are told. Each test guards a rule."""

import cbor2
import pytest
from conftest import Clock, Cluster

from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import Job, jobs_to_write
from hookwall.leadership.peer_transport import MAX_FRAME_BYTES, encode_frame
from hookwall.storage.job_records import encode_plain
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import MachinePhase


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


def test_nothing_is_launched_before_it_is_stored(cluster: Cluster):
    cluster.beat("vm-1")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    assert job.allocations and cluster.beat("vm-1") == []
    cluster.store()
    assert cluster.beat("vm-1") == [("launch", "run-000001/0", 1)]


def test_done_is_stored_before_it_is_forgotten(cluster: Cluster):
    job = started(cluster)
    report = running(job, "exited", "done")
    assert cluster.beat("vm-1", report) == []
    cluster.scheduler.run_round()
    assert job.phase == "done" and job.stored_phase == "open"
    cluster.store()
    assert cluster.beat("vm-1", report) == [("forget", "run-000001/0", 1)]
    assert job.is_final()


def test_each_start_has_a_new_attempt_number(cluster: Cluster):
    job = started(cluster)
    report = running(job, "exited", "halted")
    cluster.beat("vm-1", report)
    cluster.scheduler.run_round()
    assert job.allocations[0].attempt == 2
    # The old attempt is only forgotten once the record names the new one.
    assert cluster.beat("vm-1", report) == []
    cluster.store()
    assert cluster.beat("vm-1", report) == [("forget", "run-000001/0", 1), ("launch", "run-000001/0", 2)]


def test_a_silent_machine_keeps_its_tasks_until_its_lease_must_be_over(cluster: Cluster):
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


def test_absence_in_a_report_proves_nothing_unless_it_carries_our_token(cluster: Cluster):
    job = started(cluster)
    job.phase = "withdrawn"
    # An older leader's launch could still reach a worker that has not seen our token.
    cluster.beat("vm-1", token=4)
    assert job.allocations
    cluster.beat("vm-1", token=5)
    assert not job.allocations


def test_an_older_report_is_not_believed(cluster: Cluster):
    job = started(cluster)
    assert cluster.beat("vm-1", [], tick=1) is None
    assert job.allocations[0].reported_phase == "running"


def test_a_later_tenure_shows_that_the_tasks_are_gone(cluster: Cluster):
    job = started(cluster)
    cluster.beat("vm-1", tenure=2, tick=1)
    assert not job.allocations
    cluster.beat("vm-1", tenure=2, tick=2)
    cluster.scheduler.run_round()
    assert (job.allocations[0].epoch, job.allocations[0].attempt) == (2, 2)


def test_a_lost_launch_is_repeated_with_the_same_attempt(cluster: Cluster):
    cluster.beat("vm-1")
    cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    assert cluster.beat("vm-1") == cluster.beat("vm-1") == [("launch", "run-000001/0", 1)]


def test_a_confirmed_deletion_frees_the_tasks(cluster: Cluster):
    job = started(cluster)
    cluster.fleet.confirm_deletion(cluster.fleet.machines["vm-1"], "deleted")
    assert not job.allocations and "vm-1" not in cluster.fleet.machines


def test_a_task_that_no_record_names_is_stopped_and_blocks_its_machine(cluster: Cluster):
    assert cluster.beat("vm-1", [("run-000009/0", 3, "running", None)]) == [("stop", "run-000009/0", 3)]
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    assert not job.allocations
    cluster.beat("vm-1")
    cluster.scheduler.run_round()
    assert job.allocations


def test_cancelled_tasks_are_stopped_and_counted_until_gone(cluster: Cluster):
    job = started(cluster)
    record = encode_plain(job.record())
    cluster.stamp += 1
    cluster.table.apply_record("hookwall/job/" + job.job_id, {**record, "phase": "withdrawn"}, cluster.stamp)
    assert cluster.scheduler.round_state(cluster.clock()).usage[job.team_index].gpus == 1.0
    assert cluster.beat("vm-1", running(job)) == [("stop", "run-000001/0", 1)]
    cluster.beat("vm-1", running(job, "exited", "halted"))
    assert not job.allocations


def test_a_cancelled_launch_is_never_sent(cluster: Cluster):
    cluster.beat("vm-1")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    cluster.stamp += 1
    cluster.table.apply_record(
        "hookwall/job/" + job.job_id, {**encode_plain(job.record()), "phase": "withdrawn"}, cluster.stamp
    )
    assert cluster.beat("vm-1") == []
    assert not job.allocations


def test_one_done_task_completes_its_gang_but_the_others_still_count(cluster: Cluster):
    job = started(cluster, shape="ensemble", pieces=2, cards=2.0)
    first = running(job, "exited", "done")[:1]
    cluster.beat("vm-1", first + running(job)[1:])
    assert job.done_count == 2 and list(job.allocations) == [1]
    assert cluster.scheduler.round_state(cluster.clock()).usage[job.team_index].gpus == 2.0


def test_a_noticed_machine_saves_its_tasks_and_gets_no_more(cluster: Cluster):
    job = started(cluster, spot=False)
    cluster.beat("vm-1", running(job), notice=12.0)
    assert cluster.beat("vm-1", running(job)) == [("stop", "run-000001/0", 1)]
    other = cluster.submit(2)
    cluster.scheduler.run_round()
    assert not other.allocations


def test_a_machine_that_fails_tasks_of_two_jobs_gets_no_more(cluster: Cluster):
    for n in (1, 2):
        job = started(cluster, n)
        cluster.beat("vm-1", running(job, "exited", "error"))
        cluster.store()
        job.phase = "withdrawn"
    assert cluster.fleet.machines["vm-1"].phase is MachinePhase.QUARANTINED


def test_a_job_that_fails_everywhere_does_not_make_machines_sick(cluster: Cluster):
    job = cluster.submit(1)
    for i in range(6):
        name = f"vm-{i}"
        cluster.beat(name)
        cluster.clock.tick(70.0)
        cluster.beat(name)
        cluster.scheduler.run_round()
        cluster.store()
        if job.allocations:
            at = job.allocations[0].machine
            cluster.beat(at, running(job, "exited", "error"))
    assert sum(m.phase is MachinePhase.QUARANTINED for m in cluster.fleet.machines.values()) == 0


@pytest.mark.parametrize("bad", [[("nonsense", 1, "running", None)], [("run-1/x", 1, "exited", None)]])
def test_nonsense_in_a_report_is_survived(cluster: Cluster, bad):
    assert cluster.beat("vm-1", bad) == []


def placed(cluster: Cluster, n):
    """Whether a new job, or one that waits, finds a machine now."""
    cluster.submit(n)
    before = sum(len(j.allocations) for j in cluster.table.open_jobs.values())
    cluster.scheduler.run_round()
    return sum(len(j.allocations) for j in cluster.table.open_jobs.values()) > before


def test_a_machine_that_gets_no_answers_gets_no_work_until_it_does(cluster: Cluster):
    cluster.beat("vm-1")
    assert placed(cluster, 1)
    # It heard nothing for a lease, while its reports went on to arrive.
    for tenure in (2, 3, 4):
        cluster.clock.tick(15.0)
        cluster.fleet.expire_leases(cluster.clock())
        cluster.beat("vm-1", tenure=tenure)
        assert not placed(cluster, 10 + tenure)
    assert cluster.fleet.machines["vm-1"].unresponsive, "it looks alive, but is as good as silent, and so replaced"
    cluster.clock.tick(2.0)
    cluster.beat("vm-1", tenure=4)
    assert placed(cluster, 20)


def test_a_report_without_our_token_makes_no_machine_usable(cluster: Cluster):
    # A new leader has seen nothing newer: this may be a copy from long ago.
    cluster.beat("vm-1", token=3, tick=7)
    assert not placed(cluster, 1)
    cluster.clock.tick(0.5)
    cluster.beat("vm-1", token=5, tick=8)
    assert placed(cluster, 2)


def test_a_worker_that_has_just_begun_finds_its_first_task_in_the_second_answer(cluster: Cluster):
    job = cluster.submit(1)
    assert cluster.beat("vm-1", token=0, tick=1) == []
    cluster.scheduler.run_round()
    cluster.store()
    cluster.clock.tick(0.5)
    assert cluster.beat("vm-1", tick=2) == [("launch", f"{job.job_id}/0", 1)]
    # But one that shows then that it has not heard gets no more.
    cluster.submit(2, pieces=3)
    cluster.scheduler.run_round()
    cluster.beat("vm-2", token=0, tick=1)
    assert placed(cluster, 3)
    cluster.clock.tick(5.0)
    cluster.beat("vm-2", token=0, tick=2)
    assert not placed(cluster, 4)


def test_a_late_copy_of_an_earlier_tenure_frees_nothing(cluster: Cluster):
    job = started(cluster)
    cluster.beat("vm-1", tenure=2, tick=1)
    cluster.clock.tick(1.0)
    cluster.beat("vm-1", tenure=2, tick=2)
    cluster.scheduler.run_round()
    cluster.store()
    assert (job.allocations[0].epoch, job.allocations[0].attempt) == (2, 2)
    cluster.fleet.reset(token=9)
    assert cluster.beat("vm-1", tenure=1, tick=9) is None
    assert (job.allocations[0].epoch, job.allocations[0].attempt) == (2, 2)


def test_a_late_copy_undoes_no_exit(cluster: Cluster):
    job = started(cluster, pieces=2)
    both = running(job)
    cluster.beat("vm-1", [(both[0][0], 1, "exited", "done"), both[1]])
    assert job.done_count == 1
    assert cluster.beat("vm-1", both, tick=2) is None
    assert job.done_count == 1 and list(job.allocations) == [1]
    # A new leader sees the copy first: what the record calls done stays done, and nothing is started again.
    cluster.store()
    cluster.fleet.reset(token=9)
    assert [o for o in cluster.beat("vm-1", both, tick=2) if o[0] == "launch"] == []
    assert job.done_count == 1 and list(job.allocations) == [1]


def test_a_late_copy_does_not_bring_back_a_deleted_machine(cluster: Cluster):
    cluster.beat("vm-1")
    cluster.fleet.confirm_deletion(cluster.fleet.machines["vm-1"], "deleted")
    assert cluster.beat("vm-1", tick=50) is None
    assert "vm-1" not in cluster.fleet.machines


# -- tasks that a worker reports and that no start explains --------------------------------------------

THERE = [("run-000001/0", 9, "running", None)]


def ends_there(cluster: Cluster, how: str) -> None:
    """The task that vm-1 reports is not there any more."""
    if how == "not reported":
        cluster.beat("vm-1")
    elif how == "exited":
        cluster.beat("vm-1", [("run-000001/0", 9, "exited", "halted")])
    elif how == "a later session":
        cluster.beat("vm-1", tenure=2)
    elif how == "deleted":
        cluster.fleet.confirm_deletion(cluster.fleet.machines["vm-1"], "deleted")
    elif how == "the lease is over":
        for _ in range(7):
            cluster.clock.tick(2.0)
            cluster.beat("vm-2")
            cluster.fleet.expire_leases(cluster.clock())


@pytest.mark.parametrize("how", ["not reported", "exited", "a later session", "deleted", "the lease is over"])
def test_a_task_that_a_worker_reports_is_not_started_elsewhere(cluster: Cluster, how):
    """Only the machine was left alone; the task itself was placed on the next one while it ran."""
    cluster.beat("vm-1", THERE)
    cluster.beat("vm-2")
    job = cluster.submit(1)
    cluster.beat("vm-1", THERE)
    cluster.scheduler.run_round()
    assert not job.allocations and job.pending_count() == 0
    ends_there(cluster, how)
    cluster.scheduler.run_round()
    assert job.allocations and job.unrecorded_sightings == {}


def test_other_tasks_of_the_job_start(cluster: Cluster):
    cluster.beat("vm-1", THERE)
    cluster.beat("vm-2")
    job = cluster.submit(1, pieces=3)
    cluster.beat("vm-1", THERE)
    cluster.scheduler.run_round()
    assert sorted(job.allocations) == [1, 2]
    cluster.fleet.reset(6)
    assert job.unrecorded_sightings == {}, "a new leadership believes its own reports only"


def test_a_late_copy_that_shows_tasks_that_are_done_holds_up_no_other(cluster: Cluster):
    cluster.beat("vm-2")
    job = cluster.submit(1, pieces=3)
    job.mark_task_done(0)
    job.mark_task_done(1)
    cluster.beat("vm-1", [(f"run-000001/{task}", 1, "running", None) for task in (0, 1)])
    assert job.pending_count() == 1
    cluster.scheduler.run_round()
    assert sorted(job.allocations) == [2]


def test_a_start_is_not_launched_while_another_machine_reports_the_task(cluster: Cluster):
    cluster.beat("vm-2")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    cluster.beat("vm-1", THERE)
    assert cluster.beat("vm-2") == []
    cluster.beat("vm-1")
    assert cluster.beat("vm-2") == [("launch", "run-000001/0", 1)] and job.allocations


def test_a_new_leader_starts_a_gang_only_if_none_of_its_tasks_is_seen(cluster: Cluster):
    cluster.beat("vm-1", THERE)
    cluster.beat("vm-2")
    job = cluster.submit(1, shape="ensemble", pieces=2)
    cluster.beat("vm-1", THERE)
    cluster.scheduler.run_round()
    assert not job.allocations
    cluster.beat("vm-1")
    cluster.scheduler.run_round()
    assert len(job.allocations) == 2


def test_a_task_that_a_worker_reports_counts_for_its_team_s_limit_and_its_zone(cluster: Cluster):
    red = [("run-000001/0", 9, "running", None)]
    cluster.beat("vm-1", zone="west")
    job = cluster.submit(1, owner="red", pieces=5, cards=4.0, samePlace=True)
    cluster.beat("vm-1", red, zone="west")
    for name in ("vm-2", "vm-3", "vm-4", "vm-5", "vm-6"):
        cluster.beat(name, zone="west" if name in ("vm-5", "vm-6") else "east")
    cluster.scheduler.run_round()
    # Of 16 GPUs four are in use; its other tasks go to the zone of the first.
    assert sorted(a.machine for a in job.allocations.values()) == ["vm-5", "vm-6"]
    other = cluster.submit(2, owner="red", pieces=5, cards=4.0)
    cluster.scheduler.run_round()
    assert len(other.allocations) == 1


# -- records that can't be read -----------------------------------------------------------------------


@pytest.mark.parametrize(
    "value", [{"phase": "open", "n": 1, "on": 7}, {"phase": "open", "n": 1, "packed": {"fixed": ["x"], "state": "y"}}]
)
def test_nothing_is_started_of_a_job_whose_newest_record_can_t_be_read(cluster: Cluster, value):
    """What an older record says may be over: its start may have been moved."""
    cluster.beat("vm-1")
    cluster.beat("vm-2")
    job, other = cluster.submit(1), cluster.submit(2, pieces=2)
    cluster.scheduler.run_round()
    cluster.store()
    name = job.allocations[0].machine
    other.remove_allocation(0)
    other.has_unsaved_starts = True
    for each in (job, other):
        cluster.table.apply_record(f"hookwall/job/{each.job_id}", value, 90)
    assert not [o for n in ("vm-1", "vm-2") for o in cluster.beat(n)]
    cluster.scheduler.run_round()
    assert len(other.allocations) == 1 and jobs_to_write([job, other], 1e9, True) == []
    readable = encode_plain(job.record())
    cluster.table.apply_record(f"hookwall/job/{job.job_id}", readable, 91)
    assert cluster.beat(name) == [("launch", "run-000001/0", 1)]


# -- what is told to the next leader -------------------------------------------------------------------


def fleet_of(cluster: Cluster, count: int, images: int) -> Fleet:
    for n in range(count):
        machine = cluster.fleet.ensure_machine(f"vm-{n:06d}", "g4", "east", False)
        for image in range(images):
            machine.cached_images[cluster.fleet.image_names.index_of(f"image-{image}")] = 5.0
    return cluster.fleet


def test_a_hint_of_4000_machines_fits_messages_and_reaches_the_next_leader_whole(
    cluster: Cluster, params: PlatformParameters, clock: Clock
):
    """In one message it was larger than peers take, so each fifth ping ended their connection, and told nothing."""
    fleet = fleet_of(cluster, 4000, 10)
    peer = Fleet(params, cluster.table, clock)
    told = 0
    for _ in range(8):
        hint = fleet.successor_hints.next_message()
        message = encode_frame({"t": "ping", "hint": hint, "cancelled": []})
        assert len(message) < MAX_FRAME_BYTES
        told += len(hint["warm"])
        peer.successor_hints.apply_message(cbor2.loads(message[4:])["hint"])
    assert told == 4000
    assert all(
        peer.successor_hints.received_images.get(name) or peer.successor_hints.previous_images[name]
        for name in fleet.machines
    )
    # It goes on: machines that are gone are forgotten after two rounds.
    fleet.confirm_deletion(fleet.machines["vm-000000"], "deleted")
    for _ in range(16):
        peer.successor_hints.apply_message(fleet.successor_hints.next_message())
    assert (
        "vm-000000" not in peer.successor_hints.received_images
        and "vm-000000" not in peer.successor_hints.previous_images
    )


def test_a_hint_of_a_small_fleet_is_one_message(cluster: Cluster):
    fleet = fleet_of(cluster, 560, 9)
    assert len(fleet.successor_hints.next_message()["warm"]) == len(fleet.successor_hints.next_message()["warm"]) == 560


def test_a_stop_of_an_earlier_leadership_is_void_with_its_other_decisions(cluster: Cluster):
    """What workers said of a start is kept, as it stays true; that it was to stop was never stored."""
    job = started(cluster)
    cluster.fleet.request_stop(job, job.allocations[0], 5.0, "room for another")
    cluster.table.invalidate_decisions()
    cluster.table.apply_record(f"hookwall/job/{job.job_id}", encode_plain(job.record()), job.version)
    cluster.fleet.reset(6)
    assert job.allocations[0].stop_grace_s is None and job.allocations[0].reported_phase == "running"
    assert cluster.beat("vm-1", running(job), token=6) == []


def test_a_deleted_machine_is_not_remembered_for_its_lease(cluster: Cluster):
    """A key that names it afterwards says nothing about a decision: nothing runs there, whoever kept its lease."""
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
