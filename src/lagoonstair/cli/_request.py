"""Sends a caller's request."""

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
    """Sends one request as a caller does, and shows the whole answer.

    Example: lagoonstair request zlab lookup --params '{"sku": "gutter-1"}'

    Args:
        client: Calls the instances.
        workspace: The workspace to run in.
        route: The route to run.
        params: The statements' parameters, as a JSON object.
        request_id: Makes a write run at most once, however often it is sent.
        session: The session token of an earlier answer.
        transaction: The word begin, or the token of an open transaction.
    """
    body: dict[str, Any] = {"params": _parse_params(params)}
    extra = {
        "request_id": request_id,
        "session": session,
        "transaction": transaction,
    }
    body |= {name: value for name, value in extra.items() if value}
    answer = await client.post_once(
        f"/v1/workspaces/{_quote_segment(workspace)}/routes/{_quote_segment(route)}",
        json.dumps(body).encode(),
    )
    return Output(answer, json.dumps(answer, indent=2))


async def commit(client: Client, transaction: str) -> Output:
    """Commits an open transaction.

    Example: lagoonstair transactions commit TOKEN

    Args:
        client: Calls the instances.
        transaction: The transaction's token.
    """
    return await _end_transaction(client, transaction, "commit")


async def rollback(client: Client, transaction: str) -> Output:
    """Rolls an open transaction back.

    Example: lagoonstair transactions rollback TOKEN

    Args:
        client: Calls the instances.
        transaction: The transaction's token.
    """
    return await _end_transaction(client, transaction, "rollback")


async def _end_transaction(
    client: Client, transaction: str, how: str
) -> Output:
    path = f"/v1/transactions/{_quote_segment(transaction)}/{how}"
    answer = await client.post_once(path, b"{}")
    return Output(answer, json.dumps(answer, indent=2))


def _parse_params(text: str) -> dict[str, Any]:
    try:
        params = json.loads(text)
    except ValueError as exc:
        raise UsageError(f"--params: no JSON: {exc}") from exc
    if not isinstance(params, dict):
        raise UsageError("--params: expected a JSON object")
    return params


def _quote_segment(text: str) -> str:
    return urllib.parse.quote(text, safe="")
