"""HAS placement: the first shape that free GPUs can serve, by best fit or else by a greedy split from the largest."""

import random

import pytest

from hookwall.scheduling.placement import idle_capacity, place, tie_break_key
from hookwall.workers.resources import FreeCapacity, ResourceRequest, placeable_task_count


def machine(index, gpus, zone=0, spot=False, cpus=100.0, memory=1000.0, cached=(), type_=0, price=1.0) -> FreeCapacity:
    return FreeCapacity(index, type_, zone, spot, cpus, float(gpus), memory, price, 0.0, frozenset(cached))


def tasks(count, gang=True, gpus=1.0, **more) -> ResourceRequest:
    return ResourceRequest(count, more.pop("total", count), gang, more.pop("cpus", 1.0), gpus, 1.0, **more)


def test_the_tightest_machine_that_holds_the_whole_job_is_chosen():
    assert place(tasks(4), [machine(0, 8), machine(1, 5), machine(2, 4), machine(3, 3)]) == [(2, 4)]


def test_a_gang_that_fits_no_machine_is_split_from_the_largest_and_the_rest_is_placed_best_fit():
    # The loop of the paper: the largest machine is filled, and the rest goes to the tightest machine that can hold it.
    assert place(tasks(10), [machine(0, 8), machine(1, 6), machine(2, 2)]) == [(0, 8), (2, 2)]


def test_a_gang_is_placed_as_a_whole_or_not_at_all():
    assert place(tasks(9), [machine(0, 4), machine(1, 4)]) == []


def test_an_array_gets_as_many_tasks_placed_as_fit():
    assert sum(n for _, n in place(tasks(9, gang=False), [machine(0, 4), machine(1, 4)])) == 8


def test_tasks_without_gpus_are_placed_by_idle_cpus():
    assert place(tasks(2, gpus=0.0, cpus=2.0), [machine(0, 8, cpus=8.0), machine(1, 8, cpus=4.0)]) == [(1, 2)]


def test_cpus_and_memory_must_fit_too():
    assert place(tasks(2, cpus=8.0), [machine(0, 2, cpus=15.0), machine(1, 4, cpus=16.0)]) == [(1, 2)]


def test_machines_with_the_cached_image_are_the_first_shape():
    assert place(tasks(2, image=7), [machine(0, 2), machine(1, 8, cached=[7])]) == [(1, 2)]
    assert place(tasks(2, image=7), [machine(0, 2), machine(1, 1, cached=[7])]) == [(0, 2)]


def test_a_job_that_may_use_spot_instances_prefers_them_and_other_jobs_never_get_them():
    assert place(tasks(2, spot=True), [machine(0, 4), machine(1, 4, spot=True)]) == [(1, 2)]
    assert place(tasks(2), [machine(0, 4, spot=True)]) == []


def test_all_tasks_go_to_one_zone_if_the_job_must_stay_in_one():
    machines = [machine(0, 3, zone=0), machine(1, 3, zone=1), machine(2, 2, zone=1)]
    assert {i for i, _ in place(tasks(5, one_zone=True), machines)} == {1, 2}
    assert place(tasks(6, one_zone=True), machines) == []
    # A task that may still run on a machine binds the other tasks to its zone.
    assert place(tasks(1, one_zone=True, gang=False, tasks_by_zone={0: 1}), machines) == [(0, 1)]


def test_spread_counts_tasks_that_may_still_run():
    machines = [machine(0, 9, zone=0), machine(1, 9, zone=1)]
    counts = dict(place(tasks(9, spread=True), machines))
    assert max(counts.values()) == 5 and sum(counts.values()) == 9
    counts = dict(place(tasks(4, gang=False, spread=True, total=9, tasks_by_zone={0: 5}), machines))
    assert counts == {1: 4}


def test_constraints_on_zone_and_type_exclude_other_machines():
    machines = [machine(0, 4, zone=0, type_=1), machine(1, 4, zone=1, type_=2)]
    assert place(tasks(1, zone=1), machines) == [(1, 1)]
    assert place(tasks(1, types=frozenset({1})), machines) == [(0, 1)]
    assert place(tasks(1, types=frozenset({3})), machines) == []


def test_service_replicas_are_placed_one_by_one_in_the_least_used_zone():
    machines = [machine(0, 4, zone=0), machine(1, 2, zone=0), machine(2, 4, zone=1)]
    assert dict(place(tasks(3, gang=False, service=True), machines)) == {1: 2, 2: 1}


