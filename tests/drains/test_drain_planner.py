"""The planner of drains: a pure function of machines, budgets and free capacity."""

from hookwall.drains.drain_plan import Candidate, DrainPlan, DrainTerms, Occupant, TeamBudgets
from hookwall.drains.planner import plan_drain
from hookwall.drains.wait_reasons import WaitKind
from hookwall.scheduling.placement import FreeCapacity, Placement, ResourceRequest

ONE = DrainTerms(batch_size=1, finish_grace_s=0.0)


def request(tasks: int = 1, gpus: float = 4.0) -> ResourceRequest:
    return ResourceRequest(tasks, tasks, False, 1.0, gpus, 1.0)


def job(number: int, team: str = "red", lost_work_s: float = 1.0, **more) -> Occupant:
    return Occupant(f"run-{number:06d}", team, lost_work_s, more.pop("request", request()), **more)


def machine(number: int, *jobs: Occupant, cordoned: bool = True, **more) -> Candidate:
    return Candidate(f"vm-{number}", jobs, cordoned=cordoned, task_count=len(jobs), **more)


def budgets(**remaining: int) -> TeamBudgets:
    return TeamBudgets(dict(remaining), dict.fromkeys(remaining, 2))


def free_machines(count: int) -> list[FreeCapacity]:
    return [FreeCapacity(100 + i, 0, 0, False, 32.0, 4.0, 256.0) for i in range(count)]


def kinds(plan: DrainPlan) -> set[WaitKind]:
    return {wait.kind for wait in plan.waits}


def evicted(plan: DrainPlan) -> dict[str, list[str]]:
    return {eviction.machine: [occupant.job_id for occupant in eviction.occupants] for eviction in plan.evictions}


def test_no_more_than_a_batch_is_cordoned_and_the_cheapest_first():
    candidates = [
        machine(1, job(1, lost_work_s=9.0), cordoned=False),
        machine(2, cordoned=False),
        machine(3, job(3), cordoned=False),
    ]
    plan = plan_drain(DrainTerms(batch_size=2, finish_grace_s=0.0), candidates, budgets(red=2), free_machines(3), 0.0)
    assert plan.cordon == ["vm-2", "vm-3"] and not plan.evictions
    candidates[1] = machine(2)
    assert plan_drain(
        DrainTerms(batch_size=2, finish_grace_s=0.0), candidates, budgets(red=2), free_machines(3), 0.0
    ).cordon == ["vm-3"]


def test_a_machine_is_emptied_whole_or_not_at_all():
    """One team's job was stopped for a machine that another team's budget held back all the same."""
    both = machine(1, job(1, "red"), job(2, "blue"))
    plan = plan_drain(ONE, [both], budgets(red=2, blue=0), free_machines(2), 0.0)
    assert not plan.evictions and [wait.subject for wait in plan.waits] == ["blue"]
    left = budgets(red=2, blue=1)
    assert evicted(plan_drain(ONE, [both], left, free_machines(2), 0.0)) == {"vm-1": ["run-000001", "run-000002"]}
    assert left.remaining == {"red": 1, "blue": 0}


def test_a_machine_with_more_jobs_than_a_whole_budget_goes_job_by_job():
    many = machine(1, job(1, lost_work_s=5.0), job(2, lost_work_s=1.0), job(3, lost_work_s=3.0))
    plan = plan_drain(ONE, [many], budgets(red=2), free_machines(3), 0.0)
    assert evicted(plan) == {"vm-1": ["run-000002", "run-000003"]} and kinds(plan) == {WaitKind.BUDGET}
    assert not plan_drain(ONE, [many], budgets(red=0), free_machines(3), 0.0).evictions


def test_budget_used_for_one_machine_is_not_available_to_the_next():
    two = [machine(1, job(1, lost_work_s=2.0)), machine(2, job(2, lost_work_s=1.0))]
    plan = plan_drain(ONE, two, budgets(red=1), free_machines(2), 0.0)
    assert evicted(plan) == {"vm-2": ["run-000002"]} and kinds(plan) == {WaitKind.BUDGET}


def test_a_job_that_has_not_recovered_costs_no_budget():
    plan = plan_drain(ONE, [machine(1, job(1, already_disrupted=True))], budgets(red=0), free_machines(1), 0.0)
    assert evicted(plan) == {"vm-1": ["run-000001"]}


