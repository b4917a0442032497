"""Commands that check settings and show the configuration in force."""

from lagoonstair.cli._client import Client
from lagoonstair.cli._command import Output, run_and_print
from lagoonstair.cli._exits import Exit, UsageError
from lagoonstair.cli._table import format_table
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.settings import load_settings


def check(file: str, *, json: bool = False) -> Exit:
    """Checks the settings file of an instance and lists every error.

    Example: lagoonstair config check /etc/lagoonstair/instance.json

    Args:
        file: The settings file of one instance.
        json: Write JSON, for programs.
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
    """Shows the configuration version in force on each instance.

    Exits with 6 when an instance does not respond or its version differs.

    Example: lagoonstair config show

    Args:
        client: Sends the requests to the instances.
    """
    answer = await client.get("/v1/instances")
    columns = ("name", "answered", "version", "proof_age")
    rows = [[row[name] for name in columns] for row in answer["instances"]]
    outdated = [
        row["name"]
        for row in answer["instances"]
        if not row["answered"] or row["version"] != answer["version"]
    ]
    seconds = answer["last_change_seconds"]
    duration = "unknown" if seconds is None else f"{seconds:.3f} s"
    text = (
        f"{format_table(columns, rows)}\n"
        f"accepted version {answer['accepted']}, "
        f"the last change took {duration}"
    )
    if answer["waiting_for"]:
        text += f"\nwaiting for {answer['waiting_for']}"
    return Output(answer, text, Exit.ATTENTION if outdated else Exit.DONE)
