"""What the tests of scheduling do to a cluster in the same way."""

from conftest import Cluster


def bring_up(cluster: Cluster, *names: str, **heartbeat: object) -> None:
    """Heartbeats of machines, with which the cluster may place tasks there."""
    for name in names:
        cluster.beat(name, **heartbeat)
