"""Commands that issue, withdraw and list keys."""

import json
import urllib.parse
from typing import Any

from lagoonstair.cli._changes import change_output
from lagoonstair.cli._client import Client
from lagoonstair.cli._command import Output, ensure_operation_id
from lagoonstair.cli._exits import UsageError
from lagoonstair.cli._table import format_table

KEY_PREFIX = "ls_"
"""Prefix of every key, which tells a key from its id."""


async def issue(
    client: Client,
    *,
    workspace: str = "",
    for_operator: bool = False,
    operation_id: str = "",
) -> Output:
    """Issues a key and prints it; no other command shows it.

    Example: lagoonstair keys issue --workspace zlab

    Args:
        client: Sends the requests to the instances.
        workspace: The workspace to issue the key for.
        for_operator: Issue an operator's key instead.
        operation_id: Id of an earlier command to repeat, whose outcome is
            unknown.
    """
    if for_operator == bool(workspace):
        raise UsageError("use either --workspace or --for-operator")
    body = {"role": "operator"} if for_operator else {"workspace": workspace}
    answer = await client.change(
        "POST",
        "/v1/keys",
        json.dumps(body).encode(),
        operation_id=ensure_operation_id(operation_id),
    )
    text = f"id  {answer['id']}\nkey {answer['key']}"
    return change_output(answer, text)


async def withdraw(
    client: Client, key_id: str, *, operation_id: str = ""
) -> Output:
    """Withdraws a key, also for callers that are already connected.

    Example: lagoonstair keys withdraw 0123456789abcdef

    Args:
        client: Sends the requests to the instances.
        key_id: The key's public part, as ``keys list`` shows it.
        operation_id: Id of an earlier command to repeat, whose outcome is
            unknown.
    """
    if key_id.startswith(KEY_PREFIX):
        raise UsageError("give the key's id, not the key")
    answer = await client.change(
        "DELETE",
        f"/v1/keys/{urllib.parse.quote(key_id, safe='')}",
        b"",
        operation_id=ensure_operation_id(operation_id),
    )
    return change_output(answer, f"withdrawn {key_id}")


async def list_keys(client: Client, *, workspace: str = "") -> Output:
    """Lists the keys in force, without their secrets.

    Example: lagoonstair keys list --workspace zlab

    Args:
        client: Sends the requests to the instances.
        workspace: List only the keys of this workspace.
    """
    query = urllib.parse.urlencode({"workspace": workspace})
    path = f"/v1/keys?{query}" if workspace else "/v1/keys"
    answer = await client.get(path)
    return Output(answer, _format_keys(answer["keys"]))


def _format_keys(keys: list[dict[str, Any]]) -> str:
    """Formats keys as a table."""
    columns = ("id", "workspace", "role", "created_version")
    return format_table(
        columns, ([key[name] for name in columns] for key in keys)
    )
