"""How a job's tasks fit the machine types; the result is cached and used by every round."""

import msgspec
import pytest
from conftest import CATALOG, Cluster

from hookwall.scheduling.fit import task_fit


@pytest.mark.parametrize(
    ("needs", "machine_share", "whole_machine"),
    [
        ({"cards": 1.0}, 0.25, False),
        ({"cards": 3.0}, 1.0, True),
        ({"cards": 0.0, "cores": 8.0}, 0.25, False),
        ({"cards": 0.0, "cores": 20.0}, 1.0, True),
        ({"cards": 1.0, "memGb": 200.0}, 1.0, True),
        ({"cards": 3.0, "loaners": True}, 1.0, False),
        ({"cards": 5.0}, 0.0, True),
    ],
)
def test_the_machine_share_is_the_largest_share_of_any_resource(cluster: Cluster, needs, machine_share, whole_machine):
    fit = task_fit(cluster.submit(1, **needs), cluster.fleet)
    assert (fit.machine_share, fit.needs_whole_machine) == (machine_share, whole_machine)
    assert fit.startup_s == 25.0 + 5.0 / 0.5


def test_a_new_catalog_changes_the_fit(cluster: Cluster):
    job = cluster.submit(1, cards=1.0)
    assert task_fit(job, cluster.fleet).machine_share == 0.25
    larger = msgspec.structs.replace(CATALOG.types[0], gpus=8.0, cpus=64.0, memory_gb=512.0, boot_s=40.0)
    cluster.fleet.set_catalog(msgspec.structs.replace(CATALOG, types=[larger]))
    assert (task_fit(job, cluster.fleet).machine_share, task_fit(job, cluster.fleet).startup_s) == (0.125, 50.0)
