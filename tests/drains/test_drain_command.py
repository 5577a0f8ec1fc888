"""`hookwall drain`: rejected input, output, exit codes, and that the read-only actions write nothing."""

import asyncio
import subprocess
import sys
from pathlib import Path

import pytest
from harness.drain_simulation import TEAMS, Operator, cordoned, drain_phases, operations
from harness.play import play
from harness.simulation import Simulation
from test_drains import BLUE, LONG_RUN_S, RED, WHOLE_MACHINE, machine_of, play_with_budgets, running_jobs

from hookwall.config.operations import Operations, validate_operations
from hookwall.config.operations import load_operations as load_operations
from hookwall.config.platform import InvalidSettingsError, PlatformParameters
from hookwall.drains.command import ExitCode
from hookwall.drains.lower_bound import LoadedJob, MachineLoad, wave_lower_bound
from hookwall.storage import keys

ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["--zone", "north"], "--zone: unknown: 'north'; the zones are east, west"),
        (["--type", "g9"], "--type: unknown: 'g9'; the machine types are g4"),
        (["--machine", "vm-000099"], "--machine: unknown: vm-000099; the machines are vm-000001"),
        (["--machine", "vm-000001", "--zone", "east"], "--machine: can't be combined"),
        ([], "which machines"),
        (["--zone", "east", "--batch", "0"], "--batch: must be a whole number from 1"),
        (["--zone", "east", "--finish", "-1"], "--finish: must be a number of seconds from 0"),
        (["--zone", "east", "--deadline", "nan"], "--deadline: must be a positive number"),
        (["--zone", "east", "--at-deadline", "abort"], "--at-deadline: needs --deadline"),
        (["--share", "1.5"], "--share: must be a number above 0 and up to 1"),
    ],
)
def test_invalid_arguments_are_reported_and_change_nothing(arguments, message, capsys: pytest.CaptureFixture[str]):
    async def scenario(simulation: Simulation, operator):
        for action in (["plan"], ["start", "kernel"]):
            code, value = await operator(*action, *arguments)
            assert (code, value) == (ExitCode.BAD_INPUT, None)
            assert message in capsys.readouterr().err
        assert not drain_phases(simulation)

    play_with_budgets(scenario)


def test_invalid_names_and_option_values_are_rejected(capsys: pytest.CaptureFixture[str]):
    async def scenario(simulation: Simulation, operator):
        for name in ("Kernel", "a/b", "x" * 65, ""):
            assert (await operator("start", name, "--zone", "east"))[0] == ExitCode.BAD_INPUT
            assert "NAME: up to 64 of" in capsys.readouterr().err
        for arguments in (["--batch", "two"], ["--share", "half"], ["--at-deadline", "kill"], ["--then", "burn"]):
            with pytest.raises(SystemExit) as exit_info:
                await operator("plan", "--zone", "east", *arguments)
            assert exit_info.value.code == 2 and arguments[0] in capsys.readouterr().err

    play_with_budgets(scenario)


def test_teams_without_a_budget_are_disrupted_only_with_unbudgeted(capsys: pytest.CaptureFixture[str]):
    async def scenario(simulation: Simulation, operator):
        assert (await operator("start", "kernel", "--zone", "east"))[0] == ExitCode.BAD_INPUT
        assert "no disruption budget for blue" in capsys.readouterr().err
        (ref,) = await running_jobs(simulation, BLUE, **WHOLE_MACHINE)
        simulation.cloud.available_machines = 2
        await operator.start("kernel", "--machine", machine_of(simulation, ref), "--unbudgeted")
        await operator.wait_for_phase("kernel", 60.0)

    play_with_budgets(scenario, budgets={"red": 1})


def test_a_repeated_request_prints_the_drain_s_state_and_other_terms_are_rejected(capsys: pytest.CaptureFixture[str]):
    async def scenario(simulation: Simulation, operator):
        await running_jobs(simulation, RED, **WHOLE_MACHINE)
        await operator.start("kernel", "--zone", "east")
        before = simulation.store.keys[keys.DRAIN_PREFIX + "kernel"]
        code, printed = await operator("start", "kernel", "--zone", "east")
        assert code == ExitCode.OK and printed["drains"][0]["name"] == "kernel"
        assert (await operator("start", "kernel", "--zone", "west"))[0] == ExitCode.BAD_INPUT
        assert "exists already with other terms" in capsys.readouterr().err
        assert simulation.store.keys[keys.DRAIN_PREFIX + "kernel"][0]["request"] == before[0]["request"]

    play_with_budgets(scenario)


