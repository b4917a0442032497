"""Tests that the operators' documentation agrees with the code."""

import pathlib
import re

import pytest

from lagoonstair.cli import Exit
from lagoonstair.cli._main import COMMANDS
from lagoonstair.exceptions import ERROR_RESPONSES, ErrorKind

ROOT = pathlib.Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")


def _rows(first: str) -> list[list[str]]:
    """Returns the cells of the table rows that begin with a pattern."""
    lines = [line for line in PAGE.splitlines() if re.match(first, line)]
    return [[cell.strip() for cell in line.split("|")[1:-1]] for line in lines]


@pytest.mark.parametrize("kind", ErrorKind)
def test_each_error_kind_is_documented(kind):
    (row,) = _rows(rf"\| `{kind}` \| \d")
    answer = ERROR_RESPONSES[kind]
    assert row[1] == str(answer.status)
    assert row[2].replace(" ", "_") == answer.outcome
    assert row[3].replace(" ", "_") == answer.retry
    assert all(row[4:])


def test_each_exit_code_is_documented():
    rows = _rows(r"\| \d \|")
    assert [int(row[0]) for row in rows] == [code.value for code in Exit]


def test_each_documented_command_exists():
    pages = PAGE + (ROOT / "README.md").read_text(encoding="utf-8")
    used = set(re.findall(r"^lagoonstair ([a-z]+)(?: ([a-z]+))?", pages, re.M))
    assert used
    for first, second in used:
        commands = COMMANDS[first]
        assert not isinstance(commands, dict) or second in commands
