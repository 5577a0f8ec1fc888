"""How many machines should be ready."""

import pytest
from conftest import Cluster, FakeClock
from scripted_cloud import new_scale_out

from hookwall.autoscaling.scale_out import ScaleOut
from hookwall.config.platform import PlatformParameters


@pytest.fixture
def scale_out(cluster: Cluster, params: PlatformParameters, clock: FakeClock) -> ScaleOut:
    return new_scale_out(cluster, params, clock)


def test_targets_include_a_margin_only_while_jobs_arrive(cluster: Cluster, scale_out: ScaleOut):
    scale_out.demand.jobs_precede_leadership = False
    for n in range(1, 5):
        cluster.beat(f"vm-{n}")
        cluster.submit(n, shape="ensemble", cards=4.0)
        cluster.scheduler.run_round()
        scale_out.demand.measure(cluster.clock())
    assert scale_out.demand.targets.on_demand > 4.0 + 1.0
    plan = scale_out.planner.plan_standby(cluster.clock())
    assert sum(n for (_, _, spot), n in plan.items() if not spot) >= 1
    for _ in range(300):
        cluster.clock.advance(1.0)
        scale_out.demand.measure(cluster.clock())
    assert scale_out.demand.targets.on_demand == pytest.approx(4.0, abs=0.25)


def test_targets_do_not_fall_while_jobs_can_not_be_stored(cluster: Cluster, scale_out: ScaleOut):
    job = cluster.submit(1, shape="ensemble", cards=4.0, pieces=3)
    cluster.scheduler.run_round()
    scale_out.demand.measure(cluster.clock())
    before = scale_out.demand.targets
    assert before.on_demand >= 3.0
    job.phase = "done"
    scale_out.demand.submissions_blocked = lambda: True
    cluster.clock.advance(10.0)
    cluster.scheduler.run_round()
    scale_out.demand.measure(cluster.clock())
    assert scale_out.demand.targets == before
    scale_out.demand.submissions_blocked = lambda: False
    scale_out.demand.measure(cluster.clock())
    assert scale_out.demand.targets.on_demand < 3.0
