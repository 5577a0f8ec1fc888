"""Measures the duration of a drain in a simulation, and its cost for a leader with thousands of machines.

    python tools/drain_measure.py empty [--machines 40] [--batch 4] [--jobs 2] [--no-drain]
    python tools/drain_measure.py cost [--machines 4000]

`empty` drains one of two zones of a fleet under load and prints one line of JSON: the duration of the drain and the
lower bound that follows from the batch size and the budgets, the time from cordon to deletion of the machines, how long
stopped jobs did not run, and how long urgent jobs that arrived during the drain waited. `cost` measures the time of the
leader's drain plans and of a scheduling round.
"""

import argparse
import asyncio
import json
import sys
import time
from pathlib import Path
from statistics import median
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))
sys.path.insert(0, str(ROOT))

import msgspec  # noqa: E402
from harness.drain_simulation import PERIOD_S, TEAMS, BudgetOracle, Operator, cordoned, operations  # noqa: E402
from harness.leading_node import leading  # noqa: E402
from harness.play import play  # noqa: E402
from harness.simulation import WORKERS, Simulation  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from hookwall.config.operations import DisruptionBudget, DrainSettings  # noqa: E402
from hookwall.config.platform import CloudLimits, MachineLimits, PlatformParameters, StoreLimits  # noqa: E402
from hookwall.drains import records, request  # noqa: E402
from hookwall.drains.request import DrainRequest, Selection  # noqa: E402
from hookwall.workers import name_codec  # noqa: E402

RUN_S = 900.0
WARM_UP_S = 30.0
URGENT_INTERVAL_S = 6.0
URGENT_DURATION_S = 240.0
END_TIMEOUT_S = 3000.0
MAX_DURATION_MS = 3_600_000
SIGNIFICANT_DIGITS = 3  # precision of the histograms
REPEATS = 20


class Timings:
    """A distribution of durations."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, MAX_DURATION_MS, SIGNIFICANT_DIGITS)

    def add(self, seconds: float) -> None:
        self.histogram.record_value(max(1, round(1000 * seconds)))

    def summary(self) -> dict[str, float]:
        histogram = self.histogram
        at = {f"p{p}_s": histogram.get_value_at_percentile(p) / 1000 for p in (50, 90)} if histogram.total_count else {}
        return {"count": histogram.total_count, **at, "longest_s": histogram.get_max_value() / 1000}


class DrainObserver:
    """Measures the durations of steps and the waiting times of urgent jobs in a simulation."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.steps = Timings()
        self.urgent = Timings()
        self.away = Timings()
        self.cordoned_at: dict[str, float] = {}
        simulation.on_step.append(self.observe_cordons)

    def observe_cordons(self) -> None:
        now = self.simulation.now()
        cordoned_now = cordoned(self.simulation)
        for machine in cordoned_now - self.cordoned_at.keys():
            self.cordoned_at[machine] = now
        for machine in self.cordoned_at.keys() - cordoned_now:
            self.steps.add(now - self.cordoned_at.pop(machine))

    async def submit_urgent_jobs(self, first: int) -> None:
        """Submit urgent jobs at a fixed interval, and measure how long each waits for its start."""
        for number in range(first, first + int(URGENT_DURATION_S / URGENT_INTERVAL_S)):
            self.simulation.run_in_background(self._measure_urgent_job(number))
            await asyncio.sleep(URGENT_INTERVAL_S)

    async def _measure_urgent_job(self, number: int) -> None:
        simulation = self.simulation
        ref, started_at = (
            simulation.define_job(number, run_s=40.0, owner="blue", rank="urgent", cards=4.0),
            simulation.now(),
        )
        await simulation.submit_until_accepted(ref)
        await simulation.wait_until(
            lambda: simulation.jobs[ref].first_start is not None, 600.0, f"{ref} was not started"
        )
        self.urgent.add(simulation.jobs[ref].first_start - started_at)


