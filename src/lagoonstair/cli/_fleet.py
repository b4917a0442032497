"""Asks every instance: status, drain and the report."""

from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.cli._client import Client
from lagoonstair.cli._command import Output
from lagoonstair.cli._exits import Exit, UnreachableError
from lagoonstair.cli._table import format_table
from lagoonstair.cli._target import Target, parse_url
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.report import (
    Measurements,
    Report,
    make_report,
    render_html,
    render_text,
)

QUERY_TIMEOUT_SECONDS = 5.0


class FleetResponses(NamedTuple):
    """The answers of the addresses.

    Attributes:
        answers: Each address's answer.
        silent: Why an address gave none.
    """

    answers: dict[Address, Any]
    silent: dict[str, str]


async def status(client: Client) -> Output:
    """Shows the status of each instance.

    Exits with 6 when an instance does not answer.

    Example: lagoonstair status --operator http://127.0.0.1:7101

    Args:
        client: Calls the instances.
    """
    asked = await _query_all(client, "/v1/status")
    rows = [
        [str(address), name, value]
        for address, answer in asked.answers.items()
        for name, value in _flatten(answer)
    ]
    rows += [[name, "no answer", why] for name, why in asked.silent.items()]
    data = {
        "instances": {
            str(address): answer for address, answer in asked.answers.items()
        },
        "silent": asked.silent,
    }
    code = Exit.ATTENTION if asked.silent else Exit.DONE
    return Output(data, format_table(("instance", "what", "value"), rows), code)


async def drain(client: Client, instance: str) -> Output:
    """Stops new work on one instance; it exits once its work is done.

    Example: lagoonstair drain http://127.0.0.1:7101

    Args:
        client: Calls the instances.
        instance: Where the instance listens for operators.
    """
    one = Client(Target((parse_url(instance),), client.target.key))
    answer = await one.post_once("/v1/drain", b"")
    return Output(answer, f"{instance} is draining")


async def report(client: Client, *, html: str = "") -> Output:
    """Reports the burn of each workspace's service-level objectives.

    Exits with 6 when a budget burns too fast, a gap is over its objective, or
    an instance does not answer.

    Example: lagoonstair report --html burn.html

    Args:
        client: Calls the instances.
        html: Write one HTML page to this file too.
    """
    asked = await _query_all(client, "/v1/measurements")
    parts = []
    silent = dict(asked.silent)
    for address, answer in asked.answers.items():
        try:
            parts.append(msgspec.convert(answer, Measurements))
        except msgspec.ValidationError as exc:
            silent[str(address)] = f"unreadable: {exc}"
    silent |= await _find_missing_instances(
        client, {part.instance for part in parts}
    )
    made = make_report(parts, silent=silent)
    if html:
        page = trio.Path(Path(html))
        await page.write_text(render_html(made), encoding="utf-8")
    code = Exit.ATTENTION if _needs_attention(made) else Exit.DONE
    return Output(
        msgspec.to_builtins(made, str_keys=True), render_text(made), code
    )


def _needs_attention(made: Report) -> bool:
    burning = any(workspace.burning for workspace in made.workspaces)
    return burning or bool(made.silent)


async def _find_missing_instances(
    client: Client, answered: set[str]
) -> dict[str, str]:
    """Names the joined instances whose counts are missing."""
    try:
        with trio.fail_after(QUERY_TIMEOUT_SECONDS):
            instances = (await client.get("/v1/instances"))["instances"]
    except (LagoonstairError, UnreachableError, trio.TooSlowError) as exc:
        return {"joined instances": f"not known: {exc or 'no answer in time'}"}
    return {
        instance["name"]: "joined, and gave no counts"
        for instance in instances
        if instance["name"] not in answered
    }


async def _query_all(client: Client, path: str) -> FleetResponses:
    answers: dict[Address, Any] = {}
    silent: dict[str, str] = {}

    async def ask(address: Address) -> None:
        one = Client(Target((address,), client.target.key))
        try:
            with trio.fail_after(QUERY_TIMEOUT_SECONDS):
                answers[address] = await one.get(path)
        except (LagoonstairError, UnreachableError) as exc:
            silent[str(address)] = str(exc)
        except trio.TooSlowError:
            silent[str(address)] = f"no answer in {QUERY_TIMEOUT_SECONDS:g} s"

    async with trio.open_nursery() as nursery:
        for address in client.target.addresses:
            nursery.start_soon(ask, address)
    return FleetResponses(dict(sorted(answers.items())), silent)


def _flatten(answer: Any, prefix: str = "") -> list[tuple[str, Any]]:
    if not isinstance(answer, dict):
        return [(prefix, answer)]
    return [
        pair
        for name, value in answer.items()
        for pair in _flatten(value, f"{prefix}.{name}" if prefix else name)
    ]
