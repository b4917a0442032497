"""Checks settings and shows which configuration is in force."""

from lagoonstair.cli._client import Client
from lagoonstair.cli._command import Output, run_and_print
from lagoonstair.cli._exits import Exit, UsageError
from lagoonstair.cli._table import format_table
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.settings import load_settings


def check(file: str, *, json: bool = False) -> Exit:
    """Checks the settings file of an instance and names every fault.

    Example: lagoonstair config check /etc/lagoonstair/instance.json

    Args:
        file: The settings of one instance.
        json: Write JSON, for a program to read.
    """

    async def run() -> Output:
        try:
            settings = load_settings(file)
        except LagoonstairError as exc:
            raise UsageError(exc.message) from exc
        data = {"name": settings.name, "valid": True}
        return Output(data, f"{file}: settings of {settings.name} are valid")

    return run_and_print(run, json=json)


async def show(client: Client) -> Output:
    """Shows the version in force on each instance.

    Exits with 6 when an instance does not answer or is behind.

    Example: lagoonstair config show

    Args:
        client: Calls the instances.
    """
    answer = await client.get("/v1/instances")
    names = ("name", "answered", "version", "proof_age")
    rows = [[row[name] for name in names] for row in answer["instances"]]
    behind = [
        row["name"]
        for row in answer["instances"]
        if not row["answered"] or row["version"] != answer["version"]
    ]
    seconds = answer["last_change_seconds"]
    took = "unknown" if seconds is None else f"{seconds:.3f} s"
    text = (
        f"{format_table(names, rows)}\naccepted version {answer['accepted']}, "
        f"the last change took {took}"
    )
    if answer["waiting_for"]:
        text += f"\nwaiting for {answer['waiting_for']}"
    return Output(answer, text, Exit.ATTENTION if behind else Exit.DONE)
