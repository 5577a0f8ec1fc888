"""Steps that several scheduling tests perform on a cluster."""

from conftest import Cluster


def send_heartbeats(cluster: Cluster, *names: str, **heartbeat: object) -> None:
    """Send heartbeats of the machines, so that the cluster may place tasks on them."""
    for name in names:
        cluster.beat(name, **heartbeat)
