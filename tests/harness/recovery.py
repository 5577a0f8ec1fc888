"""Checks that a simulated deployment works again once its faults are over."""

from harness.simulation import Simulation
from hookwall.node.node import Node
from hookwall.storage import keys

LONGEST_WAIT_S = 90.0  # bound of the rule that no job is left waiting beside a machine that fits
DELETABLE_PREFIXES = (keys.LEASE_DELEGATE_PREFIX, keys.CHUNK_PREFIX, keys.DRAIN_PREFIX, keys.CORDON_PREFIX)


def known_versions(node: Node) -> dict[str, int]:
    """The keys that can be deleted, as a node knows them, with their versions."""
    known = {key: delegation.version for key, delegation in node.fleet.delegated_leases.delegations.items()}
    known.update(node.job_table.chunks.versions)
    if node.drains.controller is not None:
        table = node.drains.controller.table
        known.update({keys.DRAIN_PREFIX + name: stored.version for name, stored in table.drains.items()})
        known.update({keys.CORDON_PREFIX + machine: stored.version for machine, stored in table.steps.items()})
    return known


def check_known_keys(simulation: Simulation) -> None:
    """Check that each node knows exactly the stored keys that can be deleted, with their versions.

    The watches need some time without faults before that.
    """
    stored = {
        key: version for key, (_, version, _) in simulation.store.keys.items() if key.startswith(DELETABLE_PREFIXES)
    }
    for name, node in simulation.nodes.items():
        known = known_versions(node)
        for key in sorted(known.keys() | stored.keys()):
            if known.get(key) != stored.get(key):
                simulation.violations.append(
                    f"wrong_key: {name} knows {key} as {known.get(key)}, stored is {stored.get(key)}"
                )


async def check_new_job_runs(simulation: Simulation, number: int) -> None:
    """Check that a new job is accepted and started, so that a leader stores its decisions."""
    job_id = simulation.define_job(number, run_s=5.0)
    try:
        await simulation.submit_until_accepted(job_id)
        await simulation.wait_until_running(job_id, LONGEST_WAIT_S)
    except AssertionError as error:
        simulation.violations.append(f"not_started: {error}")
