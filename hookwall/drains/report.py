"""The output of the command: plain data for `--json`, and the same data as text.

Invariant: scripts parse the field names and the texts, so they never change.
"""

from collections.abc import Mapping, Sequence

import msgspec

from hookwall.drains.cluster_snapshot import ClusterSnapshot
from hookwall.drains.preview import Preview
from hookwall.drains.records import DrainPhase, DrainRecord, StepRecord
from hookwall.drains.wait_reasons import Wait


class StepView(msgspec.Struct, kw_only=True):
    """A machine that is being drained."""

    machine: str
    phase: str
    age_s: float
    disrupted: int


class BudgetView(msgspec.Struct, kw_only=True):
    """A team's budget."""

    team: str
    allowed: int
    used: int
    period_s: float


class DrainView(msgspec.Struct, kw_only=True):
    """A drain."""

    name: str
    phase: str
    reason: str
    total: int
    remaining: int
    counts: dict[str, int]
    age_s: float
    deadline_in_s: float | None
    steps: list[StepView]


class StatusView(msgspec.Struct, kw_only=True):
    """The output of `status`."""

    drains: list[DrainView]
    budgets: list[BudgetView]


class WaitView(msgspec.Struct, kw_only=True):
    """Why a machine can't be drained in the current state of the cluster."""

    kind: str
    machine: str
    text: str


class WaveView(msgspec.Struct, kw_only=True):
    """A wave: the machines that become empty, and the ids of the evicted jobs by team."""

    machines: list[str]
    jobs: dict[str, list[str]]


class PlanView(msgspec.Struct, kw_only=True):
    """The output of `plan`."""

    machines: int
    waves: list[WaveView]
    disrupted: dict[str, int]
    left: list[str]
    waits: list[WaitView]
    jobs_without_room: int
    fewest_waves: int | None = None
    fewest_is_exact: bool | None = None


def step_view(machine: str, step: StepRecord, now: float) -> StepView:
    """Return the view of a machine that is being drained; `now` is a time of day in seconds."""
    return StepView(
        machine=machine, phase=step.phase.value, age_s=round(now - step.cordoned_at, 1), disrupted=step.disrupted_jobs
    )  # fmt: skip


def drain_view(name: str, record: DrainRecord, steps: Mapping[str, StepRecord], now: float) -> DrainView:
    """Return the view of a drain and its steps."""
    reason = record.wait_reason
    if record.phase is DrainPhase.REQUESTED and not reason:
        reason = "no leader has taken it up yet; drains must be switched on in the nodes' operations file"
    deadline_in_s = None if record.deadline_s is None else round(record.requested_at + record.deadline_s - now, 1)
    return DrainView(
        name=name,
        phase=record.phase.value,
        reason=reason,
        total=record.machine_count,
        remaining=len(record.machines()),
        counts=record.outcome_counts,
        age_s=round(now - record.requested_at, 1),
        deadline_in_s=deadline_in_s,
        steps=[step_view(machine, step, now) for machine, step in sorted(steps.items())],
    )


def status_view(snapshot: ClusterSnapshot, names: Sequence[str], now: float) -> StatusView:
    """Return the view of the drains with these names, and of all budgets."""
    table = snapshot.drains
    drains = [drain_view(name, table.drains[name].record, table.steps_of(name), now) for name in names]
    budgets = snapshot.planning_view.team_budgets()
    used = snapshot.ledger.disruptions_by_team()
    views = [
        BudgetView(team=team, allowed=budgets.total[team], used=used.get(team, 0), period_s=budget.period_s)
        for team, budget in sorted(snapshot.ledger.budgets.items())
    ]
    return StatusView(drains=drains, budgets=views)


def plan_view(machines: int, preview: Preview) -> PlanView:
    """Return the view of a preview; `machines` is the number of selected machines."""
    return PlanView(
        machines=machines,
        waves=[WaveView(machines=wave.machines, jobs=wave.jobs_by_team) for wave in preview.waves],
        disrupted=preview.disruptions_by_team(),
        left=preview.undrainable,
        waits=[wait_view(wait) for wait in preview.waits],
        jobs_without_room=preview.jobs_without_capacity,
    )


def wait_view(wait: Wait) -> WaitView:
    """Return the view of a reason to wait."""
    return WaitView(kind=wait.kind.value, machine=wait.machine, text=wait.text())


def status_text(status: StatusView) -> list[str]:
    """Return the lines that `status` prints as text."""
    lines: list[str] = []
    for drain in status.drains:
        lines += _drain_text(drain)
    for budget in status.budgets:
        lines.append(f"budget of {budget.team}: {budget.used} of {budget.allowed} used ({budget.period_s:.0f} s)")
    return lines or ["no drains"]


def _drain_text(drain: DrainView) -> list[str]:
    outcomes = ", ".join(f"{count} {outcome}" for outcome, count in sorted(drain.counts.items()))
    summary = f"{drain.name}: {drain.phase}, {drain.remaining} of {drain.total} machines left"
    lines = [f"{summary}; {outcomes}" if outcomes else summary]
    if drain.reason:
        lines.append(f"  waits: {drain.reason}")
    if drain.deadline_in_s is not None:
        lines.append(f"  deadline in {drain.deadline_in_s:.0f} s")
    for step in drain.steps:
        lines.append(f"  {step.machine}: {step.phase} for {step.age_s:.0f} s, {step.disrupted} jobs stopped")
    return lines


def plan_text(plan: PlanView) -> list[str]:
    """Return the lines that `plan` prints as text."""
    lines = [f"{plan.machines} machines in {len(plan.waves)} waves"]
    for number, wave in enumerate(plan.waves, 1):
        jobs = "; ".join(f"{team}: {', '.join(refs)}" for team, refs in sorted(wave.jobs.items())) or "no job"
        lines.append(f"  wave {number}: {', '.join(wave.machines) or 'no machine yet'} - stops {jobs}")
    if plan.fewest_waves is not None:
        lines.append(f"  {'exactly' if plan.fewest_is_exact else 'at least'} {plan.fewest_waves} waves are needed")
    for wait in plan.waits:
        lines.append(f"  waits: {wait.text}")
    if plan.jobs_without_room:
        lines.append(f"  {plan.jobs_without_room} jobs need machines that would have to be rented first")
    return lines
