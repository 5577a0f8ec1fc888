"""The door: what is malformed is refused, and nothing that arrives crashes a handler."""

import json
from pathlib import Path

import pytest
from conftest import description
from pytest import CaptureFixture, MonkeyPatch

from hookwall.cli import main
from hookwall.config import platform
from hookwall.protocol import heartbeat_messages, job_messages, json_messages

GOOD = """
node_name = "n0"
area = "east"
public_addr = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
new_field = 3
[[seeds]]
node_name = "n1"
peer_addr = "127.0.0.2:8081"
[external]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[settings]
size = 2
zones = ["east"]
[[settings.teams]]
name = "red"
[settings.workers]
report_s = 2.0
lease_s = 12
gang_wait_s = 45.0
gang_peer_s = 8.0
cancel_s = 42.0
[settings.state]
rps = 150.0
write_rps = 30.0
value_kb = 32.0
txn_ops = 24
[settings.cloud]
rps = 2.0
list_lag_s = 5.0
"""


def test_settings_ignore_what_is_unknown(tmp_path: Path):
    f = tmp_path / "s.toml"
    f.write_text(GOOD)
    s = platform.load_settings(str(f))
    assert s.platform.workers.lease_s == 12.0


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("lease_s = 12", 'lease_s = "long"', "lease_s"),
        ("lease_s = 12", "lease_s = -1", "lease_s"),
        ("size = 2", "", "size"),
        ('cloud = "127.0.0.1:1"', 'cloud = "nowhere"', "external.cloud"),
        ("size = 2", "size = = 2", "--config"),
    ],
)
def test_bad_settings_end_with_one_line_that_names_the_field(tmp_path: Path, capsys: CaptureFixture, old, new, field):
    f = tmp_path / "s.toml"
    f.write_text(GOOD.replace(old, new))
    assert main(["serve", "--config", str(f)]) == 2
    err = capsys.readouterr().err
    assert field in err and err.count("\n") == 1


def test_bad_log_level_is_refused(tmp_path: Path, capsys: CaptureFixture, monkeypatch: MonkeyPatch):
    monkeypatch.setenv("LOG_LEVEL", "loud")
    assert main(["serve", "--config", str(tmp_path / "none")]) == 2
    assert "LOG_LEVEL" in capsys.readouterr().err


def test_a_submission_survives_the_round_trip_and_unknown_fields():
    spec = job_messages.decode_job(json.dumps({**description(7), "extra": [1]}).encode())
    assert (spec.job_id, spec.gang, spec.gpus) == ("run-000007", False, 1.0)


@pytest.mark.parametrize(
    "changes",
    [
        {"ref": "job-1"}, {"ref": "run-1/2"}, {"pieces": 0}, {"pieces": 100_001}, {"pieces": 1.5}, {"cores": -1},
        {"cores": 1e300}, {"shape": "heap"}, {"rank": "top"}, {"samePlace": None}, {"hulls": "g8"}, {"bundle": ""},
        {"cores": 0.0, "cards": 0.0}, {"guessS": "long"},
    ],
)  # fmt: skip
def test_bad_fields_are_malformed(changes):
    with pytest.raises(json_messages.MalformedMessageError):
        job_messages.decode_job(json.dumps({**description(), **changes}).encode())


@pytest.mark.parametrize("body", [b"", b"[]", b"3", b"{", b"\xff\xfe", b'{"ref":"run-1"}', b"[" * 3000])
def test_what_is_no_submission_is_malformed(body):
    with pytest.raises(json_messages.MalformedMessageError):
        job_messages.decode_job(body)


@pytest.mark.parametrize("name", sorted(description().keys() - {"hulls", "yard", "dueS"}))
def test_every_field_that_cannot_be_null_is_needed(name):
    d = description()
    del d[name]
    with pytest.raises(json_messages.MalformedMessageError):
        job_messages.decode_job(json.dumps(d).encode())


def test_task_names():
    assert heartbeat_messages.parse_task_id("run-000412/3") == ("run-000412", 3)
    assert heartbeat_messages.parse_task_id("run-000412") is None
    assert heartbeat_messages.parse_task_id("run-000412/x") is None
