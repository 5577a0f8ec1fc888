"""The planner of drains: a pure function of machines, budgets and room."""

from hookwall.drains.drain_plan import Candidate, DrainTerms, Occupant, TeamBudgets
from hookwall.drains.planner import plan_drain
from hookwall.drains.wait_reasons import WaitKind
from hookwall.scheduling.placement import FreeCapacity, Placement, ResourceRequest

ONE = DrainTerms(batch_size=1, finish_grace_s=0.0)


def request(tasks: int = 1, gpus: float = 4.0) -> ResourceRequest:
    return ResourceRequest(tasks, tasks, False, 1.0, gpus, 1.0)


def job(n: int, team: str = "red", lost_work_s: float = 1.0, **more) -> Occupant:
    return Occupant(f"run-{n:06d}", team, lost_work_s, more.pop("request", request()), **more)


def machine(n: int, *jobs: Occupant, cordoned: bool = True, **more) -> Candidate:
    return Candidate(f"vm-{n}", jobs, cordoned=cordoned, task_count=len(jobs), **more)


def budgets(**left: int) -> TeamBudgets:
    return TeamBudgets(dict(left), dict.fromkeys(left, 2))


def rooms(count: int) -> list[FreeCapacity]:
    return [FreeCapacity(100 + i, 0, 0, False, 32.0, 4.0, 256.0) for i in range(count)]


def kinds(decided) -> set[WaitKind]:
    return {wait.kind for wait in decided.waits}


def stopped(decided) -> dict[str, list[str]]:
    return {stop.machine: [occupant.job_id for occupant in stop.occupants] for stop in decided.evictions}


def test_no_more_than_a_batch_is_cordoned_and_the_cheapest_first():
    candidates = [
        machine(1, job(1, lost_work_s=9.0), cordoned=False),
        machine(2, cordoned=False),
        machine(3, job(3), cordoned=False),
    ]
    decided = plan_drain(DrainTerms(batch_size=2, finish_grace_s=0.0), candidates, budgets(red=2), rooms(3), 0.0)
    assert decided.cordon == ["vm-2", "vm-3"] and not decided.evictions
    candidates[1] = machine(2)
    assert plan_drain(
        DrainTerms(batch_size=2, finish_grace_s=0.0), candidates, budgets(red=2), rooms(3), 0.0
    ).cordon == ["vm-3"]


def test_a_machine_is_emptied_whole_or_not_at_all():
    """One team's job was stopped for a machine that another team's budget held back all the same."""
    both = machine(1, job(1, "red"), job(2, "blue"))
    decided = plan_drain(ONE, [both], budgets(red=2, blue=0), rooms(2), 0.0)
    assert not decided.evictions and [w.subject for w in decided.waits] == ["blue"]
    left = budgets(red=2, blue=1)
    assert stopped(plan_drain(ONE, [both], left, rooms(2), 0.0)) == {"vm-1": ["run-000001", "run-000002"]}
    assert left.remaining == {"red": 1, "blue": 0}


def test_a_machine_with_more_jobs_than_a_whole_budget_goes_job_by_job():
    many = machine(1, job(1, lost_work_s=5.0), job(2, lost_work_s=1.0), job(3, lost_work_s=3.0))
    decided = plan_drain(ONE, [many], budgets(red=2), rooms(3), 0.0)
    assert stopped(decided) == {"vm-1": ["run-000002", "run-000003"]} and kinds(decided) == {WaitKind.BUDGET}
    assert not plan_drain(ONE, [many], budgets(red=0), rooms(3), 0.0).evictions


def test_what_one_machine_spends_the_next_does_not_have():
    two = [machine(1, job(1, lost_work_s=2.0)), machine(2, job(2, lost_work_s=1.0))]
    decided = plan_drain(ONE, two, budgets(red=1), rooms(2), 0.0)
    assert stopped(decided) == {"vm-2": ["run-000002"]} and kinds(decided) == {WaitKind.BUDGET}


def test_a_job_that_has_not_recovered_costs_no_budget():
    decided = plan_drain(ONE, [machine(1, job(1, already_disrupted=True))], budgets(red=0), rooms(1), 0.0)
    assert stopped(decided) == {"vm-1": ["run-000001"]}


