"""The table of commands."""

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
from lagoonstair.cli._command import caller_command
from lagoonstair.cli._command import operator_command as command

PROLOGUE = "Operates a fleet of lagoonstaird instances."
EPILOGUE = """exit codes:
  0  done; a change is in force
  1  refused; nothing was changed or run
  2  the command line, a file or the settings are wrong
  3  no answer came; repeat with the operation id that was printed
  4  no instance could be reached; nothing was sent
  5  a change is durable, but not yet in force
  6  what is shown needs attention

environment:
  LAGOONSTAIR_OPERATOR_URL   operators' listeners, with commas between
  LAGOONSTAIR_OPERATOR_KEY   the operator's key
  LAGOONSTAIR_CALLER_URL     a callers' listener
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

COMMANDS: dict[str, Any] = {
    "keys": {
        "issue": command(_keys.issue),
        "withdraw": command(_keys.withdraw),
        "list": command(_keys.list_keys),
    },
    "routes": _items.section_commands("routes"),
    "templates": _items.section_commands("templates"),
    "workspaces": _items.section_commands("workspaces"),
    "apply": command(_items.apply),
    "config": {"check": _config.check, "show": command(_config.show)},
    "status": command(_fleet.status),
    "explain": _explain.explain,
    "drain": command(_fleet.drain),
    "report": command(_fleet.report),
    "request": caller_command(_request.request),
    "transactions": {
        "commit": caller_command(_request.commit),
        "rollback": caller_command(_request.rollback),
    },
}


def run(argv: Sequence[str]) -> int:
    """Runs one command and returns its exit code."""
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
    """Runs the command that the process was started with."""
    sys.exit(run(sys.argv[1:]))
