"""Sends sample requests to an embedded fleet and prints the responses."""

import itertools
import sys
import time
from typing import Any, NamedTuple

import msgspec
import trio

from lagoonstair.demo._fleet import Fleet, FleetPlan, call
from lagoonstair.demo._samples import load_sample

ROW_FORMAT = "{:<16}{:<18}{:<10}{:>7}{:<10}{:>6}{:>8}{:>9}  {}"
"""Format of one row of the printed table."""
HEADER = ROW_FORMAT.format(
    "workspace",
    "route",
    "entry",
    "",
    " database",
    "term",
    "offset",
    "ms",
    "answer",
)


class DemoRequest(NamedTuple):
    """One request of the demo.

    Attributes:
        workspace: The workspace to run in.
        route: The route to run.
        params: The parameters of the route's statements.
        expected: The rows that the last statement must return; None if it
            writes.
        open: Whether the request is sent without a key.
    """

    workspace: str
    route: str
    params: dict[str, Any]
    expected: list[list[Any]] | None = None
    open: bool = False


DEMO_REQUESTS = (
    DemoRequest(
        "zlab-zvolen",
        "order-request",
        {"order_no": "Z-1", "run_mm": 6000, "brackets": 12, "sheets": 3},
    ),
    DemoRequest(
        "zlab-zvolen",
        "order-status",
        {"order_no": "Z-1"},
        [["Z-1", 6000, 12, 3]],
    ),
    DemoRequest(
        "zlab-zvolen", "catalogue-price", {"profile": "K5", "price_cents": 1990}
    ),
    DemoRequest(
        "zlab-zvolen", "catalogue-lookup", {"profile": "K5"}, [["K5", 1990]]
    ),
    DemoRequest(
        "zlab-detva", "site-note", {"site": "roof 7", "note": "8.20 m"}
    ),
    DemoRequest(
        "zlab-detva", "site-notes", {"site": "roof 7"}, [["roof 7", "8.20 m"]]
    ),
    DemoRequest("vembanad-kochi", "stock-blank", {"blank": "MG-11", "free": 2}),
    DemoRequest("vembanad-kochi", "reserve", {"blank": "MG-11", "hold": "h1"}),
    DemoRequest("vembanad-kochi", "confirm", {"hold": "h1"}),
    DemoRequest("vembanad-kochi", "release", {"hold": "h1"}),
    DemoRequest(
        "vembanad-kochi",
        "hold-status",
        {"hold": "h1"},
        [["h1", "MG-11", "released", 1]],
    ),
    DemoRequest(
        "vembanad-kochi",
        "portal-lookup",
        {"blank": "MG-11"},
        [["MG-11", 1]],
        open=True,
    ),
)


async def run_demo() -> int:
    """Sends each request to the next instance in turn.

    Returns:
        The exit code: 1 if a response was wrong, else 0.
    """
    wrong_count = 0
    async with trio.open_nursery() as nursery:
        fleet = await Fleet.start(FleetPlan(), nursery)
        for sample in ("medostreh", "vembanad"):
            await fleet.call_operator("POST", "/v1/apply", load_sample(sample))
        keys = {
            name: await fleet.issue_key(name)
            for name in sorted({request.workspace for request in DEMO_REQUESTS})
        }
        sessions: dict[str, str] = {}
        print(HEADER)
        entries = itertools.cycle(fleet.daemons)
        for request, entry in zip(DEMO_REQUESTS, entries, strict=False):
            wrong_count += not await _send_and_check(
                fleet, request, entry, keys, sessions
            )
        nursery.cancel_scope.cancel()
    print(
        f"\n{len(DEMO_REQUESTS) - wrong_count} of {len(DEMO_REQUESTS)} "
        "answers were right"
    )
    return 1 if wrong_count else 0


async def _send_and_check(
    fleet: Fleet,
    request: DemoRequest,
    entry: str,
    keys: dict[str, str],
    sessions: dict[str, str],
) -> bool:
    """Sends one request, prints a row, and tells whether the response is right.

    Args:
        fleet: The running fleet.
        request: The request to send.
        entry: The name of the instance to send it to.
        keys: The callers' keys by workspace.
        sessions: The latest session token by workspace, which is updated.
    """
    address = fleet.daemons[entry].callers
    assert address is not None
    body: dict[str, Any] = {"params": request.params}
    if request.workspace in sessions:
        body["session"] = sessions[request.workspace]
    began = time.perf_counter()
    answer = await call(
        address,
        "POST",
        f"/v1/workspaces/{request.workspace}/routes/{request.route}",
        body,
        key=None if request.open else keys[request.workspace],
    )
    milliseconds = (time.perf_counter() - began) * 1000
    content = msgspec.json.decode(answer.body)
    right = answer.status == 200
    if right:
        sessions[request.workspace] = content["session"]
        right = request.expected in (None, content["results"][-1])
    served = content.get("served_by") or {}
    print(
        ROW_FORMAT.format(
            request.workspace,
            request.route,
            entry,
            f"{served.get('instance', '-')} >",
            f" {served.get('endpoint', '-')}",
            served.get("term", "-"),
            served.get("offset", "-"),
            f"{milliseconds:.1f}",
            "right" if right else f"WRONG: {content}",
        )
    )
    return right


def main() -> None:
    """Runs the demo and exits with its code."""
    sys.exit(trio.run(run_demo))


if __name__ == "__main__":
    main()
