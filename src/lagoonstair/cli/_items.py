"""Commands that read and write routes, templates and workspaces."""

import json
import sys
import urllib.parse
from typing import Any

from lagoonstair.cli._changes import change_output
from lagoonstair.cli._client import Client
from lagoonstair.cli._command import (
    Command,
    Output,
    ensure_operation_id,
    operator_command,
)
from lagoonstair.cli._exits import UsageError
from lagoonstair.cli._target import read_file

PUT_DOC = """Writes one of the {section} from a JSON file.

Example: lagoonstair {section} put shop shop.json --if-version 12

Args:
    name: The item's name.
    file: A JSON file; - reads standard input.
    if_version: Refuse if the item was changed after this version.
    operation_id: Id of an earlier command to repeat, whose outcome is
        unknown.
"""
GET_DOC = """Shows one of the {section}, with the version that changed it.

Example: lagoonstair {section} get shop

Args:
    name: The item's name.
"""
CHECK_DOC = """Checks one of the {section} from a JSON file; changes nothing.

Example: lagoonstair {section} check shop shop.json

Args:
    name: The item's name.
    file: A JSON file; - reads standard input.
"""


def section_commands(section: str) -> dict[str, Command]:
    """Builds the commands of a section of the configuration.

    Args:
        section: ``routes``, ``templates`` or ``workspaces``.

    Returns:
        The commands by name.
    """

    async def put(
        client: Client,
        name: str,
        file: str,
        *,
        if_version: int | None = None,
        operation_id: str = "",
    ) -> Output:
        answer = await client.change(
            "PUT",
            _item_path(section, name),
            json.dumps(read_document(file)).encode(),
            operation_id=ensure_operation_id(operation_id),
            if_version=if_version,
        )
        return change_output(answer, f"{section}/{name} written")

    async def get(client: Client, name: str) -> Output:
        answer = await client.get(_item_path(section, name))
        text = json.dumps(answer["item"], indent=2)
        return Output(
            answer, f"{text}\nlast changed in version {answer['changed']}"
        )

    async def check(client: Client, name: str, file: str) -> Output:
        document = {section: {name: read_document(file)}}
        return await check_document(client, document)

    put.__doc__ = PUT_DOC.format(section=section)
    get.__doc__ = GET_DOC.format(section=section)
    check.__doc__ = CHECK_DOC.format(section=section)
    return {
        "put": operator_command(put),
        "get": operator_command(get),
        "check": operator_command(check),
    }


async def apply(
    client: Client,
    file: str,
    *,
    check: bool = False,
    if_version: int | None = None,
    operation_id: str = "",
) -> Output:
    """Applies a JSON document of routes, templates and workspaces atomically.

    The document is meant for version control. Items that it does not name
    stay unchanged; null removes an item.

    Example: lagoonstair apply shops.json --check

    Args:
        client: Sends the requests to the instances.
        file: A JSON file; - reads standard input.
        check: Show what would change, without changing it.
        if_version: Refuse if the configuration was changed after this version.
        operation_id: Id of an earlier command to repeat, whose outcome is
            unknown.
    """
    document = read_document(file)
    if check:
        return await check_document(client, document)
    answer = await client.change(
        "POST",
        "/v1/apply",
        json.dumps(document).encode(),
        operation_id=ensure_operation_id(operation_id),
        if_version=if_version,
    )
    return change_output(answer, _format_changes(answer))


async def check_document(client: Client, document: Any) -> Output:
    """Checks a document against the configuration in force.

    Args:
        client: Sends the requests to the instances.
        document: The document to check, as for ``apply``.
    """
    answer = await client.post_once(
        "/v1/apply?check=1", json.dumps(document).encode()
    )
    text = (
        f"{_format_changes(answer)}\n"
        f"checked against version {answer['version']}"
    )
    return Output(answer, text)


def read_document(path: str) -> Any:
    """Reads a JSON file, or standard input for ``-``.

    Raises:
        UsageError: The file can't be read or is not valid JSON.
    """
    content = sys.stdin.buffer.read() if path == "-" else read_file(path)
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as exc:
        raise UsageError(f"{path}: invalid JSON: {exc}") from exc


def _format_changes(answer: dict[str, Any]) -> str:
    """Formats the changes in a response of ``/v1/apply``, one per line."""
    return "\n".join(answer["changes"]) or "no change"


def _item_path(section: str, name: str) -> str:
    """Returns the request path of an item."""
    return f"/v1/{section}/{urllib.parse.quote(name, safe='')}"
