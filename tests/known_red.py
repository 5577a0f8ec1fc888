"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet. Just these may fail, and are printed.

One line each, `test | cause | issue`; the test as pytest names it (`tests/test_x.py::test_y`). At most three. A
name that no test has is an error, and so is a listed test that passes. No file, or an empty one, means none.
"""

from pathlib import Path

import pytest

MOST = 3


def read(path: Path) -> dict[str, str]:
    """Listed tests with their causes and issues."""
    out: dict[str, str] = {}
    for line in path.read_text(encoding="utf-8").splitlines() if path.exists() else ():
        if not line.strip():
            continue
        parts = [p.strip() for p in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or parts[0] in out:
            raise pytest.UsageError(f"KNOWN-RED.txt: not `test | cause | issue`, or twice: {line!r}")
        out[parts[0]] = f"{parts[1]} ({parts[2]})"
    if len(out) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(out)} tests, at most {MOST}")
    return out


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    red = read(config.rootpath / "KNOWN-RED.txt")
    collected = {item.nodeid.partition("::")[0] for item in items}
    names = {item.nodeid for item in items}
    for name in red:
        # A run of some files says nothing about tests in others.
        if name not in names and (name.partition("::")[0] in collected or not config.args_given):
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {name}")
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason=red[item.nodeid], strict=True))


def pytest_configure(config: pytest.Config) -> None:
    config.args_given = config.args_source is not config.ArgsSource.TESTPATHS


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    for name, cause in read(config.rootpath / "KNOWN-RED.txt").items():
        terminalreporter.write_line(f"KNOWN RED {name}: {cause}")
