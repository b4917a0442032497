"""Commands status, drain and report, which contact each instance itself."""

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
"""Longest time, in seconds, that a query may take, with its retries."""


class FleetResponses(NamedTuple):
    """The responses of all addresses to one query.

    Attributes:
        answers: The decoded response bodies by address.
        silent: Why there is no response, by address.
    """

    answers: dict[Address, Any]
    silent: dict[str, str]


async def status(client: Client) -> Output:
    """Shows the status of each instance.

    Exits with 6 when an instance does not respond.

    Example: lagoonstair status --operator http://127.0.0.1:7101

    Args:
        client: Sends the requests to the instances.
    """
    responses = await _query_all(client, "/v1/status")
    rows = [
        [str(address), name, value]
        for address, answer in responses.answers.items()
        for name, value in _flatten(answer)
    ]
    rows += [
        [name, "no answer", reason] for name, reason in responses.silent.items()
    ]
    data = {
        "instances": {
            str(address): answer
            for address, answer in responses.answers.items()
        },
        "silent": responses.silent,
    }
    code = Exit.ATTENTION if responses.silent else Exit.DONE
    return Output(data, format_table(("instance", "what", "value"), rows), code)


async def drain(client: Client, instance: str) -> Output:
    """Drains one instance: it takes no new work and exits when it has none.

    Example: lagoonstair drain http://127.0.0.1:7101

    Args:
        client: Sends the requests to the instances.
        instance: The address of the instance's operator listener.
    """
    instance_client = Client(Target((parse_url(instance),), client.target.key))
    answer = await instance_client.post_once("/v1/drain", b"")
    return Output(answer, f"{instance} is draining")


async def report(client: Client, *, html: str = "") -> Output:
    """Reports the burn rates of each workspace's error budgets.

    Exits with 6 when a budget burns too fast, a gap in service exceeds its
    objective, or an instance does not respond.

    Example: lagoonstair report --html burn.html

    Args:
        client: Sends the requests to the instances.
        html: Also write the report to this file, as one HTML page.
    """
    responses = await _query_all(client, "/v1/measurements")
    parts = []
    silent = dict(responses.silent)
    for address, answer in responses.answers.items():
        try:
            parts.append(msgspec.convert(answer, Measurements))
        except msgspec.ValidationError as exc:
            silent[str(address)] = f"unreadable: {exc}"
    silent |= await _find_missing_instances(
        client, {part.instance for part in parts}
    )
    fleet_report = make_report(parts, silent=silent)
    if html:
        page = trio.Path(Path(html))
        await page.write_text(render_html(fleet_report), encoding="utf-8")
    code = Exit.ATTENTION if _needs_attention(fleet_report) else Exit.DONE
    return Output(
        msgspec.to_builtins(fleet_report, str_keys=True),
        render_text(fleet_report),
        code,
    )


def _needs_attention(fleet_report: Report) -> bool:
    """Tells whether a report shows a breach or lacks an instance."""
    burning = any(workspace.burning for workspace in fleet_report.workspaces)
    return burning or bool(fleet_report.silent)


async def _find_missing_instances(
    client: Client, answered: set[str]
) -> dict[str, str]:
    """Finds the joined instances whose measurements are missing.

    Args:
        client: Sends the requests to the instances.
        answered: The names of the instances that gave their measurements.

    Returns:
        The reason by instance name; one entry for all of them if the joined
        instances can't be read.
    """
    try:
        with trio.fail_after(QUERY_TIMEOUT_SECONDS):
            instances = (await client.get("/v1/instances"))["instances"]
    except (LagoonstairError, UnreachableError, trio.TooSlowError) as exc:
        return {"joined instances": f"unknown: {exc or 'no answer in time'}"}
    return {
        instance["name"]: "joined, but gave no counts"
        for instance in instances
        if instance["name"] not in answered
    }


async def _query_all(client: Client, path: str) -> FleetResponses:
    """Sends a GET request to every address at once."""
    answers: dict[Address, Any] = {}
    silent: dict[str, str] = {}

    async def query(address: Address) -> None:
        instance_client = Client(Target((address,), client.target.key))
        try:
            with trio.fail_after(QUERY_TIMEOUT_SECONDS):
                answers[address] = await instance_client.get(path)
        except (LagoonstairError, UnreachableError) as exc:
            silent[str(address)] = str(exc)
        except trio.TooSlowError:
            silent[str(address)] = f"no answer in {QUERY_TIMEOUT_SECONDS:g} s"

    async with trio.open_nursery() as nursery:
        for address in client.target.addresses:
            nursery.start_soon(query, address)
    return FleetResponses(dict(sorted(answers.items())), silent)


def _flatten(answer: Any, prefix: str = "") -> list[tuple[str, Any]]:
    """Flattens nested objects to pairs of a dotted name and a value."""
    if not isinstance(answer, dict):
        return [(prefix, answer)]
    return [
        pair
        for name, value in answer.items()
        for pair in _flatten(value, f"{prefix}.{name}" if prefix else name)
    ]
