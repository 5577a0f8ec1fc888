"""Which job is ready, which is cancelled with another, and how urgent a job is for those that need it."""

import math

import pytest

from hookwall.jobs.dependency_graph import DependencyGraph, Outcome


def chain(*edges: tuple[str, list[str]]) -> DependencyGraph:
    graph = DependencyGraph()
    for ref, needs in edges:
        graph.add(ref, needs)
    return graph


def test_a_job_is_ready_once_all_that_it_needs_are_done():
    graph = chain(("d", ["b", "c"]), ("b", ["a"]), ("c", ["a"]))
    assert graph.blocked("d") and graph.blocked("b") and not graph.blocked("a")
    graph.settle("a", Outcome.DONE, 10.0)
    assert sorted(graph.take_changes().ready) == ["b", "c"]
    graph.settle("b", Outcome.DONE, 30.0)
    assert graph.blocked("d") and graph.take_changes().ready == []
    graph.settle("c", Outcome.DONE, 20.0)
    assert graph.take_changes().ready == ["d"] and not graph.blocked("d") and graph.ready_at("d") == 30.0


def test_a_job_that_is_added_after_the_end_of_those_it_needs_is_not_blocked():
    graph = chain(("b", ["a"]))
    graph.settle("a", Outcome.DONE)
    graph.add("c", ["a"])
    assert not graph.blocked("c")


def test_an_end_that_is_told_twice_counts_once():
    graph = chain(("c", ["a", "b", "a"]))
    for _ in range(3):
        graph.settle("a", Outcome.DONE)
        graph.add("c", ["a", "b"])
    assert graph.blocked("c")


@pytest.mark.parametrize("late", [False, True])
def test_all_that_need_a_cancelled_job_are_cancelled_whenever_they_come(late):
    edges = [("b", ["a"]), ("c", ["b", "x"]), ("d", ["c"]), ("e", ["x"])]
    graph = DependencyGraph()
    if not late:
        graph = chain(*edges)
    else:
        graph.add("b", ["a"])
    graph.settle("a", Outcome.CANCELLED)
    if late:
        for ref, needs in edges:
            graph.add(ref, needs)
    assert sorted(graph.take_changes().cancelled) == ["b", "c", "d"]
    assert [graph.has_cancelled_dependency(ref) for ref in "abcde"] == [False, True, True, True, False]
    graph.settle("x", Outcome.DONE)
    assert graph.take_changes().ready == ["e"]


def test_nothing_is_cancelled_with_a_job_that_is_done():
    graph = chain(("b", ["a"]))
    graph.settle("a", Outcome.DONE)
    graph.settle("a", Outcome.CANCELLED)
    assert not graph.has_cancelled_dependency("b") and not graph.blocked("b")


def test_rank_and_latest_start_go_backwards_along_the_longest_path():
    graph = chain(("d", ["b", "c"]), ("b", ["a"]), ("c", ["a"]))
    graph.describe("a", 3, 10.0, None)
    graph.describe("b", 3, 20.0, None)
    graph.describe("c", 2, 50.0, None)
    graph.describe("d", 1, 8.0, 1000.0)
    assert [graph.rank(ref, 3) for ref in "abcd"] == [1, 1, 1, 1]
    assert graph.latest_start("d") == 992.0
    assert graph.latest_start("c") == 942.0 and graph.latest_start("b") == 972.0
    assert graph.latest_start("a") == 932.0
    assert set(graph.take_changes().more_urgent) == set("abcd")
    # A job that is over is not urgent for anybody any more.
    graph.settle("d", Outcome.CANCELLED)
    assert [graph.rank(ref, 3) for ref in "abc"] == [2, 3, 2] and graph.latest_start("a") == math.inf


def test_a_change_costs_the_edges_that_it_touches():
    graph = chain(*((f"j{n}", [f"j{n - 1}"]) for n in range(1, 2000)))
    looked: list[str] = []

    class Counted(list):
        def __getitem__(self, at):
            looked.append(at)
            return super().__getitem__(at)

    graph._entries = Counted(graph._entries)
    graph.settle("j0", Outcome.DONE)
    assert len(looked) < 20
    looked.clear()
    graph.settle("j1000", Outcome.CANCELLED)
    assert len(looked) < 10 * 1000


def test_one_more_job_that_needs_a_popular_one_costs_no_look_at_the_others():
    graph = chain(*((f"d{n}", ["a"]) for n in range(2000)))
    graph.describe("a", 3, 10.0, None)
    before = graph._entries
    looked: list[int] = []

    class Counted(list):
        def __getitem__(self, at):
            looked.append(at)
            return super().__getitem__(at)

    graph._entries = Counted(before)
    graph.add("more", ["a"])
    graph.describe("more", 1, 5.0, 100.0)
    assert len(looked) < 30 and graph.rank("a", 3) == 1 and graph.latest_start("a") == 85.0


def test_a_job_that_is_added_after_the_end_of_what_it_needs_is_ready_from_that_end():
    """A node that has just started reads the records in the order of their keys: others may have been added before."""
    graph = DependencyGraph()
    graph.add("run-2", ["run-1"])
    graph.settle("run-1", Outcome.DONE, 50.0)
    graph.add("run-3", ["run-1"])
    assert (graph.ready_at("run-2"), graph.ready_at("run-3")) == (50.0, 50.0)
