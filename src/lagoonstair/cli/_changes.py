"""Formats the response to a change of the configuration."""

from typing import Any

from lagoonstair.cli._command import Output
from lagoonstair.cli._exits import Exit


def change_output(answer: dict[str, Any], text: str) -> Output:
    """Formats a change's version and whether it is in force.

    Args:
        answer: The response body, with ``version``, ``in_force`` and
            ``pending``, the names of instances that have yet to confirm.
        text: A description of the change, shown before its version.

    Returns:
        The output; its exit code is ``NOT_IN_FORCE`` while the change is
        durable only.
    """
    version = answer["version"]
    if answer["in_force"]:
        where = f"version {version} is in force"
        pending = answer.get("pending") or []
        if pending:
            where += f"; not yet confirmed by {', '.join(pending)}"
        return Output(answer, f"{text}\n{where}")
    waiting = ", ".join(answer["pending"]) or "a majority"
    where = f"version {version} is durable, waiting for {waiting}"
    return Output(answer, f"{text}\n{where}", Exit.NOT_IN_FORCE)
