"""Commands that send requests as a caller."""

import json
import urllib.parse
from typing import Any

from lagoonstair.cli._client import Client
from lagoonstair.cli._command import Output
from lagoonstair.cli._exits import UsageError


async def request(
    client: Client,
    workspace: str,
    route: str,
    *,
    params: str = "{}",
    request_id: str = "",
    session: str = "",
    transaction: str = "",
) -> Output:
    """Sends one request as a caller and shows the complete response.

    Example: lagoonstair request zlab lookup --params '{"sku": "gutter-1"}'

    Args:
        client: Sends the requests to the instances.
        workspace: The workspace to run in.
        route: The route to run.
        params: The statements' parameters, as a JSON object.
        request_id: Id that makes a write take effect at most once, however
            often it is sent.
        session: The session token of an earlier response.
        transaction: The word begin, or the token of an open transaction.
    """
    body: dict[str, Any] = {"params": _parse_params(params)}
    optional_fields = {
        "request_id": request_id,
        "session": session,
        "transaction": transaction,
    }
    body |= {name: value for name, value in optional_fields.items() if value}
    answer = await client.post_once(
        f"/v1/workspaces/{_quote_segment(workspace)}/routes/{_quote_segment(route)}",
        json.dumps(body).encode(),
    )
    return Output(answer, json.dumps(answer, indent=2))


async def commit(client: Client, transaction: str) -> Output:
    """Commits an open transaction.

    Example: lagoonstair transactions commit TOKEN

    Args:
        client: Sends the requests to the instances.
        transaction: The transaction's token.
    """
    return await _end_transaction(client, transaction, "commit")


async def rollback(client: Client, transaction: str) -> Output:
    """Rolls an open transaction back.

    Example: lagoonstair transactions rollback TOKEN

    Args:
        client: Sends the requests to the instances.
        transaction: The transaction's token.
    """
    return await _end_transaction(client, transaction, "rollback")


async def _end_transaction(
    client: Client, transaction: str, action: str
) -> Output:
    """Ends a transaction.

    Args:
        client: Sends the requests to the instances.
        transaction: The transaction's token.
        action: ``commit`` or ``rollback``.
    """
    path = f"/v1/transactions/{_quote_segment(transaction)}/{action}"
    answer = await client.post_once(path, b"{}")
    return Output(answer, json.dumps(answer, indent=2))


def _parse_params(text: str) -> dict[str, Any]:
    """Parses the value of ``--params``.

    Raises:
        UsageError: The text is not a JSON object.
    """
    try:
        params = json.loads(text)
    except ValueError as exc:
        raise UsageError(f"--params: invalid JSON: {exc}") from exc
    if not isinstance(params, dict):
        raise UsageError("--params: expected a JSON object")
    return params


def _quote_segment(text: str) -> str:
    """Percent-encodes a text for use as one segment of a path."""
    return urllib.parse.quote(text, safe="")
