"""Slots and connections for single calls to the members of a group."""

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
    """Returns an ID for a call, unique within this process."""
    return next(_call_ids)


@contextlib.asynccontextmanager
async def leased_connection(
    group: GroupRuntime, member: str, req: Forward, *, deadline: float
) -> AsyncIterator[Lease]:
    """Acquires a slot and a connection of a member for one call.

    Errors of the call within the context are translated for the caller.

    Args:
        group: The member's group.
        member: The name of the member.
        req: The request that makes the call. It waits for the slot on behalf
            of its workspace, and until its key is withdrawn.
        deadline: The time by which the slot must be acquired.

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