def test_failures_of_the_store_and_the_cloud_have_their_own_exit_codes():
    async def scenario(simulation: Simulation, operator):
        assert (await operator("status", "none"))[0] == ExitCode.NOT_FOUND
        assert (await operator("abort", "none"))[0] == ExitCode.NOT_FOUND
        await running_jobs(simulation, RED, **WHOLE_MACHINE)
        simulation.cloud.down = True
        assert (await operator("plan", "--zone", "east"))[0] == ExitCode.UNAVAILABLE
        assert (await operator("status"))[0] == ExitCode.OK, "status needs no list"
        simulation.cloud.down = False
        simulation.store.refused.add("operator")
        assert (await operator("start", "kernel", "--zone", "east"))[0] == ExitCode.UNAVAILABLE
        simulation.store.refused.clear()
        simulation.store.write_delay_s = lambda node, body: 1.0 if node == "operator" else None
        assert (await operator("start", "kernel", "--zone", "east"))[0] == ExitCode.UNAVAILABLE
        simulation.store.write_delay_s = lambda node, body: None
        await asyncio.sleep(2.0)
        assert (await operator("start", "kernel", "--zone", "east"))[0] == ExitCode.OK, "it was carried out late"
        commit = simulation.store.commit
        simulation.store.commit = lambda body: (400, {"error": "malformed"})
        assert (await operator("start", "other", "--zone", "west"))[0] == ExitCode.REFUSED
        simulation.store.commit = lambda body: (409, {"failed": [keys.DRAIN_PREFIX + "kernel"], "epoch": 1})
        assert (await operator("abort", "kernel"))[0] == ExitCode.CONFLICT
        simulation.store.commit = commit

    play_with_budgets(scenario)


def test_a_preview_lists_the_jobs_of_each_wave_and_changes_nothing():
    async def scenario(simulation: Simulation, operator):
        simulation.cloud.available_machines = 2
        refs = await running_jobs(simulation, RED, RED, BLUE, **WHOLE_MACHINE)
        await asyncio.sleep(10.0)
        before = dict(simulation.store.keys)
        machines = [argument for ref in refs for argument in ("--machine", machine_of(simulation, ref))]
        code, printed = await operator("plan", *machines, "--batch", "3", "--fewest")
        assert code == ExitCode.OK and printed["disrupted"] == {"red": 2, "blue": 1}
        assert printed["fewest_waves"] == 2 and printed["fewest_is_exact"]
        assert sorted(ref for wave in printed["waves"] for jobs in wave["jobs"].values() for ref in jobs) == sorted(
            refs
        )
        assert all(len(jobs) <= 1 for wave in printed["waves"] for jobs in wave["jobs"].values())
        assert [len(wave["machines"]) for wave in printed["waves"]] == [1, 1, 1], "one free machine at a time"
        drains = {
            key: stored
            for key, stored in simulation.store.keys.items()
            if key.startswith((keys.DRAIN_PREFIX, keys.CORDON_PREFIX, keys.DISRUPTION_PREFIX))
        }
        assert not drains and before.keys() == simulation.store.keys.keys()

    play_with_budgets(scenario)


def test_a_preview_lists_undrainable_machines_and_the_reasons():
    async def scenario(simulation: Simulation, operator):
        refs = await running_jobs(simulation, RED, RED, BLUE, BLUE, **WHOLE_MACHINE)
        code, printed = await operator("plan", "--zone", "east")
        assert code == ExitCode.OK and not printed["waves"] and len(printed["left"]) == 2
        assert {wait["kind"] for wait in printed["waits"]} == {"room"} and printed["jobs_without_room"] == 1
        assert refs

    play_with_budgets(scenario)


def test_status_waits_for_the_end_up_to_its_timeout():
    async def scenario(simulation: Simulation, operator):
        (ref,) = await running_jobs(simulation, RED, run_s=LONG_RUN_S, **WHOLE_MACHINE)
        await operator.start("kernel", "--machine", machine_of(simulation, ref), "--finish", "30")
        began = simulation.now()
        assert (await operator("status", "kernel", "--wait", "5"))[0] == ExitCode.WAITING
        assert 5.0 <= simulation.now() - began < 8.0 and cordoned(simulation)
        simulation.cloud.available_machines = 1
        assert (await operator("status", "kernel", "--wait", "200"))[0] == ExitCode.OK

    play_with_budgets(scenario)


def test_a_share_selects_the_machines_with_the_fewest_tasks():
    async def scenario(simulation: Simulation):
        operator = Operator(simulation)
        refs = await running_jobs(simulation, RED, BLUE, **WHOLE_MACHINE)
        busy = {machine_of(simulation, ref) for ref in refs}
        await operator.start("kernel", "--share", "0.5")
        assert not busy & set(operator.record("kernel").machines())

    play(scenario, teams=TEAMS, operations=operations(red=1, blue=1))


# -- lower bound of waves --------------------------------------------------------------------------


