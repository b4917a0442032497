"""Calls a member of a group with a slot and a connection of its own."""

import contextlib
import itertools
from collections.abc import AsyncIterator

from lagoonstair.pool import Lease
from lagoonstair.ports import (
    EndpointRefusedError,
    EndpointUnreachableError,
    ResultUnknownError,
)
from lagoonstair.service._group_runtime import GroupRuntime
from lagoonstair.service._messages import Forward
from lagoonstair.service._refusals import (
    refusal_error,
    unavailable_error,
    unknown_error,
)

_call_ids = itertools.count(1)


def next_call_id() -> int:
    """A number for the next call on any connection."""
    return next(_call_ids)


@contextlib.asynccontextmanager
async def leased_connection(
    group: GroupRuntime, member: str, req: Forward, *, deadline: float
) -> AsyncIterator[Lease]:
    """Lends a slot and a connection of a member for one call.

    Args:
        group: The member's group.
        member: The member.
        req: On whose behalf.
        deadline: When the slot must have been got.

    Raises:
        LagoonstairError: The call was refused or not sent, or its outcome is
            unknown.
    """
    database = group.database(member)
    try:
        async with (
            database.slots.slot(
                req.workspace, deadline=deadline, key_id=req.key_id or ""
            ),
            database.pool.connection() as conn,
        ):
            yield conn
    except EndpointRefusedError as exc:
        raise refusal_error(exc) from exc
    except EndpointUnreachableError as exc:
        raise unavailable_error(f"{member} is not reached") from exc
    except ResultUnknownError as exc:
        raise unknown_error(f"{member} did not answer") from exc