def test_a_team_without_a_budget_is_only_disrupted_with_allow_unbudgeted():
    grey = job(1, "grey")
    plan = plan_drain(ONE, [machine(1, grey)], budgets(red=2), free_machines(1), 0.0)
    assert not plan.evictions and kinds(plan) == {WaitKind.NO_BUDGET}
    plan = plan_drain(ONE, [machine(1, grey, cordoned=False)], budgets(red=2), free_machines(1), 0.0)
    assert not plan.cordon and kinds(plan) == {WaitKind.NO_BUDGET}, "it would stand idle for nothing"
    assert plan_drain(
        DrainTerms(1, 0.0, allow_unbudgeted=True), [machine(1, grey)], budgets(red=2), free_machines(1), 0.0
    ).evictions


def test_nothing_is_evicted_before_there_is_capacity_for_all_of_it():
    two = machine(1, job(1), job(2))
    free = free_machines(1)
    plan = plan_drain(ONE, [two], budgets(red=2), free, 0.0)
    assert not plan.evictions and [occupant.job_id for occupant in plan.relocations] == ["run-000002"]
    assert free == free_machines(1), "capacity that was not used is still free"
    assert plan_drain(ONE, [two], budgets(red=2), free_machines(2), 0.0).evictions


def test_capacity_is_reserved_once():
    plan = plan_drain(ONE, [machine(1, job(1)), machine(2, job(2))], budgets(red=2), free_machines(1), 0.0)
    assert len(plan.evictions) == 1 and kinds(plan) == {WaitKind.CAPACITY}


def test_a_gang_may_use_again_what_it_leaves_on_other_machines():
    gang = ResourceRequest(2, 2, True, 1.0, 4.0, 1.0)
    occupant = job(1, request=gang, freed_tasks=(Placement(100, 1),))
    taken = FreeCapacity(100, 0, 0, False, 31.0, 0.0, 255.0)
    plan = plan_drain(ONE, [machine(1, occupant)], budgets(red=1), [taken, *free_machines(2)[1:]], 0.0)
    assert plan.evictions
    taken = FreeCapacity(100, 0, 0, False, 31.0, 0.0, 255.0)
    assert not plan_drain(
        ONE, [machine(1, job(1, request=gang))], budgets(red=1), [taken, *free_machines(2)[1:]], 0.0
    ).evictions


def test_tasks_get_their_finish_grace_but_not_past_a_deadline():
    candidate = machine(1, job(1), cordoned_at=100.0)
    terms = DrainTerms(1, finish_grace_s=30.0)
    assert kinds(plan_drain(terms, [candidate], budgets(red=1), free_machines(1), 129.0)) == {WaitKind.FINISH_GRACE}
    assert plan_drain(terms, [candidate], budgets(red=1), free_machines(1), 130.0).evictions
    hurry = DrainTerms(1, finish_grace_s=30.0, skip_waits=True)
    assert plan_drain(hurry, [candidate], budgets(red=1), [], 101.0).evictions, "it waits for neither time nor capacity"
    assert not plan_drain(hurry, [candidate], budgets(red=0), [], 101.0).evictions, "budgets hold all the same"


def test_a_plan_out_of_time_leaves_the_rest_for_the_next():
    time_left = iter([True, False])
    candidates = [machine(n, job(n)) for n in (1, 2, 3)]
    assert (
        len(plan_drain(ONE, candidates, budgets(red=2), free_machines(3), 0.0, lambda: next(time_left)).evictions) == 1
    )


def test_a_large_batch_is_cordoned_in_several_rounds():
    """With a batch of 400 of 4,000 machines the choice of all at once held the leader up for 1.7 s."""
    time_left = iter([True, False])
    candidates = [machine(n, job(n), cordoned=False) for n in range(9)]
    terms = DrainTerms(batch_size=9, finish_grace_s=0.0)
    assert (
        len(plan_drain(terms, candidates, budgets(red=2), free_machines(3), 0.0, lambda: next(time_left)).cordon) == 2
    )
    assert len(plan_drain(terms, candidates, budgets(red=2), free_machines(3), 0.0, lambda: False).cordon) == 1
    assert len(plan_drain(terms, candidates, budgets(red=2), free_machines(3), 0.0).cordon) == 9
