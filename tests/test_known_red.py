"""Tests of KNOWN-RED.txt: only the listed tests may fail, they are printed, and their number is limited."""

import os
import subprocess
import sys
from pathlib import Path

import pytest


def run_pytest(folder: Path, tests: str, listed: list[str]) -> tuple[int, str]:
    """Return exit status and output of a pytest run over one file of tests."""
    (folder / "tests").mkdir()
    (folder / "tests" / "test_a.py").write_text(tests)
    (folder / "tests" / "conftest.py").write_text("from known_red import *\n")
    (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (folder / "KNOWN-RED.txt").write_text("\n".join(listed) + "\n")
    env = {**os.environ, "PYTHONPATH": str(Path(__file__).parent)}
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    completed = subprocess.run(command, cwd=folder, env=env, capture_output=True, text=True)
    return completed.returncode, completed.stdout + completed.stderr


TESTS = """
import pytest
@pytest.mark.parametrize("n", [1, 2, 3, 4])
def test_red(n): assert not n
def test_green(): pass
"""


RED = [f"tests/test_a.py::test_red[{n}] | leaks | #9" for n in (1, 2, 3, 4)]


@pytest.mark.parametrize(
    ("listed", "status", "message"),
    [
        ([], 1, "4 failed"),
        (["tests/test_a.py::test_red[1] | leaks | #9"], 1, "3 failed"),
        (RED[:3], 1, "KNOWN RED tests/test_a.py::test_red[2]: leaks (#9)"),
        (RED, 4, "at most 3"),
        (["tests/test_a.py::test_green | leaks | #9"], 1, "XPASS(strict)"),
        (["tests/test_a.py::test_gone | leaks | #9"], 4, "no such test"),
        (["tests/test_b.py::test_gone | leaks | #9"], 4, "no such test"),
        (["tests/test_a.py::test_red[1] | #9"], 4, "not `test | cause | issue`"),
    ],
)  # fmt: skip
def test_only_listed_tests_may_fail(tmp_path: Path, listed, status, message):
    code, out = run_pytest(tmp_path, TESTS, listed)
    assert (code, message in out) == (status, True), out


def test_failures_of_listed_tests_do_not_fail_the_run(tmp_path: Path):
    code, out = run_pytest(tmp_path, "def test_red(): assert 0\n", ["tests/test_a.py::test_red | leaks | #9"])
    assert code == 0 and "KNOWN RED tests/test_a.py::test_red: leaks (#9)" in out
