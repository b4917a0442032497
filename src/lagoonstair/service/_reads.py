"""Runs reads on the members that may serve them."""

import itertools
from collections.abc import Callable

import trio

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.groups import ReadTarget
from lagoonstair.ports import (
    EndpointRefusedError,
    EndpointUnreachableError,
    ResultUnknownError,
    Run,
    RunAnswer,
    Statement,
)
from lagoonstair.service._group_runtime import GroupRuntime
from lagoonstair.service._messages import Executed, Forward
from lagoonstair.service._refusals import (
    obstacle_error,
    refusal_error,
    unavailable,
)
from lagoonstair.sessions import GroupMark

REPLICA_WAIT_SECONDS = 0.05
"""How long a read waits for a replica before the primary serves it."""

RETRY_SECONDS = 0.05

ELSEWHERE = frozenset({ErrorKind.UNAVAILABLE, ErrorKind.OVERLOADED})

_call_ids = itertools.count(1)


def next_call_id() -> int:
    """A number for the next call on any connection."""
    return next(_call_ids)


async def run_read(
    group: GroupRuntime,
    req: Forward,
    statements: tuple[Statement, ...],
    *,
    max_age: float,
    deadline: float,
    recheck: Callable[[], None],
    instance: str,
) -> Executed:
    """Runs a read on a replica if one may serve it, else on the primary.

    Args:
        group: The group to read from.
        req: The request.
        statements: What to run.
        max_age: The greatest age of the data, in seconds.
        deadline: When the caller stops waiting.
        recheck: Raises when the request may no longer run.
        instance: This instance's name.

    Raises:
        LagoonstairError: No member served the read in time.
    """
    last = unavailable("no database served the read")
    while trio.current_time() < deadline:
        plan = await group.watch.plan_read(
            write=req.mark.write,
            read=req.mark.read,
            max_age=max_age,
            deadline=deadline,
            load=group.load(),
            wait_limit=REPLICA_WAIT_SECONDS,
        )
        if plan.obstacle is not None:
            raise obstacle_error(plan.obstacle)
        for target in plan.targets:
            try:
                answer = await _run_on(
                    group, target, req, statements, deadline, recheck
                )
            except LagoonstairError as exc:
                if exc.kind not in ELSEWHERE:
                    raise
                last = exc
                continue
            if answer.position >= req.mark.write:
                return _executed(group, target, req, answer, instance)
        await trio.sleep(RETRY_SECONDS)
    raise last


async def _run_on(
    group: GroupRuntime,
    target: ReadTarget,
    req: Forward,
    statements: tuple[Statement, ...],
    deadline: float,
    recheck: Callable[[], None],
) -> RunAnswer:
    database = group.database(target.member)
    call = Run(
        call_id=next_call_id(),
        term=target.term,
        workspace=req.workspace,
        statements=statements,
        read_only=True,
    )
    try:
        async with (
            database.slots.slot(
                req.workspace, deadline=deadline, key_id=req.key_id or ""
            ),
            database.pool.connection() as conn,
        ):
            recheck()
            return await conn.run(call)
    except EndpointRefusedError as exc:
        raise refusal_error(exc) from exc
    except (EndpointUnreachableError, ResultUnknownError) as exc:
        raise unavailable(f"{target.member} did not answer") from exc


def _executed(
    group: GroupRuntime,
    target: ReadTarget,
    req: Forward,
    answer: RunAnswer,
    instance: str,
) -> Executed:
    return Executed(
        group=group.name,
        instance=instance,
        endpoint=target.member,
        position=answer.position,
        wrote=False,
        results=answer.results,
        mark=GroupMark(write=req.mark.write, read=answer.position),
        on_replica=not target.primary,
    )
