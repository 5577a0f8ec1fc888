"""What the command prints: plain data for `--json`, and the same as text."""

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from hookwall.drains.planner import Wait
from hookwall.drains.preview import Preview
from hookwall.drains.records import DrainPhase, DrainRecord, StepRecord
from hookwall.drains.snapshot import Snapshot


class StepView(msgspec.Struct, kw_only=True):
    """One machine on its way out of service."""

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
    """One drain."""

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
    """All that `status` tells."""

    drains: list[DrainView]
    budgets: list[BudgetView]


class WaitView(msgspec.Struct, kw_only=True):
    """Why something can't be drained as things are."""

    kind: str
    machine: str
    text: str


class PlanView(msgspec.Struct, kw_only=True):
    """All that `plan` tells."""

    machines: int
    waves: list[dict[str, Any]]
    disrupted: dict[str, int]
    left: list[str]
    waits: list[WaitView]
    jobs_without_room: int
    fewest_waves: int | None = None
    fewest_is_exact: bool | None = None


def step_view(machine: str, step: StepRecord, now: float) -> StepView:
    """One step."""
    return StepView(
        machine=machine, phase=step.phase.value, age_s=round(now - step.since, 1), disrupted=step.disrupted
    )  # fmt: skip


def drain_view(name: str, record: DrainRecord, steps: Mapping[str, StepRecord], now: float) -> DrainView:
    """One drain with its steps."""
    reason = record.reason
    if record.phase is DrainPhase.ASKED and not reason:
        reason = "no leader has taken it up yet; drains must be switched on in the nodes' operations file"
    left_s = None if record.deadline_s is None else round(record.asked_at + record.deadline_s - now, 1)
    return DrainView(
        name=name, phase=record.phase.value, reason=reason, total=record.total, remaining=len(record.machines()),
        counts=record.counts, age_s=round(now - record.asked_at, 1), deadline_in_s=left_s,
        steps=[step_view(machine, step, now) for machine, step in sorted(steps.items())],
    )  # fmt: skip


def status_view(snapshot: Snapshot, names: Sequence[str], now: float) -> StatusView:
    """Some drains, and the budgets."""
    drains = [
        drain_view(name, snapshot.drains.drains[name].record, snapshot.drains.steps_of(name), now) for name in names
    ]
    budgets = snapshot.picture.budgets()
    used = snapshot.ledger.used_by_team()
    views = [
        BudgetView(team=team, allowed=budgets.whole[team], used=used.get(team, 0), period_s=budget.period_s)
        for team, budget in sorted(snapshot.ledger.budgets.items())
    ]
    return StatusView(drains=drains, budgets=views)


def plan_view(machines: int, preview: Preview) -> PlanView:
    """A preview."""
    return PlanView(
        machines=machines,
        waves=[{"machines": wave.machines, "jobs": wave.jobs} for wave in preview.waves],
        disrupted=preview.disrupted(),
        left=preview.left,
        waits=[wait_view(wait) for wait in preview.waits],
        jobs_without_room=preview.to_rent,
    )


def wait_view(wait: Wait) -> WaitView:
    """A reason to wait."""
    return WaitView(kind=wait.kind.value, machine=wait.machine, text=wait.text())


def status_text(status: StatusView) -> list[str]:
    """Lines for people."""
    lines: list[str] = []
    for drain in status.drains:
        left = ", ".join(f"{n} {outcome}" for outcome, n in sorted(drain.counts.items()))
        lines.append(f"{drain.name}: {drain.phase}, {drain.remaining} of {drain.total} machines left" + _and(left))
        if drain.reason:
            lines.append(f"  waits: {drain.reason}")
        if drain.deadline_in_s is not None:
            lines.append(f"  deadline in {drain.deadline_in_s:.0f} s")
        lines += [f"  {s.machine}: {s.phase} for {s.age_s:.0f} s, {s.disrupted} jobs stopped" for s in drain.steps]
    for budget in status.budgets:
        lines.append(f"budget of {budget.team}: {budget.used} of {budget.allowed} used ({budget.period_s:.0f} s)")
    return lines or ["no drains"]


def _and(text: str) -> str:
    return f"; {text}" if text else ""


def plan_text(plan: PlanView) -> list[str]:
    """Lines for people."""
    lines = [f"{plan.machines} machines in {len(plan.waves)} waves"]
    for number, wave in enumerate(plan.waves, 1):
        jobs = "; ".join(f"{team}: {', '.join(refs)}" for team, refs in sorted(wave["jobs"].items())) or "no job"
        lines.append(f"  wave {number}: {', '.join(wave['machines']) or 'no machine yet'} - stops {jobs}")
    if plan.fewest_waves is not None:
        lines.append(f"  {'exactly' if plan.fewest_is_exact else 'at least'} {plan.fewest_waves} waves are needed")
    for wait in plan.waits:
        lines.append(f"  waits: {wait.text}")
    if plan.jobs_without_room:
        lines.append(f"  {plan.jobs_without_room} jobs need machines that would have to be rented first")
    return lines
