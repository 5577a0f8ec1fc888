"""HAS: the first shape that free GPUs can serve, best fit, else greedy from the largest."""

import random

import pytest

from hookwall.scheduling.placement import (
    FreeCapacity,
    ResourceRequest,
    idle_capacity,
    place,
    placeable_task_count,
    tie_break_key,
)


def room(i, gpus, zone=0, spot=False, cpus=100.0, memory=1000.0, warm=(), type_=0, price=1.0) -> FreeCapacity:
    return FreeCapacity(i, type_, zone, spot, cpus, float(gpus), memory, price, 0.0, frozenset(warm))


def ask(count, gang=True, gpus=1.0, **more) -> ResourceRequest:
    return ResourceRequest(count, more.pop("total", count), gang, more.pop("cpus", 1.0), gpus, 1.0, **more)


def test_the_tightest_machine_that_holds_the_whole_job_takes_it():
    assert place(ask(4), [room(0, 8), room(1, 5), room(2, 4), room(3, 3)]) == [(2, 4)]


def test_a_gang_that_fits_no_machine_is_split_from_the_largest_and_ends_best_fit():
    # The paper's loop: the largest gives all, and what remains goes to the tightest that holds it.
    assert place(ask(10), [room(0, 8), room(1, 6), room(2, 2)]) == [(0, 8), (2, 2)]


def test_a_gang_is_placed_whole_or_not_at_all():
    assert place(ask(9), [room(0, 4), room(1, 4)]) == []


def test_an_array_takes_what_fits():
    assert sum(n for _, n in place(ask(9, gang=False), [room(0, 4), room(1, 4)])) == 8


def test_tasks_without_gpus_count_cpus():
    assert place(ask(2, gpus=0.0, cpus=2.0), [room(0, 8, cpus=8.0), room(1, 8, cpus=4.0)]) == [(1, 2)]


def test_cpus_and_memory_must_fit_too():
    assert place(ask(2, cpus=8.0), [room(0, 2, cpus=15.0), room(1, 4, cpus=16.0)]) == [(1, 2)]


def test_the_cached_image_is_the_first_shape_of_the_list():
    assert place(ask(2, image=7), [room(0, 2), room(1, 8, warm=[7])]) == [(1, 2)]
    assert place(ask(2, image=7), [room(0, 2), room(1, 1, warm=[7])]) == [(0, 2)]


def test_a_job_that_may_use_cheap_machines_leaves_the_others_to_those_that_may_not():
    assert place(ask(2, spot=True), [room(0, 4), room(1, 4, spot=True)]) == [(1, 2)]
    assert place(ask(2), [room(0, 4, spot=True)]) == []


def test_one_zone():
    rooms = [room(0, 3, zone=0), room(1, 3, zone=1), room(2, 2, zone=1)]
    assert {i for i, _ in place(ask(5, one_zone=True), rooms)} == {1, 2}
    assert place(ask(6, one_zone=True), rooms) == []
    # A task that may still be somewhere binds the others to its zone.
    assert place(ask(1, one_zone=True, gang=False, tasks_by_zone={0: 1}), rooms) == [(0, 1)]


def test_spread_counts_tasks_that_may_still_be_somewhere():
    rooms = [room(0, 9, zone=0), room(1, 9, zone=1)]
    got = dict(place(ask(9, spread=True), rooms))
    assert max(got.values()) == 5 and sum(got.values()) == 9
    got = dict(place(ask(4, gang=False, spread=True, total=9, tasks_by_zone={0: 5}), rooms))
    assert got == {1: 4}


def test_zone_and_type_conditions():
    rooms = [room(0, 4, zone=0, type_=1), room(1, 4, zone=1, type_=2)]
    assert place(ask(1, zone=1), rooms) == [(1, 1)]
    assert place(ask(1, types=frozenset({1})), rooms) == [(0, 1)]
    assert place(ask(1, types=frozenset({3})), rooms) == []


def test_service_replicas_go_singly_to_the_least_used_zone():
    rooms = [room(0, 4, zone=0), room(1, 2, zone=0), room(2, 4, zone=1)]
    assert dict(place(ask(3, gang=False, service=True), rooms)) == {1: 2, 2: 1}


