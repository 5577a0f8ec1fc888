"""Readiness of jobs, cancellation with a dependency, and propagation of urgency from dependents."""

import math

import pytest

from hookwall.jobs.dependency_graph import DependencyGraph, Outcome


def graph_of(*edges: tuple[str, list[str]]) -> DependencyGraph:
    graph = DependencyGraph()
    for job_id, dependencies in edges:
        graph.add_job(job_id, dependencies)
    return graph


def test_a_job_is_ready_once_all_its_dependencies_are_done():
    graph = graph_of(("d", ["b", "c"]), ("b", ["a"]), ("c", ["a"]))
    assert graph.is_blocked("d") and graph.is_blocked("b") and not graph.is_blocked("a")
    graph.record_outcome("a", Outcome.DONE, 10.0)
    assert sorted(graph.drain_changes().ready) == ["b", "c"]
    graph.record_outcome("b", Outcome.DONE, 30.0)
    assert graph.is_blocked("d") and graph.drain_changes().ready == []
    graph.record_outcome("c", Outcome.DONE, 20.0)
    assert graph.drain_changes().ready == ["d"] and not graph.is_blocked("d") and graph.ready_at("d") == 30.0


def test_a_job_added_after_the_end_of_its_dependencies_is_not_blocked():
    graph = graph_of(("b", ["a"]))
    graph.record_outcome("a", Outcome.DONE)
    graph.add_job("c", ["a"])
    assert not graph.is_blocked("c")


def test_an_outcome_recorded_twice_counts_once():
    graph = graph_of(("c", ["a", "b", "a"]))
    for _ in range(3):
        graph.record_outcome("a", Outcome.DONE)
        graph.add_job("c", ["a", "b"])
    assert graph.is_blocked("c")


@pytest.mark.parametrize("added_after_cancellation", [False, True])
def test_all_dependents_of_a_cancelled_job_are_cancelled_in_any_order_of_records(added_after_cancellation):
    edges = [("b", ["a"]), ("c", ["b", "x"]), ("d", ["c"]), ("e", ["x"])]
    graph = DependencyGraph()
    if not added_after_cancellation:
        graph = graph_of(*edges)
    else:
        graph.add_job("b", ["a"])
    graph.record_outcome("a", Outcome.CANCELLED)
    if added_after_cancellation:
        for job_id, dependencies in edges:
            graph.add_job(job_id, dependencies)
    assert sorted(graph.drain_changes().cancelled) == ["b", "c", "d"]
    assert [graph.has_cancelled_dependency(job_id) for job_id in "abcde"] == [False, True, True, True, False]
    graph.record_outcome("x", Outcome.DONE)
    assert graph.drain_changes().ready == ["e"]


def test_a_cancellation_after_the_end_of_a_job_cancels_no_dependent():
    graph = graph_of(("b", ["a"]))
    graph.record_outcome("a", Outcome.DONE)
    graph.record_outcome("a", Outcome.CANCELLED)
    assert not graph.has_cancelled_dependency("b") and not graph.is_blocked("b")


def test_rank_and_latest_start_propagate_backwards_along_the_longest_path():
    graph = graph_of(("d", ["b", "c"]), ("b", ["a"]), ("c", ["a"]))
    graph.set_requirements("a", 3, 10.0, None)
    graph.set_requirements("b", 3, 20.0, None)
    graph.set_requirements("c", 2, 50.0, None)
    graph.set_requirements("d", 1, 8.0, 1000.0)
    assert [graph.effective_rank(job_id, 3) for job_id in "abcd"] == [1, 1, 1, 1]
    assert graph.latest_start("d") == 992.0
    assert graph.latest_start("c") == 942.0 and graph.latest_start("b") == 972.0
    assert graph.latest_start("a") == 932.0
    assert set(graph.drain_changes().urgency_changed) == set("abcd")
    # A job that has ended no longer adds urgency to its dependencies.
    graph.record_outcome("d", Outcome.CANCELLED)
    assert [graph.effective_rank(job_id, 3) for job_id in "abc"] == [2, 3, 2] and graph.latest_start("a") == math.inf


def test_the_cost_of_a_change_is_proportional_to_the_affected_edges():
    graph = graph_of(*((f"j{n}", [f"j{n - 1}"]) for n in range(1, 2000)))
    visited: list[str] = []

    class AccessRecordingList(list):
        def __getitem__(self, index):
            visited.append(index)
            return super().__getitem__(index)

    graph._nodes = AccessRecordingList(graph._nodes)
    graph.record_outcome("j0", Outcome.DONE)
    assert len(visited) < 20
    visited.clear()
    graph.record_outcome("j1000", Outcome.CANCELLED)
    assert len(visited) < 10 * 1000


def test_adding_a_dependent_does_not_visit_the_other_dependents():
    graph = graph_of(*((f"d{n}", ["a"]) for n in range(2000)))
    graph.set_requirements("a", 3, 10.0, None)
    before = graph._nodes
    visited: list[int] = []

    class AccessRecordingList(list):
        def __getitem__(self, index):
            visited.append(index)
            return super().__getitem__(index)

    graph._nodes = AccessRecordingList(before)
    graph.add_job("more", ["a"])
    graph.set_requirements("more", 1, 5.0, 100.0)
    assert len(visited) < 30 and graph.effective_rank("a", 3) == 1 and graph.latest_start("a") == 85.0


def test_a_job_added_after_the_end_of_its_dependency_is_ready_from_that_end():
    """A node that has just started reads records in key order: a dependency may come between two of its dependents."""
    graph = DependencyGraph()
    graph.add_job("run-2", ["run-1"])
    graph.record_outcome("run-1", Outcome.DONE, 50.0)
    graph.add_job("run-3", ["run-1"])
    assert (graph.ready_at("run-2"), graph.ready_at("run-3")) == (50.0, 50.0)
