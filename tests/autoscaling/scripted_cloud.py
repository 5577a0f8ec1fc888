"""A cloud whose responses a test defines, and a `ScaleOut` that uses it."""

from conftest import Cluster, FakeClock

from hookwall.autoscaling.scale_out import ScaleOut
from hookwall.config.platform import PlatformParameters


class ScriptedCloud:
    """Records provisioning requests and returns what `respond` gives for their machine count."""

    def __init__(self) -> None:
        self.requests: list[tuple] = []
        self.respond = lambda count: [f"vm-9{i}" for i in range(count)]

    async def provision(self, request_name, type_, zone, spot, count):
        self.requests.append((request_name, type_, zone, spot, count))
        return self.respond(count)


def new_scale_out(cluster: Cluster, params: PlatformParameters, clock: FakeClock) -> ScaleOut:
    """Return a `ScaleOut` whose leadership begins now."""
    scale_out = ScaleOut(params, cluster.fleet, cluster.scheduler, ScriptedCloud(), clock)
    scale_out.reset()
    return scale_out