def empty(args: argparse.Namespace) -> dict[str, Any]:
    """Measure the drain of a zone of a fleet under load."""
    budgets = {"red": args.jobs, "blue": args.jobs}
    results: dict[str, Any] = {}

    async def scenario(simulation: Simulation) -> None:
        simulation.cloud.available_machines = args.machines
        oracle, observer, operator = (
            BudgetOracle(simulation, budgets).watch(),
            DrainObserver(simulation),
            Operator(simulation),
        )
        count = args.machines
        for n in range(1, count + 1):
            team = ("red", "blue")[n % 2]
            ref = simulation.define_job(
                n, run_s=RUN_S, owner=team, rank="low", cards=1.0 + n % 4, pieces=1 + n % 2, pinEveryS=10.0
            )
            simulation.jobs[ref].save_s = 2.0
            await simulation.submit_until_accepted(ref)
        await asyncio.sleep(WARM_UP_S)
        selection = ["--zone", "east", "--batch", str(args.batch)]
        started_at = simulation.now()
        urgent = simulation.run_in_background(observer.submit_urgent_jobs(count + 1))
        if not args.no_drain:
            code, plan = await operator("plan", *selection, "--fewest")
            _, unbatched_plan = await operator("plan", "--zone", "east", "--batch", str(args.machines), "--fewest")
            assert code == 0
            started_at = simulation.now()
            await operator.start("measured", *selection)
            await operator.wait_for_phase("measured", END_TIMEOUT_S)
            periods = unbatched_plan["fewest_waves"] - 1  # the first wave waits for no budget period
            results.update(
                took_s=round(simulation.now() - started_at, 1),
                waves_planned=len(plan["waves"]), waves_fewest=plan["fewest_waves"],
                budgets_bound_s=PERIOD_S * periods, bound_is_exact=unbatched_plan["fewest_is_exact"],
                jobs_stopped=len(oracle.by_drains), machines=operator.record("measured").machine_count,
                machine=observer.steps.summary(),
            )  # fmt: skip
        await urgent
        await asyncio.sleep(60.0)
        for loss in oracle.losses:
            assert loss.restored_at is not None, loss
            observer.away.add(loss.restored_at - loss.first_at)
        results.update(urgent=observer.urgent.summary(), losses=len(oracle.losses), away=observer.away.summary())

    state = StoreLimits(rps=300.0, write_rps=100.0, value_kb=16.0, txn_ops=12)
    play(scenario, args.machines, teams=TEAMS, operations=operations(**budgets), state=state)
    return results


def fleet_params() -> PlatformParameters:
    return PlatformParameters(
        size=3, zones=["east", "west"], workers=WORKERS,
        state=StoreLimits(rps=100.0, write_rps=30.0, value_kb=16.0, txn_ops=12),
        cloud=CloudLimits(rps=2.0, list_lag_s=5.0), teams=[*TEAMS, msgspec.structs.replace(TEAMS[0], name="grey")],
        machine_limits=MachineLimits(core_share=0.36),
    )  # fmt: skip


def median_ms(function: Any) -> float:
    """Return the median duration of `REPEATS` calls, in milliseconds."""
    times: list[float] = []
    for _ in range(REPEATS):
        started_at = time.perf_counter()
        function()
        times.append(1000 * (time.perf_counter() - started_at))
    return round(median(times), 2)


def cost(args: argparse.Namespace) -> dict[str, Any]:
    """Measure a leader's drain plans and its scheduling round, with one job on each machine."""
    params = fleet_params()
    clock = time.monotonic
    node = leading(params, clock, args.machines)
    names = sorted(node.fleet.machines)
    drains = node.build_drain_controller(DrainSettings(True, [DisruptionBudget("grey", jobs=10)]))
    result = {"machines": args.machines, "round_ms": median_ms(node.scheduler.run_round)}
    requested = DrainRequest(selection=Selection(share=1.0), batch_size=args.batch)
    record = request.new_drain_record(requested, names, clock())
    drains.table.set_drain("measured", record, 5)

    def plan_with_search() -> None:
        drains.plan_builder.reset()
        drains.plan_builder.build_plan("measured")

    result["search_ms"] = median_ms(plan_with_search)
    for name in names[: args.batch]:
        step = records.StepRecord(drain="measured", phase=records.StepPhase.CORDONED, cordoned_at=0.0, changed_at=0.0)
        drains.table.set_step(name, step, 6)
    result["look_ms"] = median_ms(lambda: drains.plan_builder.build_plan("measured"))
    result["round_with_cordons_ms"] = median_ms(node.scheduler.run_round)
    result["record_bytes"] = len(json.dumps(records.encode(record)))
    result["sparse_record_bytes"] = len(json.dumps(name_codec.encode(names[::2])))
    return result


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=["empty", "cost"])
    parser.add_argument("--machines", type=int, default=0)
    parser.add_argument("--batch", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=2, help="each team's budget")
    parser.add_argument("--no-drain", action="store_true")
    args = parser.parse_args()
    args.machines = args.machines or (40 if args.what == "empty" else 4000)
    print(json.dumps((empty if args.what == "empty" else cost)(args)))


if __name__ == "__main__":
    main()
