"""A simulation of what a drain would disrupt, wave by wave, with the planner that the leader uses.

A wave is what the budgets and the batch size allow at the same time. The preview assumes that before the next wave each
evicted job runs again on a machine that is not drained, and that each empty machine is replaced or back in service.
Invariant: this module writes nothing.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from hookwall.drains.cluster_snapshot import ClusterSnapshot
from hookwall.drains.drain_plan import DrainPlan, DrainTerms, Eviction, TeamBudgets
from hookwall.drains.planner import plan_drain
from hookwall.drains.wait_reasons import Wait
from hookwall.scheduling.placement import FreeCapacity


@dataclass(slots=True)
class Wave:
    """The machines and jobs that are drained at the same time."""

    machines: list[str] = field(default_factory=list)
    jobs_by_team: dict[str, list[str]] = field(default_factory=dict)  # ids of the evicted jobs, by team


@dataclass(slots=True)
class Preview:
    """All waves, and why the remaining machines can't be drained in the current state of the cluster."""

    waves: list[Wave] = field(default_factory=list)
    waits: list[Wait] = field(default_factory=list)
    undrainable: list[str] = field(default_factory=list)
    jobs_without_capacity: int = 0  # jobs for which a machine would have to be provisioned first

    def disruptions_by_team(self) -> dict[str, int]:
        """The number of disruptions by team."""
        total: dict[str, int] = {}
        for wave in self.waves:
            for team, jobs in wave.jobs_by_team.items():
                total[team] = total.get(team, 0) + len(jobs)
        return total


class _SimulatedWave(NamedTuple):
    """The plan of a wave, and the wave that results from it."""

    plan: DrainPlan
    wave: Wave


class DrainSimulation:
    """Simulates a drain wave by wave."""

    def __init__(self, snapshot: ClusterSnapshot, machines: Sequence[str], terms: DrainTerms) -> None:
        """Create a simulation of a drain of these machines, without the grace period in which tasks may end."""
        self.snapshot = snapshot
        self.terms = replace(terms, finish_grace_s=0.0)
        now = snapshot.fleet.clock()
        self.candidates = {
            name: snapshot.planning_view.candidate(name, snapshot.drains.step_of(name), "", now) for name in machines
        }
        self.free_capacities = snapshot.planning_view.free_capacities(now)

    def run(self) -> Preview:
        """Simulate all waves."""
        preview = Preview()
        budgets = self.snapshot.planning_view.team_budgets()
        while self.candidates:
            plan, wave = self._simulate_wave(budgets)
            if wave.machines or wave.jobs_by_team:
                preview.waves.append(wave)
                budgets = budgets.replenished()
                continue
            replenished = budgets.replenished()
            if budgets.remaining == replenished.remaining:
                preview.waits = plan.waits
                preview.undrainable = sorted(self.candidates)
                preview.jobs_without_capacity = len({occupant.job_id for occupant in plan.relocations})
                break
            budgets = replenished  # jobs that are disrupted now have recovered by the next wave
        return preview

    def _simulate_wave(self, budgets: TeamBudgets) -> _SimulatedWave:
        """Cordon machines until the batch is full, and evict the jobs that may be evicted from cordoned machines."""
        waiting = [candidate for candidate in self.candidates.values() if not candidate.cordoned]
        free_slots = self.terms.batch_size - (len(self.candidates) - len(waiting))
        cordons = plan_drain(replace(self.terms, batch_size=free_slots), waiting, budgets, self.free_capacities, 0.0)
        for name in cordons.cordon:
            self.candidates[name] = replace(self.candidates[name], cordoned=True)
        cordoned = [candidate for candidate in self.candidates.values() if candidate.cordoned]
        plan = plan_drain(self.terms, cordoned, budgets, self.free_capacities, 0.0)
        plan.waits.extend(cordons.waits)
        wave = Wave()
        for eviction in plan.evictions:
            self._evict(eviction, wave)
        for candidate in cordoned:
            self._remove_if_empty(candidate.name, wave)
        wave.machines.sort()
        return _SimulatedWave(plan, wave)

    def _evict(self, eviction: Eviction, wave: Wave) -> None:
        """Remove evicted jobs from their machine; remove evicted gangs from all of their machines."""
        for occupant in eviction.occupants:
            wave.jobs_by_team.setdefault(occupant.team, []).append(occupant.job_id)
        job_ids = eviction.job_ids()
        gangs = {
            occupant.job_id
            for occupant in self.candidates[eviction.machine].occupants
            if occupant.job_id in job_ids and occupant.freed_tasks
        }
        for name, candidate in self.candidates.items():
            evicted = job_ids if name == eviction.machine else gangs
            remaining = tuple(occupant for occupant in candidate.occupants if occupant.job_id not in evicted)
            if len(remaining) < len(candidate.occupants):
                self.candidates[name] = replace(candidate, occupants=remaining)

    def _remove_if_empty(self, name: str, wave: Wave) -> None:
        """Remove a machine from the drain if it has neither jobs nor a reason to wait."""
        candidate = self.candidates[name]
        if candidate.occupants or candidate.waits:
            return
        wave.machines.append(name)
        del self.candidates[name]
        self._add_replacement(name)

    def _add_replacement(self, name: str) -> None:
        """Add the free capacity of an empty machine of the same type and zone as a drained one."""
        fleet = self.snapshot.fleet
        machine = fleet.machines[name]
        info = fleet.machine_type(machine.type)
        if info is not None:
            index = -1 - machine.index  # negative, so that it differs from the index of every machine
            self.free_capacities.append(
                FreeCapacity(index, machine.type, machine.zone, machine.spot, info.cpus, info.gpus, info.memory_gb)
            )
