"""Runs the main job on embedded stand-ins and prints what happened."""

import itertools
import sys
import time
from typing import Any, NamedTuple

import msgspec
import trio

from lagoonstair.demo._fleet import Fleet, FleetPlan, call
from lagoonstair.demo._samples import load_sample

ROW_FORMAT = "{:<16}{:<18}{:<10}{:>7}{:<10}{:>6}{:>8}{:>9}  {}"
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
    """One request of the demonstration.

    Attributes:
        workspace: On whose behalf it is sent.
        route: The route.
        params: Its parameters.
        expected: The rows that the last statement must give, if it reads.
        open: Whether it is sent without a key.
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
    """Runs the steps, each at another instance; returns the exit code."""
    wrong = 0
    async with trio.open_nursery() as nursery:
        fleet = await Fleet.start(FleetPlan(), nursery)
        for sample in ("medostreh", "vembanad"):
            await fleet.call_operator("POST", "/v1/apply", load_sample(sample))
        keys = {
            name: await fleet.issue_key(name)
            for name in sorted({step.workspace for step in DEMO_REQUESTS})
        }
        sessions: dict[str, str] = {}
        print(HEADER)
        entries = itertools.cycle(fleet.daemons)
        for step, entry in zip(DEMO_REQUESTS, entries, strict=False):
            wrong += not await _send_and_check(
                fleet, step, entry, keys, sessions
            )
        nursery.cancel_scope.cancel()
    print(
        f"\n{len(DEMO_REQUESTS) - wrong} of {len(DEMO_REQUESTS)} "
        "answers were right"
    )
    return 1 if wrong else 0


async def _send_and_check(
    fleet: Fleet,
    step: DemoRequest,
    entry: str,
    keys: dict[str, str],
    sessions: dict[str, str],
) -> bool:
    address = fleet.daemons[entry].callers
    assert address is not None
    body: dict[str, Any] = {"params": step.params}
    if step.workspace in sessions:
        body["session"] = sessions[step.workspace]
    began = time.perf_counter()
    answer = await call(
        address,
        "POST",
        f"/v1/workspaces/{step.workspace}/routes/{step.route}",
        body,
        key=None if step.open else keys[step.workspace],
    )
    milliseconds = (time.perf_counter() - began) * 1000
    found = msgspec.json.decode(answer.body)
    right = answer.status == 200
    if right:
        sessions[step.workspace] = found["session"]
        right = step.expected in (None, found["results"][-1])
    served = found.get("served_by") or {}
    print(
        ROW_FORMAT.format(
            step.workspace,
            step.route,
            entry,
            f"{served.get('instance', '-')} >",
            f" {served.get('endpoint', '-')}",
            served.get("term", "-"),
            served.get("offset", "-"),
            f"{milliseconds:.1f}",
            "right" if right else f"WRONG: {found}",
        )
    )
    return right


def main() -> None:
    """Runs the demonstration."""
    sys.exit(trio.run(run_demo))


if __name__ == "__main__":
    main()