def test_random_requests_never_overfill_a_machine_or_violate_a_constraint():
    rng = random.Random(4)
    for _ in range(400):
        machines = [
            machine(
                i,
                rng.randint(0, 8),
                rng.randint(0, 2),
                rng.random() < 0.4,
                rng.uniform(0, 40),
                cached=[rng.randint(0, 2)],
            )
            for i in range(rng.randint(1, 8))
        ]
        request = tasks(
            rng.randint(1, 20), rng.random() < 0.5, float(rng.randint(0, 3)), cpus=rng.uniform(0.5, 9),
            image=rng.randint(0, 2), one_zone=rng.random() < 0.3, spread=rng.random() < 0.3, spot=rng.random() < 0.5,
        )  # fmt: skip
        placements = place(request, machines)
        assert len({index for index, _ in placements}) == len(placements)
        total = sum(count for _, count in placements)
        assert total in (0, request.count) if request.gang else total <= request.count
        zones: dict[int, int] = {}
        for index, count in placements:
            chosen = machines[index]
            assert count > 0
            assert count * request.gpus <= chosen.gpus + 1e-6 and count * request.cpus <= chosen.cpus + 1e-6
            assert request.spot or not chosen.spot
            zones[chosen.zone] = zones.get(chosen.zone, 0) + count
        assert not request.one_zone or len(zones) <= 1
        assert not request.spread or all(n <= (request.total + 1) // 2 for n in zones.values())


def test_an_array_that_no_shape_serves_in_full_uses_machines_with_its_image_first():
    # When the tightest machines were filled first, most tasks of a wide array waited for an image fetch.
    machines = [machine(0, 2), machine(1, 4, cached=[7]), machine(2, 4, spot=True, cached=[7]), machine(3, 8)]
    assert place(tasks(10, gang=False, image=7, spot=True), machines) == [(2, 4), (1, 4), (0, 2)]


def test_among_machines_with_the_image_the_one_with_the_fewest_gb_of_on_demand_images_is_chosen():
    machines = [machine(0, 4, cached=[7, 8]), machine(1, 4, cached=[7])]
    machines[0].on_demand_image_gb, machines[1].on_demand_image_gb = 30.0, 10.0
    assert place(tasks(4, image=7), machines) == [(1, 4)]


def reference_placement(request, machines):
    """Reference implementation of HAS as the paper describes it, one machine at a time."""
    result, remaining, machines = [], request.count, list(machines)
    while remaining > 0:
        eligible = [(m, min(remaining, count)) for m in machines if (count := placeable_task_count(request, m)) > 0]
        if not eligible:
            break
        fitting_machines = [m for m, count in eligible if count >= remaining]
        if fitting_machines:
            chosen = min(fitting_machines, key=lambda m: (idle_capacity(request, m), *tie_break_key(request, m)))
            placed = remaining
        else:
            chosen, placed = min(
                eligible, key=lambda c: (-c[1], -idle_capacity(request, c[0]), *tie_break_key(request, c[0]))
            )
        machines.remove(chosen)
        result.append((chosen.index, placed))
        remaining -= placed
    return [] if request.gang and remaining > 0 else result


@pytest.mark.parametrize("seed", range(40))
def test_placement_equals_the_algorithm_of_the_paper(seed):
    rng = random.Random(seed)
    machines = [
        FreeCapacity(
            i, 0, i % 2, rng.random() < 0.4, rng.randint(0, 48), rng.randint(0, 8), rng.choice([16.0, 64.0, 192.0]),
            rng.choice([4.0, 10.0]), 0.0, {1} if rng.random() < 0.3 else set(), rng.choice([0.0, 9.0]),
        )
        for i in range(60)
    ]  # fmt: skip
    for _ in range(20):
        request = ResourceRequest(
            rng.choice([1, 2, 4, 30]), 30, rng.random() < 0.5, rng.choice([0.5, 5.0, 43.0]),
            rng.choice([0.0, 1.0, 8.0]), rng.choice([3.2, 18.0, 150.0]), image=2, spot=True,
        )  # fmt: skip
        # No machine has the image, so there is one shape: all machines.
        assert place(request, machines) == reference_placement(request, machines)
