"""Execution of writes on the primary, with confirmation by replicas."""

from collections.abc import Callable

import trio

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.groups import Confirmation, GroupState
from lagoonstair.ports import (
    EndpointConnection,
    EndpointRefusedError,
    EndpointUnreachableError,
    ResultUnknownError,
    Run,
    RunAnswer,
    Statement,
)
from lagoonstair.retries import Attempts, RetryAfter, Stop
from lagoonstair.service._calls import leased_connection, next_call_id
from lagoonstair.service._group_runtime import GroupRuntime
from lagoonstair.service._messages import (
    EndTransaction,
    ExecutionResult,
    Forward,
)
from lagoonstair.service._refusals import (
    combined_error,
    unavailable_error,
    unknown_error,
)
from lagoonstair.sessions import GroupMark

MAX_ATTEMPTS = 12
"""Maximum number of attempts at one write."""

PRIMARY_CHECK_SECONDS = 0.1
"""Interval (s) of checks for a new primary while a write is unanswered."""

CALL_ERRORS = (
    EndpointRefusedError,
    EndpointUnreachableError,
    ResultUnknownError,
)

RETRYABLE_KINDS = frozenset({ErrorKind.UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN})
"""Errors after which the write is sent again with the same request ID."""


async def run_write(
    group: GroupRuntime,
    req: Forward,
    statements: tuple[Statement, ...],
    *,
    deadline: float,
    recheck: Callable[[], None],
    instance: str,
) -> ExecutionResult:
    """Runs a write on the primary and waits until it is confirmed.

    If the primary is replaced meanwhile, the write is sent to the new primary
    with the same request ID, so that it runs at most once.

    Args:
        group: The group to write to.
        req: The request.
        statements: The statements to run.
        deadline: The time at which to give up.
        recheck: Raises an error if the request may no longer run.
        instance: The name of this instance.

    Raises:
        LagoonstairError: The write did not run, or its outcome is unknown.
    """
    attempts = Attempts(repeatable=True, deadline=deadline, most=MAX_ATTEMPTS)
    last = unavailable_error("the group has no primary")
    while True:
        state = await group.watch.wait_primary(deadline=deadline)
        if state.primary is None:
            break
        attempts.start()
        try:
            answer = await _commit(
                group, state, req, statements, deadline, recheck
            )
            await wait_confirmed(group, answer, deadline)
        except LagoonstairError as exc:
            last = exc
            match group.decide_retry(
                attempts, exc, exc.kind in RETRYABLE_KINDS
            ):
                case RetryAfter(wait=wait):
                    await trio.sleep(wait)
                case Stop():
                    break
        else:
            return write_result(group, state.primary, answer, req, instance)
    raise combined_error(attempts.outcome, last)


async def wait_confirmed(
    group: GroupRuntime, answer: RunAnswer, deadline: float
) -> None:
    """Waits until a committed write can no longer be lost.

    Args:
        group: The group that the write belongs to.
        answer: The primary's answer to the write.
        deadline: The time at which to give up.

    Raises:
        LagoonstairError: ``OUTCOME_UNKNOWN``; the write was lost or may yet be
            lost.
    """
    confirmation = await group.watch.confirm(answer.position, deadline=deadline)
    match confirmation:
        case Confirmation.CONFIRMED:
            return
        case Confirmation.REPLACED:
            raise unknown_error("the primary was replaced during the write")
        case Confirmation.UNCONFIRMED:
            raise unknown_error("too few replicas have the write so far")


def write_result(
    group: GroupRuntime,
    member: str,
    answer: RunAnswer,
    req: Forward | EndTransaction,
    instance: str,
) -> ExecutionResult:
    """Builds the result of a confirmed write."""
    latest = max(req.mark.write, answer.position)
    return ExecutionResult(
        group=group.name,
        instance=instance,
        endpoint=member,
        position=answer.position,
        wrote=True,
        results=answer.results,
        mark=GroupMark(write=latest, read=latest),
        duplicate=answer.duplicate,
    )


async def _commit(
    group: GroupRuntime,
    state: GroupState,
    req: Forward,
    statements: tuple[Statement, ...],
    deadline: float,
    recheck: Callable[[], None],
) -> RunAnswer:
    assert state.primary is not None
    call = Run(
        call_id=next_call_id(),
        term=state.term,
        workspace=req.workspace,
        statements=statements,
        request_id=req.request_id,
        digest=req.digest,
    )
    async with leased_connection(
        group, state.primary, req, deadline=deadline
    ) as conn:
        recheck()
        return await _run_until_replaced(group, state, conn, call)


async def _run_until_replaced(
    group: GroupRuntime, state: GroupState, conn: EndpointConnection, call: Run
) -> RunAnswer:
    """Runs a call, but stops waiting for it once the primary is replaced.

    Raises:
        ResultUnknownError: The primary was replaced, or its answer was lost.
        EndpointRefusedError: The database refused the call.
        EndpointUnreachableError: The call was not sent.
    """
    answers: list[RunAnswer] = []
    failures: list[Exception] = []
    async with trio.open_nursery() as nursery:

        async def run() -> None:
            try:
                answers.append(await conn.run(call))
            except CALL_ERRORS as exc:
                failures.append(exc)
            nursery.cancel_scope.cancel()

        nursery.start_soon(run)
        await trio.sleep(PRIMARY_CHECK_SECONDS)
        while _is_same_primary(group.watch.snapshot(), state):
            await trio.sleep(PRIMARY_CHECK_SECONDS)
        nursery.cancel_scope.cancel()
    if failures:
        raise failures[0]
    if not answers:
        raise ResultUnknownError("the primary was replaced")
    return answers[0]


def _is_same_primary(current: GroupState, earlier: GroupState) -> bool:
    return current.term == earlier.term and current.primary == earlier.primary
