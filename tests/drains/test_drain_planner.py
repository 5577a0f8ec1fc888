"""The planner of drains, a pure function of machines, budgets and free capacity."""

from hookwall.drains.drain_plan import Candidate, DrainPlan, DrainTerms, Occupant, TeamBudgets
from hookwall.drains.planner import plan_drain
from hookwall.drains.wait_reasons import WaitKind
from hookwall.scheduling.placement import FreeCapacity, Placement, ResourceRequest

BATCH_OF_ONE = DrainTerms(batch_size=1, finish_grace_s=0.0)


def request(tasks: int = 1, gpus: float = 4.0) -> ResourceRequest:
    return ResourceRequest(tasks, tasks, False, 1.0, gpus, 1.0)


def job(number: int, team: str = "red", lost_work_s: float = 1.0, **more) -> Occupant:
    return Occupant(f"run-{number:06d}", team, lost_work_s, more.pop("request", request()), **more)


def machine(number: int, *jobs: Occupant, cordoned: bool = True, **more) -> Candidate:
    return Candidate(f"vm-{number}", jobs, cordoned=cordoned, task_count=len(jobs), **more)


def budgets(**remaining: int) -> TeamBudgets:
    return TeamBudgets(dict(remaining), dict.fromkeys(remaining, 2))


def free_machines(count: int) -> list[FreeCapacity]:
    return [FreeCapacity(100 + number, 0, 0, False, 32.0, 4.0, 256.0) for number in range(count)]


def wait_kinds(plan: DrainPlan) -> set[WaitKind]:
    return {wait.kind for wait in plan.waits}


def evicted_jobs(plan: DrainPlan) -> dict[str, list[str]]:
    return {eviction.machine: [occupant.job_id for occupant in eviction.occupants] for eviction in plan.evictions}


def test_at_most_one_batch_is_cordoned_the_cheapest_machines_first():
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


def test_either_all_jobs_of_a_machine_are_evicted_or_none():
    """Guards against evicting one team's job from a machine that can't be emptied because of another team's budget."""
    both = machine(1, job(1, "red"), job(2, "blue"))
    plan = plan_drain(BATCH_OF_ONE, [both], budgets(red=2, blue=0), free_machines(2), 0.0)
    assert not plan.evictions and [wait.subject for wait in plan.waits] == ["blue"]
    remaining_budgets = budgets(red=2, blue=1)
    assert evicted_jobs(plan_drain(BATCH_OF_ONE, [both], remaining_budgets, free_machines(2), 0.0)) == {
        "vm-1": ["run-000001", "run-000002"]
    }
    assert remaining_budgets.remaining == {"red": 1, "blue": 0}


def test_a_machine_with_more_jobs_than_a_total_budget_is_emptied_job_by_job():
    many = machine(1, job(1, lost_work_s=5.0), job(2, lost_work_s=1.0), job(3, lost_work_s=3.0))
    plan = plan_drain(BATCH_OF_ONE, [many], budgets(red=2), free_machines(3), 0.0)
    assert evicted_jobs(plan) == {"vm-1": ["run-000002", "run-000003"]} and wait_kinds(plan) == {WaitKind.BUDGET}
    assert not plan_drain(BATCH_OF_ONE, [many], budgets(red=0), free_machines(3), 0.0).evictions


def test_budget_used_for_one_machine_is_not_available_to_the_next():
    two = [machine(1, job(1, lost_work_s=2.0)), machine(2, job(2, lost_work_s=1.0))]
    plan = plan_drain(BATCH_OF_ONE, two, budgets(red=1), free_machines(2), 0.0)
    assert evicted_jobs(plan) == {"vm-2": ["run-000002"]} and wait_kinds(plan) == {WaitKind.BUDGET}


def test_a_job_that_has_not_recovered_costs_no_budget():
    plan = plan_drain(BATCH_OF_ONE, [machine(1, job(1, already_disrupted=True))], budgets(red=0), free_machines(1), 0.0)
    assert evicted_jobs(plan) == {"vm-1": ["run-000001"]}


