"""The on-call page cites log lines and modules of the program; this keeps the page and the sources together."""

import ast
import re
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "oncall.md").read_text(encoding="utf-8")
SOURCES = ROOT / "hookwall"
LOG_METHODS = {"debug": "debug", "info": "info", "error": "error", "exception": "error"}
QUOTED_TEXT_OR_LEVEL = re.compile(r"`([^`]+)`|\((debug|info|error)\b")
NO_LOG_LINE = re.compile(r"hookwall |GET |internal$|\w+=\w*$|\w+\.\w+$")
EXAMPLE_LINE = re.compile(r"^    [EID] ([\w.]+): (.+)$", re.MULTILINE)


class LogLine(NamedTuple):
    """A log call of the program: its module, its level and its format string."""

    module: str
    level: str
    format: str


class Citation(NamedTuple):
    """A log line as the page cites it: the event, the keys that are named with it, and the level."""

    event: str
    keys: tuple[str, ...]
    level: str


def log_lines() -> list[LogLine]:
    """Find all log calls of the program."""
    found: list[LogLine] = []
    for path in sorted(SOURCES.rglob("*.py")):
        module = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute) or not node.args:
                continue
            is_logger = isinstance(node.func.value, ast.Name) and node.func.value.id == "log"
            text = node.args[0]
            if is_logger and isinstance(text, ast.Constant) and isinstance(text.value, str):
                found.append(LogLine(module, LOG_METHODS[node.func.attr], text.value))
    return found


def symptom_rows() -> list[list[str]]:
    """Return the cells of each row of the page's table of symptoms."""
    table = PAGE.partition("## Symptoms")[2].partition("\n## ")[0]
    rows = [line.strip().strip("|").split("|") for line in table.splitlines() if line.startswith("|")]
    return [[cell.strip() for cell in row] for row in rows[2:]]


def citations() -> list[Citation]:
    """Return the log lines that the table cites. A level applies to all citations since the previous level."""
    found: list[Citation] = []
    for symptom, look_for, *_ in symptom_rows():
        without_level: list[Citation] = []
        for quoted, level in QUOTED_TEXT_OR_LEVEL.findall(f"{symptom}, {look_for}"):
            if level:
                found += [citation._replace(level=level) for citation in without_level]
                without_level = []
            elif not NO_LOG_LINE.match(quoted):
                event, _, keys = quoted.partition(" … ")
                without_level.append(Citation(event, tuple(re.findall(r"(\w+)=", keys)), ""))
        assert not without_level, f"no level is given for {without_level}"
    return found


LINES = log_lines()
CITATIONS = citations()


def test_the_page_cites_log_lines_of_many_modules():
    assert len(CITATIONS) >= 30 and len({citation.event for citation in CITATIONS}) >= 25


@pytest.mark.parametrize("citation", CITATIONS, ids=lambda citation: f"{citation.event}-{citation.level}")
def test_a_cited_log_line_is_printed_at_the_cited_level(citation: Citation):
    matching = [line for line in LINES if re.match(re.escape(citation.event) + r"\b", line.format)]
    assert matching, f"no log call begins with {citation.event!r}"
    assert {line.level for line in matching} == {citation.level}
    assert all(f"{key}=%" in line.format for line in matching for key in citation.keys)


def test_the_example_line_has_the_form_that_is_printed():
    (module, text), *others = EXAMPLE_LINE.findall(PAGE)
    assert not others
    (line,) = [line for line in LINES if line.module == module and line.format.startswith(text.partition(":")[0])]
    pattern = re.sub(r"%[sdr]", lambda _: "(.+)", re.escape(line.format))
    assert re.fullmatch(pattern, text)


@pytest.mark.parametrize("cited", sorted(set(re.findall(r"`(?!docs/)([a-z_]+/[a-z_]+(?:\.\w+)*)`", PAGE))))
def test_a_cited_module_and_its_members_exist(cited: str):
    path, *members = cited.split(".")
    source = (SOURCES / f"{path}.py").read_text(encoding="utf-8")
    for member in members:
        assert re.search(rf"^\s*(?:async )?(?:def|class) {member}\b", source, re.MULTILINE), member
