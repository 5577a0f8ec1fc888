"""The planner's input about a drain's machines, from the leader's memory.

Invariant: this module changes nothing. It returns copies, which the planner may modify.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from hookwall.drains.disruption_ledger import DisruptionLedger, allowed_disruptions
from hookwall.drains.drain_plan import Candidate, Occupant, TeamBudgets
from hookwall.drains.records import StepPhase, StepRecord
from hookwall.drains.wait_reasons import Wait, WaitKind
from hookwall.jobs.job import OPEN, Allocation, Job
from hookwall.jobs.job_table import JobTable
from hookwall.protocol.job_messages import JobSpec
from hookwall.scheduling.fit import task_fit
from hookwall.scheduling.placement import FreeCapacity, Placement, ResourceRequest
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import Machine, MachinePhase

OVERDUE_HEARTBEATS = 3  # a stopping task is overdue this many heartbeat intervals after its expected end


class PlanningView:
    """Provides the planner with the state of the fleet, the jobs and the budgets."""

    def __init__(self, table: JobTable, fleet: Fleet, scheduler: Scheduler, ledger: DisruptionLedger) -> None:
        """Create a view, which reads the current state of its sources at each call."""
        self.table = table
        self.fleet = fleet
        self.scheduler = scheduler
        self.ledger = ledger

    # -- budgets ---------------------------------------------------------------------------------

    def team_budgets(self) -> TeamBudgets:
        """The remaining and the total budget of each team now."""
        running = self._running_jobs_by_team()
        disruptions = self.ledger.disruptions_by_team()
        budgets = TeamBudgets()
        for team, budget in self.ledger.budgets.items():
            budgets.total[team] = allowed_disruptions(budget, running[team])
            budgets.remaining[team] = budgets.total[team] - disruptions.get(team, 0)
        return budgets

    def _running_jobs_by_team(self) -> Counter[str]:
        """The number of jobs by team that run, or that were disrupted and have no allocation yet."""
        running: Counter[str] = Counter()
        for job in self.table.open_jobs.values():
            if job.spec is not None and job.phase == OPEN and job.allocations:
                running[job.spec.team] += 1
        for entry in self.ledger.entries():
            disrupted = self.table.open_jobs.get(entry.job_id)
            if disrupted is not None and not disrupted.allocations:
                running[entry.team] += 1
        return running

    # -- capacity --------------------------------------------------------------------------------

    def free_capacities(self, now: float) -> list[FreeCapacity]:
        """Copies of the free capacity of all machines on which evicted jobs can be placed."""
        return [
            replace(self.fleet.free_capacity(machine))
            for machine in self.fleet.machines.values()
            if not machine.reserved_for and self.fleet.is_schedulable(machine, now)
        ]

    # -- machines --------------------------------------------------------------------------------

    def candidate(self, name: str, step: StepRecord | None, drain: str, now: float) -> Candidate:
        """A machine of a drain. `step`: its step, which may belong to another drain; `now`: on the fleet's clock."""
        machine = self.fleet.machines.get(name)
        if machine is None:
            return Candidate(name, waits=(Wait(WaitKind.UNRESPONSIVE, name),), cordoned=step is not None)
        if step is not None and step.drain != drain:
            return Candidate(name, waits=(Wait(WaitKind.OTHER_DRAIN, name, step.drain),))
        waits = self._waits(machine, step, now)
        occupants = () if waits else self._occupants(machine, now)
        return Candidate(
            name,
            occupants,
            waits,
            cordoned=step is not None,
            cordoned_at=0.0 if step is None else step.cordoned_at,
            task_count=len(machine.allocations),
        )

    def _waits(self, machine: Machine, step: StepRecord | None, now: float) -> tuple[Wait, ...]:
        """The reasons why no step is possible for a machine now."""
        if step is not None and step.phase is StepPhase.EMPTY:
            kind = WaitKind.DELETING if machine.phase is MachinePhase.DELETING else WaitKind.IN_MAINTENANCE
            return (Wait(kind, machine.name),)
        if machine.phase is MachinePhase.BOOTING:
            return (Wait(WaitKind.BOOTING, machine.name),)
        if machine.unresponsive or machine.epoch == 0:
            return (Wait(WaitKind.UNRESPONSIVE, machine.name),)
        if machine.phase in (MachinePhase.DELETING, MachinePhase.DELETED):
            return (Wait(WaitKind.DELETING, machine.name),)
        overdue_tasks = [
            f"{job.job_id}/{allocation.task}"
            for job, allocation in machine.allocations.values()
            if self._is_stop_overdue(job, allocation, now)
        ]
        return tuple(Wait(WaitKind.STOPPING, machine.name, task) for task in sorted(overdue_tasks)[:1])

    def _is_stop_overdue(self, job: Job, allocation: Allocation, now: float) -> bool:
        """Whether a task whose worker received the stop command should have ended by now."""
        if allocation.stop_grace_s is None or allocation.stop_sent_at < 0 or job.spec is None:
            return False
        workers = self.fleet.params.workers
        overdue_after_s = job.spec.checkpoint_cost_s + workers.gang_peer_s + OVERDUE_HEARTBEATS * workers.report_s
        return now - allocation.stop_sent_at > overdue_after_s

    def _occupants(self, machine: Machine, now: float) -> tuple[Occupant, ...]:
        """The jobs on a machine that continue unless they are evicted."""
        allocations_by_job: dict[str, list[Allocation]] = {}
        jobs: dict[str, Job] = {}
        for job, allocation in machine.allocations.values():
            stopping = allocation.stop_grace_s is not None or allocation.finished
            if job.phase == OPEN and job.spec is not None and not stopping:
                allocations_by_job.setdefault(job.job_id, []).append(allocation)
                jobs[job.job_id] = job
        return tuple(
            self._occupant(jobs[job_id], machine, allocations, now)
            for job_id, allocations in allocations_by_job.items()
        )

    def _occupant(self, job: Job, machine: Machine, allocations: list[Allocation], now: float) -> Occupant:
        """A job with these allocations on a machine; a gang is evicted with all of its allocations."""
        spec = job.spec
        assert spec is not None
        freed_tasks: tuple[Placement, ...] = ()
        if spec.gang:
            allocations = [allocation for allocation in job.allocations.values() if not allocation.finished]
            freed_tasks = self._freed_tasks(allocations, machine)
        lost_work_s = sum(self._lost_work_s(spec, allocation, now) for allocation in allocations)
        return Occupant(
            job.job_id,
            spec.team,
            lost_work_s * task_fit(job, self.fleet).machine_share,
            self._resource_request(job, allocations),
            already_disrupted=self.ledger.unrecovered_entry(job.job_id) is not None,
            freed_tasks=freed_tasks,
        )

    def _freed_tasks(self, allocations: Iterable[Allocation], machine: Machine) -> tuple[Placement, ...]:
        """How many of these tasks run on each machine other than this one."""
        counts: Counter[int] = Counter()
        for allocation in allocations:
            other = self.fleet.machines.get(allocation.machine)
            if other is not None and other is not machine:
                counts[other.index] += 1
        return tuple(Placement(index, count) for index, count in counts.items())

    def _resource_request(self, job: Job, allocations: Iterable[Allocation]) -> ResourceRequest:
        """What these tasks need on other machines. The tasks no longer bind the job to their current zones."""
        leaving = {allocation.task for allocation in allocations}
        request = self.scheduler.resource_request(job, len(leaving))
        for task in leaving:
            zone = self.fleet.zone_of(job.allocations[task].machine)
            if request.tasks_by_zone.get(zone):
                request.tasks_by_zone[zone] -= 1
        if request.one_zone:
            request.zone = next((zone for zone, tasks in request.tasks_by_zone.items() if tasks > 0), request.zone)
        return request

    @staticmethod
    def _lost_work_s(spec: JobSpec, allocation: Allocation, now: float) -> float:
        """Seconds of a task's work that are lost if it is stopped."""
        if spec.checkpoint_interval_s > 0:
            return spec.checkpoint_cost_s
        return max(0.0, now - allocation.running_since) if allocation.running_since >= 0 else 0.0

    def is_empty(self, name: str) -> bool:
        """Whether a machine has a responsive worker and no task any more."""
        machine = self.fleet.machines.get(name)
        if machine is None or machine.epoch == 0 or machine.unresponsive or machine.phase is MachinePhase.BOOTING:
            return False
        return not machine.allocations and not machine.unrecorded_tasks
