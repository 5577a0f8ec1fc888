"""Support for KNOWN-RED.txt, the list of tests that are known to fail because of a bug that is not fixed yet.

Only the listed tests may fail, and each run prints them. The file has one line for each test, `test | cause | issue`,
with the test's node id in pytest (`tests/test_x.py::test_y`), and at most three lines. It is an error if a listed test
does not exist or passes. If the file is missing or empty, no test may fail.
"""

from pathlib import Path

import pytest

MAX_LISTED_TESTS = 3


def read_known_red(path: Path) -> dict[str, str]:
    """Return the listed tests with their causes and issues."""
    causes: dict[str, str] = {}
    for line in path.read_text(encoding="utf-8").splitlines() if path.exists() else ():
        if not line.strip():
            continue
        parts = [p.strip() for p in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or parts[0] in causes:
            raise pytest.UsageError(f"KNOWN-RED.txt: line is not `test | cause | issue`, or repeats a test: {line!r}")
        causes[parts[0]] = f"{parts[1]} ({parts[2]})"
    if len(causes) > MAX_LISTED_TESTS:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(causes)} tests, at most {MAX_LISTED_TESTS}")
    return causes


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known_red = read_known_red(config.rootpath / "KNOWN-RED.txt")
    collected = {item.nodeid.partition("::")[0] for item in items}
    names = {item.nodeid for item in items}
    for name in known_red:
        # A run of selected files cannot tell whether tests in other files exist.
        if name not in names and (name.partition("::")[0] in collected or not config.args_given):
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {name}")
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason=known_red[item.nodeid], strict=True))


def pytest_configure(config: pytest.Config) -> None:
    config.args_given = config.args_source is not config.ArgsSource.TESTPATHS


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    for name, cause in read_known_red(config.rootpath / "KNOWN-RED.txt").items():
        terminalreporter.write_line(f"KNOWN RED {name}: {cause}")
