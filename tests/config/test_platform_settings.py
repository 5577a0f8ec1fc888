"""The platform's settings file: unknown fields are ignored, and an error names the field that is invalid."""

from pathlib import Path

import pytest

from hookwall.cli import main
from hookwall.config import platform

VALID_SETTINGS = """
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


def test_unknown_settings_are_ignored(tmp_path: Path):
    file = tmp_path / "settings.toml"
    file.write_text(VALID_SETTINGS)
    settings = platform.load_settings(str(file))
    assert settings.platform.workers.lease_s == 12.0


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
def test_invalid_settings_end_with_one_line_that_names_the_field(
    tmp_path: Path, capsys: pytest.CaptureFixture, old, new, field
):
    file = tmp_path / "settings.toml"
    file.write_text(VALID_SETTINGS.replace(old, new))
    assert main(["serve", "--config", str(file)]) == 2
    error = capsys.readouterr().err
    assert field in error and error.count("\n") == 1


def test_an_unknown_log_level_is_refused(
    tmp_path: Path, capsys: pytest.CaptureFixture, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setenv("LOG_LEVEL", "loud")
    assert main(["serve", "--config", str(tmp_path / "none")]) == 2
    assert "LOG_LEVEL" in capsys.readouterr().err
