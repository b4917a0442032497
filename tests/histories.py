"""Checks what a database received and which outcomes its callers were told."""

from collections import Counter

import msgspec

from lagoonstair.exceptions import Outcome
from lagoonstair.standins.database import Received

END_TARGETS = ("/v1/commit", "/v1/rollback", "closed")


def _tags(call: Received) -> set:
    statements = msgspec.json.decode(call.body).get("statements", ())
    return {statement["params"].get("tag") for statement in statements}


def mixed(received: list[Received]) -> list[str]:
    """Lists the connections on which two transactions were interleaved.

    A statement's parameter ``tag`` identifies its transaction.
    """
    open_tags: dict[int, set] = {}
    faults = []
    for call in received:
        tags = open_tags.get(call.connection, set())
        if call.target in END_TARGETS:
            open_tags.pop(call.connection, None)
        elif call.target == "/v1/run" and tags:
            faults.append(f"{call.connection}: run inside {tags}")
        elif call.target == "/v1/execute":
            tags = open_tags[call.connection] = tags | _tags(call)
            if len(tags) > 1:
                faults.append(f"{call.connection}: {tags} mixed")
    return faults


def broken(
    rows: list[str], sizes: dict[str, int], claims: dict[str, Outcome]
) -> list[str]:
    """Lists requests that ran partly, twice, or against the reported outcome.

    Args:
        rows: The tag of each row that was written.
        sizes: Number of rows that each request writes.
        claims: The final outcome reported to each caller.
    """
    counts = Counter(rows)
    allowed = {
        Outcome.ANSWERED: lambda size: {size},
        Outcome.NOT_RUN: lambda size: {0},
        Outcome.UNKNOWN: lambda size: {0, size},
    }
    return [
        f"{tag}: {counts[tag]} of {size} rows, told {claims[tag]}"
        for tag, size in sizes.items()
        if counts[tag] not in allowed[claims[tag]](size)
    ]
