"""What the planner needs to know about a drain's machines, from the leader's memory."""

from collections.abc import Iterable
from dataclasses import replace

from hookwall.drains.ledger import Ledger, allowance
from hookwall.drains.planner import Budgets, Candidate, Occupant, Wait, WaitKind
from hookwall.drains.records import StepPhase, StepRecord
from hookwall.jobs.job import OPEN, Allocation, Job
from hookwall.jobs.job_table import JobTable
from hookwall.scheduling.fit import task_fit
from hookwall.scheduling.placement import FreeCapacity, ResourceRequest
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import Machine, MachinePhase


class Picture:
    """Builds the planner's view of the fleet."""

    def __init__(self, table: JobTable, fleet: Fleet, scheduler: Scheduler, ledger: Ledger) -> None:
        self.table, self.fleet, self.scheduler, self.ledger = table, fleet, scheduler, ledger

    # -- budgets ---------------------------------------------------------------------------------

    def budgets(self) -> Budgets:
        """What is left of each team's budget now."""
        running: dict[str, int] = {}
        for job in self.table.open_jobs.values():
            if job.spec is not None and job.phase == OPEN and job.allocations:
                running[job.spec.team] = running.get(job.spec.team, 0) + 1
        for entry in self.ledger.entries():
            disrupted = self.table.open_jobs.get(entry.ref)
            if disrupted is not None and not disrupted.allocations:
                running[entry.team] = running.get(entry.team, 0) + 1
        used = self.ledger.used_by_team()
        result = Budgets()
        for team, budget in self.ledger.budgets.items():
            result.whole[team] = allowance(budget, running.get(team, 0))
            result.left[team] = result.whole[team] - used.get(team, 0)
        return result

    # -- rooms -----------------------------------------------------------------------------------

    def rooms(self, now: float) -> list[FreeCapacity]:
        """Free room where the work of drained machines could go."""
        rooms: list[FreeCapacity] = []
        for machine in self.fleet.machines.values():
            if not machine.reserved_for and self.fleet.is_schedulable(machine, now):
                rooms.append(replace(self.fleet.free_capacity(machine)))
        return rooms

    # -- machines --------------------------------------------------------------------------------

    def candidate(self, name: str, step: StepRecord | None, drain: str, now: float) -> Candidate:
        """One machine of a drain."""
        machine = self.fleet.machines.get(name)
        if machine is None:
            return Candidate(name, waits=(Wait(WaitKind.SILENT, name),), cordoned=step is not None)
        if step is not None and step.drain != drain:
            return Candidate(name, waits=(Wait(WaitKind.OTHER_DRAIN, name, step.drain),))
        waits = self._waits(machine, step, now)
        occupants = () if waits else self._occupants(machine, now)
        since = 0.0 if step is None else step.since
        return Candidate(name, occupants, waits, step is not None, since, len(machine.allocations))

    def _waits(self, machine: Machine, step: StepRecord | None, now: float) -> tuple[Wait, ...]:
        """Why nothing can be decided about a machine now."""
        if step is not None and step.phase is StepPhase.EMPTY:
            kind = WaitKind.LEAVING if machine.phase is MachinePhase.DELETING else WaitKind.HELD
            return (Wait(kind, machine.name),)
        if machine.phase is MachinePhase.BOOTING:
            return (Wait(WaitKind.BOOTING, machine.name),)
        if machine.unresponsive or machine.epoch == 0:
            return (Wait(WaitKind.SILENT, machine.name),)
        if machine.phase in (MachinePhase.DELETING, MachinePhase.DELETED):
            return (Wait(WaitKind.LEAVING, machine.name),)
        stuck = [f"{job.job_id}/{a.task}" for job, a in machine.allocations.values() if self._ends_late(job, a, now)]
        return tuple(Wait(WaitKind.STOPPING, machine.name, task) for task in sorted(stuck)[:1])

    def _ends_late(self, job: Job, start: Allocation, now: float) -> bool:
        """Whether a start that was told to stop should have ended by now."""
        if start.stop_grace_s is None or start.stop_sent_at < 0 or job.spec is None:
            return False
        workers = self.fleet.params.workers
        usual_s = job.spec.checkpoint_cost_s + workers.gang_peer_s + 3 * workers.report_s
        return now - start.stop_sent_at > usual_s

    def _occupants(self, machine: Machine, now: float) -> tuple[Occupant, ...]:
        """The jobs there that go on unless they are stopped."""
        there: dict[str, list[Allocation]] = {}
        jobs: dict[str, Job] = {}
        for job, start in machine.allocations.values():
            if job.phase == OPEN and job.spec is not None and start.stop_grace_s is None and not start.finished:
                there.setdefault(job.job_id, []).append(start)
                jobs[job.job_id] = job
        return tuple(self._occupant(jobs[ref], machine, starts, now) for ref, starts in there.items())

    def _occupant(self, job: Job, machine: Machine, starts: list[Allocation], now: float) -> Occupant:
        spec = job.spec
        assert spec is not None
        frees: dict[int, int] = {}
        if spec.gang:
            starts = [a for a in job.allocations.values() if not a.finished]
            for start in starts:
                other = self.fleet.machines.get(start.machine)
                if other is not None and other is not machine:
                    frees[other.index] = frees.get(other.index, 0) + 1
        lost_s = sum(self._lost_s(job, start, now) for start in starts)
        counted = self.ledger.open_entry(job.job_id) is not None
        return Occupant(
            job.job_id, spec.team, lost_s * task_fit(job, self.fleet).machine_share, self._ask(job, starts), counted,
            tuple(frees.items()),
        )  # fmt: skip

    def _ask(self, job: Job, starts: Iterable[Allocation]) -> ResourceRequest:
        """What the tasks of these starts need elsewhere: they no longer bind the job to their zones."""
        leaving = {start.task for start in starts}
        ask = self.scheduler.resource_request(job, len(leaving))
        for task in leaving:
            zone = self.fleet.zone_of(job.allocations[task].machine)
            if ask.tasks_by_zone.get(zone):
                ask.tasks_by_zone[zone] -= 1
        if ask.one_zone:
            ask.zone = next((zone for zone, tasks in ask.tasks_by_zone.items() if tasks > 0), ask.zone)
        return ask

    @staticmethod
    def _lost_s(job: Job, start: Allocation, now: float) -> float:
        """Seconds of a task's work that a stop costs."""
        spec = job.spec
        assert spec is not None
        if spec.checkpoint_interval_s > 0:
            return spec.checkpoint_cost_s
        return max(0.0, now - start.running_since) if start.running_since >= 0 else 0.0

    def empty(self, name: str) -> bool:
        """Whether a machine that is heard has no task any more."""
        machine = self.fleet.machines.get(name)
        if machine is None or machine.epoch == 0 or machine.unresponsive or machine.phase is MachinePhase.BOOTING:
            return False
        return not machine.allocations and not machine.unrecorded_tasks