def test_random_asks_never_overfill_a_machine_or_break_a_condition():
    rng = random.Random(4)
    for _ in range(400):
        rooms = [
            room(
                i,
                rng.randint(0, 8),
                rng.randint(0, 2),
                rng.random() < 0.4,
                rng.uniform(0, 40),
                warm=[rng.randint(0, 2)],
            )
            for i in range(rng.randint(1, 8))
        ]
        a = ask(
            rng.randint(1, 20), rng.random() < 0.5, float(rng.randint(0, 3)), cpus=rng.uniform(0.5, 9),
            image=rng.randint(0, 2), one_zone=rng.random() < 0.3, spread=rng.random() < 0.3, spot=rng.random() < 0.5,
        )  # fmt: skip
        got = place(a, rooms)
        assert len({i for i, _ in got}) == len(got)
        total = sum(n for _, n in got)
        assert total in (0, a.count) if a.gang else total <= a.count
        zones: dict[int, int] = {}
        for i, n in got:
            r = rooms[i]
            assert n > 0 and n * a.gpus <= r.gpus + 1e-6 and n * a.cpus <= r.cpus + 1e-6
            assert a.spot or not r.spot
            zones[r.zone] = zones.get(r.zone, 0) + n
        assert not a.one_zone or len(zones) <= 1
        assert not a.spread or all(n <= (a.total + 1) // 2 for n in zones.values())


def test_an_array_that_no_shape_serves_starts_where_its_image_is():
    # Filling the tightest machines first put most tasks of a wide array behind a fetch.
    rooms = [room(0, 2), room(1, 4, warm=[7]), room(2, 4, spot=True, warm=[7]), room(3, 8)]
    assert place(ask(10, gang=False, image=7, spot=True), rooms) == [(2, 4), (1, 4), (0, 2)]


def test_among_machines_with_the_image_the_one_that_others_need_least_is_taken():
    rooms = [room(0, 4, warm=[7, 8]), room(1, 4, warm=[7])]
    rooms[0].on_demand_image_gb, rooms[1].on_demand_image_gb = 30.0, 10.0
    assert place(ask(4, image=7), rooms) == [(1, 4)]


def by_the_book(ask, rooms):
    """HAS as the paper states it, one machine at a time."""
    result, left, rooms = [], ask.count, list(rooms)
    while left > 0:
        able = [(r, min(left, placeable_task_count(ask, r))) for r in rooms if placeable_task_count(ask, r) > 0]
        if not able:
            break
        holders = [r for r, n in able if n >= left]
        if holders:
            room, take = min(holders, key=lambda r: (idle_capacity(ask, r), *tie_break_key(ask, r))), left
        else:
            room, take = min(able, key=lambda p: (-p[1], -idle_capacity(ask, p[0]), *tie_break_key(ask, p[0])))
        rooms.remove(room)
        result.append((room.index, take))
        left -= take
    return [] if ask.gang and left > 0 else result


@pytest.mark.parametrize("seed", range(40))
def test_any_job_is_placed_as_the_paper_says(seed):
    rng = random.Random(seed)
    rooms = [
        FreeCapacity(
            i,
            0,
            i % 2,
            rng.random() < 0.4,
            rng.randint(0, 48),
            rng.randint(0, 8),
            rng.choice([16.0, 64.0, 192.0]),
            rng.choice([4.0, 10.0]),
            0.0,
            {1} if rng.random() < 0.3 else set(),
            rng.choice([0.0, 9.0]),
        )
        for i in range(60)
    ]
    for _ in range(20):
        ask = ResourceRequest(
            rng.choice([1, 2, 4, 30]), 30, rng.random() < 0.5, rng.choice([0.5, 5.0, 43.0]),
            rng.choice([0.0, 1.0, 8.0]), rng.choice([3.2, 18.0, 150.0]), image=2, spot=True,
        )  # fmt: skip
        # No machine has the image, so there is one shape: all machines.
        assert place(ask, rooms) == by_the_book(ask, rooms)
