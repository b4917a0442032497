"""Execution of reads on replicas and primaries."""

from collections.abc import Callable

import trio

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.groups import ReadTarget
from lagoonstair.ports import ResultUnknownError, Run, RunAnswer, Statement
from lagoonstair.service._calls import leased_connection, next_call_id
from lagoonstair.service._group_runtime import GroupRuntime
from lagoonstair.service._messages import ExecutionResult, Forward
from lagoonstair.service._refusals import no_target_error, unavailable_error
from lagoonstair.sessions import GroupMark

REPLICA_WAIT_SECONDS = 0.05
"""Maximum time (s) that a read waits for a replica to become eligible.

After this time the primary serves the read.
"""

RETRY_SECONDS = 0.05
"""Delay (s) before members are selected again after all of them failed."""

MEMBER_SECONDS = 1.0
"""Timeout (s) of a read on one member, before the next one is tried."""

RETRYABLE_KINDS = frozenset(
    {
        ErrorKind.UNAVAILABLE,
        ErrorKind.OVERLOADED,
        ErrorKind.OUTCOME_UNKNOWN,
    }
)
"""Errors after which another member may serve the read."""


async def run_read(
    group: GroupRuntime,
    req: Forward,
    statements: tuple[Statement, ...],
    *,
    max_age: float,
    deadline: float,
    recheck: Callable[[], None],
    instance: str,
) -> ExecutionResult:
    """Runs a read on an eligible replica, or on the primary if there is none.

    An answer that is older than the session's last write is discarded.

    Args:
        group: The group to read from.
        req: The request.
        statements: The statements to run.
        max_age: Maximum age of the data, in seconds.
        deadline: The time at which to give up.
        recheck: Raises an error if the request may no longer run.
        instance: The name of this instance.

    Raises:
        LagoonstairError: No member served the read in time.
    """
    last = unavailable_error("no database served the read")
    while trio.current_time() < deadline:
        plan = await group.watch.plan_read(
            last_write=req.mark.write,
            last_read=req.mark.read,
            max_age=max_age,
            deadline=deadline,
            load=group.load(),
            wait_limit=REPLICA_WAIT_SECONDS,
        )
        if plan.no_target_reason is not None:
            raise no_target_error(plan.no_target_reason)
        for target in plan.targets:
            try:
                answer = await _run_on(
                    group, target, req, statements, deadline, recheck
                )
            except LagoonstairError as exc:
                if exc.kind not in RETRYABLE_KINDS:
                    raise
                last = exc
                continue
            if answer.position >= req.mark.write:
                return _read_result(group, target, req, answer, instance)
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
    call = Run(
        call_id=next_call_id(),
        term=target.term,
        workspace=req.workspace,
        statements=statements,
        read_only=True,
    )
    async with leased_connection(
        group, target.member, req, deadline=deadline
    ) as conn:
        recheck()
        with trio.move_on_after(MEMBER_SECONDS):
            return await conn.run(call)
        raise ResultUnknownError("the database did not answer in time")


def _read_result(
    group: GroupRuntime,
    target: ReadTarget,
    req: Forward,
    answer: RunAnswer,
    instance: str,
) -> ExecutionResult:
    return ExecutionResult(
        group=group.name,
        instance=instance,
        endpoint=target.member,
        position=answer.position,
        wrote=False,
        results=answer.results,
        mark=GroupMark(write=req.mark.write, read=answer.position),
        on_replica=not target.primary,
    )
