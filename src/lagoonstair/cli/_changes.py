"""Shows the answer to a change."""

from typing import Any

from lagoonstair.cli._command import Output
from lagoonstair.cli._exits import Exit


def change_output(answer: dict[str, Any], text: str) -> Output:
    """Shows a change's version and whether it is in force."""
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
