"""Reads and writes routes, templates and workspaces."""

import json
import sys
import urllib.parse
from typing import Any

from lagoonstair.cli._changes import change_output
from lagoonstair.cli._client import Client
from lagoonstair.cli._command import Command, Output, ensure_operation_id
from lagoonstair.cli._command import operator_command as command
from lagoonstair.cli._exits import UsageError
from lagoonstair.cli._target import read_file

PUT_DOC = """Writes one of the {section} from a JSON file.

Example: lagoonstair {section} put shop shop.json --if-version 12

Args:
    name: Its name.
    file: A JSON file; - reads the standard input.
    if_version: Refuse if it was changed after this version.
    operation_id: Repeats an earlier command whose outcome is unknown.
"""
GET_DOC = """Shows one of the {section}, with the version that changed it.

Example: lagoonstair {section} get shop

Args:
    name: Its name.
"""
CHECK_DOC = """Checks one of the {section} from a JSON file; changes nothing.

Example: lagoonstair {section} check shop shop.json

Args:
    name: Its name.
    file: A JSON file; - reads the standard input.
"""


def section_commands(section: str) -> dict[str, Command]:
    """Makes the commands of a section of the configuration."""

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
    return {"put": command(put), "get": command(get), "check": command(check)}


async def apply(
    client: Client,
    file: str,
    *,
    check: bool = False,
    if_version: int | None = None,
    operation_id: str = "",
) -> Output:
    """Applies a JSON document of routes, templates and workspaces at once.

    The document lives in version control. An item that it doesn't name stays
    as it is; null removes one. Either all of it takes effect or none.

    Example: lagoonstair apply shops.json --check

    Args:
        client: Calls the instances.
        file: A JSON file; - reads the standard input.
        check: Only show what would change.
        if_version: Refuse if the configuration was changed after this version.
        operation_id: Repeats an earlier command whose outcome is unknown.
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
        client: Calls the instances.
        document: What ``apply`` would send.
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
    """Reads a JSON file, or the standard input for ``-``.

    Raises:
        UsageError: It can't be read or is no JSON.
    """
    content = sys.stdin.buffer.read() if path == "-" else read_file(path)
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as exc:
        raise UsageError(f"{path}: no JSON: {exc}") from exc


def _format_changes(answer: dict[str, Any]) -> str:
    return "\n".join(answer["changes"]) or "no change"


def _item_path(section: str, name: str) -> str:
    return f"/v1/{section}/{urllib.parse.quote(name, safe='')}"