def test_a_team_without_a_budget_is_disrupted_only_with_allow_unbudgeted():
    grey = job(1, "grey")
    plan = plan_drain(BATCH_OF_ONE, [machine(1, grey)], budgets(red=2), free_machines(1), 0.0)
    assert not plan.evictions and wait_kinds(plan) == {WaitKind.NO_BUDGET}
    plan = plan_drain(BATCH_OF_ONE, [machine(1, grey, cordoned=False)], budgets(red=2), free_machines(1), 0.0)
    assert not plan.cordon and wait_kinds(plan) == {WaitKind.NO_BUDGET}, "it would stand idle for nothing"
    assert plan_drain(
        DrainTerms(1, 0.0, allow_unbudgeted=True), [machine(1, grey)], budgets(red=2), free_machines(1), 0.0
    ).evictions


def test_no_job_of_a_machine_is_evicted_before_there_is_capacity_for_all():
    two = machine(1, job(1), job(2))
    free = free_machines(1)
    plan = plan_drain(BATCH_OF_ONE, [two], budgets(red=2), free, 0.0)
    assert not plan.evictions and [occupant.job_id for occupant in plan.relocations] == ["run-000002"]
    assert free == free_machines(1), "capacity that was not used is still free"
    assert plan_drain(BATCH_OF_ONE, [two], budgets(red=2), free_machines(2), 0.0).evictions


def test_capacity_is_reserved_once():
    plan = plan_drain(BATCH_OF_ONE, [machine(1, job(1)), machine(2, job(2))], budgets(red=2), free_machines(1), 0.0)
    assert len(plan.evictions) == 1 and wait_kinds(plan) == {WaitKind.CAPACITY}


def test_a_gang_may_reuse_the_capacity_that_it_frees_on_other_machines():
    gang = ResourceRequest(2, 2, True, 1.0, 4.0, 1.0)
    occupant = job(1, request=gang, freed_tasks=(Placement(100, 1),))
    taken = FreeCapacity(100, 0, 0, False, 31.0, 0.0, 255.0)
    plan = plan_drain(BATCH_OF_ONE, [machine(1, occupant)], budgets(red=1), [taken, *free_machines(2)[1:]], 0.0)
    assert plan.evictions
    taken = FreeCapacity(100, 0, 0, False, 31.0, 0.0, 255.0)
    assert not plan_drain(
        BATCH_OF_ONE, [machine(1, job(1, request=gang))], budgets(red=1), [taken, *free_machines(2)[1:]], 0.0
    ).evictions


def test_tasks_get_their_finish_grace_but_not_past_a_deadline():
    candidate = machine(1, job(1), cordoned_at=100.0)
    terms = DrainTerms(1, finish_grace_s=30.0)
    assert wait_kinds(plan_drain(terms, [candidate], budgets(red=1), free_machines(1), 129.0)) == {
        WaitKind.FINISH_GRACE
    }
    assert plan_drain(terms, [candidate], budgets(red=1), free_machines(1), 130.0).evictions
    overdue_terms = DrainTerms(1, finish_grace_s=30.0, skip_waits=True)
    assert plan_drain(overdue_terms, [candidate], budgets(red=1), [], 101.0).evictions, (
        "it waits for neither time nor capacity"
    )
    assert not plan_drain(overdue_terms, [candidate], budgets(red=0), [], 101.0).evictions, "budgets hold all the same"


def test_a_plan_that_runs_out_of_time_leaves_the_rest_to_the_next_plan():
    time_left = iter([True, False])
    candidates = [machine(n, job(n)) for n in (1, 2, 3)]
    assert (
        len(
            plan_drain(
                BATCH_OF_ONE, candidates, budgets(red=2), free_machines(3), 0.0, lambda: next(time_left)
            ).evictions
        )
        == 1
    )


def test_a_large_batch_is_cordoned_in_several_rounds():
    """Choosing a batch of 400 out of 4,000 machines in a single round blocked the leader for 1.7 s."""
    time_left = iter([True, False])
    candidates = [machine(n, job(n), cordoned=False) for n in range(9)]
    terms = DrainTerms(batch_size=9, finish_grace_s=0.0)
    assert (
        len(plan_drain(terms, candidates, budgets(red=2), free_machines(3), 0.0, lambda: next(time_left)).cordon) == 2
    )
    assert len(plan_drain(terms, candidates, budgets(red=2), free_machines(3), 0.0, lambda: False).cordon) == 1
    assert len(plan_drain(terms, candidates, budgets(red=2), free_machines(3), 0.0).cordon) == 9
