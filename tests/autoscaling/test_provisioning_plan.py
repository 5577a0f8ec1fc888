"""What is provisioned for waiting jobs and ahead of need."""

import pytest
from conftest import Cluster, FakeClock
from scripted_cloud import new_scale_out

from hookwall.autoscaling.scale_out import ScaleOut
from hookwall.config.platform import PlatformParameters
from hookwall.protocol import cloud_messages, json_messages


@pytest.fixture
def scale_out(cluster: Cluster, params: PlatformParameters, clock: FakeClock) -> ScaleOut:
    return new_scale_out(cluster, params, clock)


def test_waiting_jobs_are_packed_onto_the_provisioned_machines(cluster: Cluster, scale_out: ScaleOut):
    cluster.submit(1, pieces=7)
    cluster.submit(2, shape="ensemble", cards=4.0)
    cluster.scheduler.run_round()
    plan = scale_out.planner.plan_for_waiting_jobs(cluster.clock())
    assert sum(plan.values()) == 3 and not any(spot for _, _, spot in plan)


def test_spot_instances_are_provisioned_for_jobs_that_may_use_them(cluster: Cluster, scale_out: ScaleOut):
    cluster.submit(1, pieces=4, loaners=True)
    cluster.scheduler.run_round()
    assert [spot for _, _, spot in scale_out.planner.plan_for_waiting_jobs(cluster.clock())] == [True]


def test_incoming_machines_are_counted_until_they_are_overdue(cluster: Cluster, scale_out: ScaleOut):
    cluster.submit(1, pieces=4)
    cluster.scheduler.run_round()
    cluster.fleet.ensure_machine("vm-5", "g4", "east", False)
    assert scale_out.planner.plan_for_waiting_jobs(cluster.clock()) == {}
    cluster.clock.advance(25.0 * 2.5 + 1)
    assert sum(scale_out.planner.plan_for_waiting_jobs(cluster.clock()).values()) == 1, "an overdue machine is replaced"


def test_machines_of_several_types_are_provisioned_and_drained(cluster: Cluster, scale_out: ScaleOut):
    """The need was once computed in GPUs, which divided by zero for a machine type without GPUs."""
    cpu = {"label": "c16", "cores": 16, "cards": 0, "memGb": 64, "price": 2.0, "spotPrice": 1.0, "yards": ["east"]}
    types = [
        *json_messages.convert_message({"hulls": [cpu]}, cloud_messages.Catalog).types,
        *cluster.fleet.catalog.types,
    ]
    cluster.fleet.set_catalog(cloud_messages.Catalog(types))
    cluster.submit(1, cards=0.0, cores=12.0, pieces=2, spot=False)
    cluster.submit(2, cards=1.0, pieces=4)
    cluster.scheduler.run_round()
    scale_out.demand.jobs_precede_leadership = False
    scale_out.demand.measure(cluster.clock())
    names = {
        cluster.fleet.type_names.names[t]: n
        for (t, _, _), n in scale_out.planner.plan_for_waiting_jobs(cluster.clock()).items()
    }
    assert names == {"c16": 2, "g4": 1}
    scale_out.planner.plan_standby(cluster.clock())
    scale_out.scale_in.drain_excess_machines(cluster.clock())


def test_a_plan_has_one_full_request_for_each_pool_but_none_for_expensive_pools(cluster: Cluster, scale_out: ScaleOut):
    cluster.submit(1, pieces=4 * 120, loaners=True)
    cluster.scheduler.run_round()
    plan = scale_out.planner.plan_for_waiting_jobs(cluster.clock())
    assert {pool.spot for pool in plan} == {True} and sum(plan.values()) == 100
