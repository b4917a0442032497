"""Entry point of the tool, with the table of its commands."""

import sys
from collections.abc import Sequence
from typing import Any

import defopt

from lagoonstair.cli import (
    _config,
    _explain,
    _fleet,
    _items,
    _keys,
    _request,
)
from lagoonstair.cli._command import caller_command, operator_command

PROLOGUE = "Operates a fleet of lagoonstaird instances."
"""Description at the head of the help."""
EPILOGUE = """exit codes:
  0  done; a change is in force
  1  refused; nothing was changed or run
  2  the command line, a file or the settings are invalid
  3  outcome unknown; repeat with the printed operation id
  4  no instance could be reached; nothing was sent
  5  the change is durable, but not yet in force
  6  the output calls for action

environment:
  LAGOONSTAIR_OPERATOR_URL   operator listeners, separated by commas
  LAGOONSTAIR_OPERATOR_KEY   the operator's key
  LAGOONSTAIR_CALLER_URL     a caller listener
  LAGOONSTAIR_CALLER_KEY     a caller's key
  LAGOONSTAIR_PROFILE        a JSON file with operator_urls, operator_key,
                             caller_url and caller_key

examples:
  lagoonstair config check instance.json
  lagoonstair apply shops.json --check
  lagoonstair keys issue --workspace zlab
  lagoonstair request zlab lookup --params '{"sku": "gutter-1"}'
  lagoonstair report --html burn.html
"""
"""Text at the end of the help; its exit codes are those of ``Exit``."""

COMMANDS: dict[str, Any] = {
    "keys": {
        "issue": operator_command(_keys.issue),
        "withdraw": operator_command(_keys.withdraw),
        "list": operator_command(_keys.list_keys),
    },
    "routes": _items.section_commands("routes"),
    "templates": _items.section_commands("templates"),
    "workspaces": _items.section_commands("workspaces"),
    "apply": operator_command(_items.apply),
    "config": {"check": _config.check, "show": operator_command(_config.show)},
    "status": operator_command(_fleet.status),
    "explain": _explain.explain,
    "drain": operator_command(_fleet.drain),
    "report": operator_command(_fleet.report),
    "request": caller_command(_request.request),
    "transactions": {
        "commit": caller_command(_request.commit),
        "rollback": caller_command(_request.rollback),
    },
}
"""Commands and groups of commands, by the words that select them."""


def run(argv: Sequence[str]) -> int:
    """Runs one command and returns its exit code.

    Args:
        argv: The command line without the program's name.
    """
    code = defopt.run(
        COMMANDS,
        argv=list(argv),
        no_negated_flags=True,
        argparse_kwargs={
            "prog": "lagoonstair",
            "description": PROLOGUE,
            "epilog": EPILOGUE,
        },
    )
    return int(code)


def main() -> None:
    """Runs the command in the process's arguments and exits with its code."""
    sys.exit(run(sys.argv[1:]))