def loads(*machines: tuple[str, ...], gangs: frozenset[str] = frozenset()) -> list[MachineLoad]:
    return [
        MachineLoad(f"vm-{number}", tuple(LoadedJob(job, "red", job in gangs) for job in jobs))
        for number, jobs in enumerate(machines)
    ]


@pytest.mark.parametrize(
    ("machines", "batch", "budget", "expected_waves"),
    [
        ([("a",), ("b",), ("c",)], 3, 3, 1),
        ([("a",), ("b",), ("c",)], 2, 3, 2),
        ([("a",), ("b",), ("c",)], 3, 1, 3),
        ([("a",), ("a",), ("b",)], 3, 1, 2),
        ([("a", "b", "c", "d")], 1, 2, 2),
        ([("a", "b"), ("c",), ("d", "e"), ("f",)], 4, 3, 2),
        ([], 1, 1, 0),
    ],
)
def test_the_lower_bound_is_the_fewest_waves(machines, batch, budget, expected_waves):
    bound = wave_lower_bound(loads(*machines), batch, {"red": budget}, max_waves=6)
    assert (bound.waves, bound.exact) == (expected_waves, True)


def test_a_gang_is_evicted_from_all_of_its_machines_at_once():
    gang = loads(("g", "a"), ("g", "b"), gangs=frozenset("g"))
    assert wave_lower_bound(gang, 1, {"red": 2}, max_waves=4).waves == 2
    assert wave_lower_bound(gang, 2, {"red": 3}, max_waves=4).waves == 1


# -- operations file -------------------------------------------------------------------------------


def load(tmp_path, text: str, params) -> Operations:
    path = tmp_path / "operations.toml"
    path.write_text(text)
    return load_operations(str(path), params)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("drain = 1", "drain"),
        ("[drain]\nenabled = 'yes'", "drain.enabled"),
        ("[[drain.budgets]]\nteam = 'red'", "team 'red': needs jobs"),
        ("[[drain.budgets]]\nteam = 'red'\njobs = -1", "jobs must be a whole number from 0, is -1"),
        ("[[drain.budgets]]\nteam = 'red'\njobs = 'two'", "jobs"),
        ("[[drain.budgets]]\nteam = 'red'\nshare = 1.2", "share must be a number from 0 to 1"),
        ("[[drain.budgets]]\nteam = 'red'\njobs = 1\nperiod_s = 0", "period_s must be a positive number"),
        ("[[drain.budgets]]\nteam = 'pink'\njobs = 1", "team 'pink': unknown; the teams are blue, grey, red"),
        ("[[drain.budgets]]\nteam = 'red'\njobs = 1\n[[drain.budgets]]\nteam = 'red'\njobs = 2", "occurs twice"),
        ("[drain", "not TOML"),
    ],
)
def test_an_invalid_operations_file_is_rejected_with_the_field_name(
    tmp_path: Path, params: PlatformParameters, text, message
):
    with pytest.raises(InvalidSettingsError, match="(?s).*" + message.replace("'", ".")):
        load(tmp_path, text, params)


def test_unknown_settings_are_ignored_and_drains_are_disabled_without_a_file(
    tmp_path: Path, params: PlatformParameters
):
    operations_settings = load(tmp_path, "colour = 1\n[drain]\nenabled = true\nlater = 2\n", params)
    assert operations_settings.drain.enabled and not load_operations(None, params).drain.enabled
    with pytest.raises(InvalidSettingsError, match="cannot read"):
        load_operations(str(tmp_path / "none.toml"), params)


def test_the_deployed_operations_file_is_valid_for_any_teams(params: PlatformParameters):
    operations_settings = load_operations(str(ROOT / "deploy" / "operations.toml"), params)
    assert operations_settings.drain.enabled and validate_operations(operations_settings, params) == operations_settings


def test_the_program_rejects_an_invalid_operations_file_with_exit_code_2(tmp_path: Path):
    invalid_file = tmp_path / "operations.toml"
    invalid_file.write_text("[drain]\nenabled = 3\n")
    config = tmp_path / "settings.toml"
    config.write_text(SETTINGS)
    for arguments in (["serve"], ["drain", "status"]):
        run = [sys.executable, "-m", "hookwall", *arguments, "--config", str(config), "--operations", str(invalid_file)]
        completed = subprocess.run(run, cwd=ROOT, capture_output=True, text=True, timeout=60)
        assert completed.returncode == 2 and "drain.enabled" in completed.stderr, completed.stderr


SETTINGS = """
node_name = "n0"
public_addr = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
[external]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[settings]
size = 1
zones = ["east"]
workers = { report_s = 2.0, lease_s = 12.0, gang_wait_s = 40.0, gang_peer_s = 8.0, cancel_s = 37.0 }
state = { rps = 100.0, write_rps = 30.0, value_kb = 16.0, txn_ops = 12 }
cloud = { rps = 2.0, list_lag_s = 5.0 }
"""