def test_a_team_without_a_budget_is_only_stopped_where_that_was_said():
    grey = job(1, "grey")
    decided = plan_drain(ONE, [machine(1, grey)], budgets(red=2), rooms(1), 0.0)
    assert not decided.evictions and kinds(decided) == {WaitKind.NO_BUDGET}
    decided = plan_drain(ONE, [machine(1, grey, cordoned=False)], budgets(red=2), rooms(1), 0.0)
    assert not decided.cordon and kinds(decided) == {WaitKind.NO_BUDGET}, "it would stand idle for nothing"
    assert plan_drain(
        DrainTerms(1, 0.0, allow_unbudgeted=True), [machine(1, grey)], budgets(red=2), rooms(1), 0.0
    ).evictions


def test_nothing_is_stopped_before_there_is_room_for_all_of_it():
    two = machine(1, job(1), job(2))
    free = rooms(1)
    decided = plan_drain(ONE, [two], budgets(red=2), free, 0.0)
    assert not decided.evictions and [o.job_id for o in decided.relocations] == ["run-000002"]
    assert free == rooms(1), "room that was not used is still there"
    assert plan_drain(ONE, [two], budgets(red=2), rooms(2), 0.0).evictions


def test_room_is_given_once():
    decided = plan_drain(ONE, [machine(1, job(1)), machine(2, job(2))], budgets(red=2), rooms(1), 0.0)
    assert len(decided.evictions) == 1 and kinds(decided) == {WaitKind.CAPACITY}


def test_a_gang_may_use_again_what_it_leaves_on_other_machines():
    gang = ResourceRequest(2, 2, True, 1.0, 4.0, 1.0)
    occupant = job(1, request=gang, freed_tasks=(Placement(100, 1),))
    taken = FreeCapacity(100, 0, 0, False, 31.0, 0.0, 255.0)
    decided = plan_drain(ONE, [machine(1, occupant)], budgets(red=1), [taken, *rooms(2)[1:]], 0.0)
    assert decided.evictions
    taken = FreeCapacity(100, 0, 0, False, 31.0, 0.0, 255.0)
    assert not plan_drain(
        ONE, [machine(1, job(1, request=gang))], budgets(red=1), [taken, *rooms(2)[1:]], 0.0
    ).evictions


def test_tasks_get_their_time_to_end_but_not_past_a_deadline():
    candidate = machine(1, job(1), cordoned_at=100.0)
    terms = DrainTerms(1, finish_grace_s=30.0)
    assert kinds(plan_drain(terms, [candidate], budgets(red=1), rooms(1), 129.0)) == {WaitKind.FINISH_GRACE}
    assert plan_drain(terms, [candidate], budgets(red=1), rooms(1), 130.0).evictions
    hurry = DrainTerms(1, finish_grace_s=30.0, skip_waits=True)
    assert plan_drain(hurry, [candidate], budgets(red=1), [], 101.0).evictions, "it waits for neither time nor room"
    assert not plan_drain(hurry, [candidate], budgets(red=0), [], 101.0).evictions, "budgets hold all the same"


def test_a_round_out_of_time_leaves_the_rest_for_the_next():
    looks = iter([True, False])
    candidates = [machine(n, job(n)) for n in (1, 2, 3)]
    assert len(plan_drain(ONE, candidates, budgets(red=2), rooms(3), 0.0, lambda: next(looks)).evictions) == 1


def test_a_large_batch_is_cordoned_in_several_rounds():
    """With a batch of 400 of 4,000 machines the choice of all at once held the leader up for 1.7 s."""
    looks = iter([True, False])
    candidates = [machine(n, job(n), cordoned=False) for n in range(9)]
    terms = DrainTerms(batch_size=9, finish_grace_s=0.0)
    assert len(plan_drain(terms, candidates, budgets(red=2), rooms(3), 0.0, lambda: next(looks)).cordon) == 2
    assert len(plan_drain(terms, candidates, budgets(red=2), rooms(3), 0.0, lambda: False).cordon) == 1
    assert len(plan_drain(terms, candidates, budgets(red=2), rooms(3), 0.0).cordon) == 9
