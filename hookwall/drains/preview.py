"""What a drain would disrupt, wave by wave, with the planner that the leader uses. Changes nothing.

A wave is what budgets and batch allow at a time. The preview takes each job that is stopped to run again before the
next wave, on a machine that is not drained, and each empty machine to be replaced or back by then.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from hookwall.drains.planner import Budgets, Candidate, Plan, Terms, Wait, plan
from hookwall.drains.snapshot import Snapshot
from hookwall.scheduling.placement import FreeCapacity


@dataclass(slots=True)
class Wave:
    """What happens at a time."""

    machines: list[str] = field(default_factory=list)
    jobs: dict[str, list[str]] = field(default_factory=dict)  # by team, those that are stopped


@dataclass(slots=True)
class Preview:
    """All waves, and why what is left can't be drained as things are."""

    waves: list[Wave] = field(default_factory=list)
    waits: list[Wait] = field(default_factory=list)
    left: list[str] = field(default_factory=list)
    to_rent: int = 0  # jobs for which a machine would have to be rented first

    def disrupted(self) -> dict[str, int]:
        """Disruptions by team."""
        total: dict[str, int] = {}
        for wave in self.waves:
            for team, jobs in wave.jobs.items():
                total[team] = total.get(team, 0) + len(jobs)
        return total


class Simulation:
    """Plays a drain forward, a wave at a time."""

    def __init__(self, snapshot: Snapshot, machines: Sequence[str], terms: Terms) -> None:
        self.snapshot = snapshot
        self.terms = replace(terms, finish_s=0.0)
        now = snapshot.fleet.clock()
        steps = snapshot.drains.steps
        self.candidates = {
            name: snapshot.picture.candidate(name, steps[name].record if name in steps else None, "", now)
            for name in machines
        }
        self.rooms = snapshot.picture.rooms(now)

    def run(self) -> Preview:
        """All waves."""
        preview = Preview()
        budgets = self.snapshot.picture.budgets()
        while self.candidates:
            decided, wave = self._wave(budgets)
            if not wave.machines and not wave.jobs:
                fresh = Budgets(dict(budgets.whole), budgets.whole)
                if budgets.left != fresh.left:
                    budgets = fresh  # what is disrupted now has recovered by the next wave
                    continue
                preview.waits, preview.left = decided.waits, sorted(self.candidates)
                preview.to_rent = len({occupant.ref for occupant in decided.homeless})
                break
            preview.waves.append(wave)
            budgets = Budgets(dict(budgets.whole), budgets.whole)
        return preview

    def _wave(self, budgets: Budgets) -> tuple[Plan, Wave]:
        """Cordon as many as a batch may hold, and stop what may be stopped there."""
        waiting = [candidate for candidate in self.candidates.values() if not candidate.cordoned]
        spare = self.terms.batch - (len(self.candidates) - len(waiting))
        first = plan(replace(self.terms, batch=spare), waiting, budgets, self.rooms, 0.0)
        for name in first.cordon:
            self.candidates[name] = replace(self.candidates[name], cordoned=True)
        cordoned = [candidate for candidate in self.candidates.values() if candidate.cordoned]
        decided = plan(self.terms, cordoned, budgets, self.rooms, 0.0)
        decided.waits.extend(first.waits)
        wave = Wave()
        for stop in decided.stops:
            for occupant in stop.occupants:
                wave.jobs.setdefault(occupant.team, []).append(occupant.ref)
            refs = {occupant.ref for occupant in stop.occupants}
            self._leave(stop.machine, refs)
        for candidate in cordoned:
            left = self.candidates[candidate.name]
            if not left.occupants and not left.waits:
                wave.machines.append(left.name)
                del self.candidates[left.name]
                self._replace(left)
        wave.machines.sort()
        return decided, wave

    def _leave(self, machine: str, refs: set[str]) -> None:
        """Jobs have left a machine; gangs have left all of theirs."""
        gangs = {o.ref for o in self.candidates[machine].occupants if o.ref in refs and o.frees}
        for name, candidate in self.candidates.items():
            gone = refs if name == machine else gangs
            kept = tuple(o for o in candidate.occupants if o.ref not in gone)
            if len(kept) < len(candidate.occupants):
                self.candidates[name] = replace(candidate, occupants=kept)

    def _replace(self, candidate: Candidate) -> None:
        """An empty machine of the kind of one that was drained."""
        fleet = self.snapshot.fleet
        machine = fleet.machines[candidate.name]
        info = fleet.machine_type(machine.type)
        if info is not None:
            empty = FreeCapacity(
                -1 - machine.index, machine.type, machine.zone, machine.spot, info.cpus, info.gpus, info.memory_gb
            )
            self.rooms.append(empty)
