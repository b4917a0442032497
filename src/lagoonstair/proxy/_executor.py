"""Execution of statements outside transactions, with safe retries."""

import random
from collections.abc import Iterator

import trio

from lagoonstair.admission import WorkKind
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.platform import lines
from lagoonstair.proxy._admission import is_rejection, work_of
from lagoonstair.proxy._cold_gate import is_cold_refusal
from lagoonstair.proxy._link import Link, LinkError, LinkUse
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._pool import NoLinkError
from lagoonstair.proxy._retries import (
    BUSY_FAILURE,
    TOO_LONG_FAILURE,
    backoff_delays,
    next_delay,
    refusal_failure,
)
from lagoonstair.proxy._targets import (
    CONFIRMED_LATE_MESSAGE,
    MAX_ATTEMPTS,
    MIN_STATEMENT_SECONDS,
    NO_PRIMARY_MESSAGE,
    PRIMARY_RETRY_SECONDS,
    Caller,
    Target,
    TargetSelector,
)
from lagoonstair.queueing import Work
from lagoonstair.routing import Consistency, Route
from lagoonstair.statements import (
    NOT_RUN_CODES,
    DeliveryStatus,
    ErrorCode,
    Failure,
    OperationKind,
    Result,
    Run,
    Success,
    failure_for_caller,
    is_busy,
)

NOT_CURRENT_FAILURE = Failure(ErrorCode.BUSY, NO_PRIMARY_MESSAGE)
"""Answer to a statement whose endpoint may not be used any more; the statement
has not run."""


async def _sleep_before_retry(delays: Iterator[float], deadline: float) -> bool:
    """Sleeps until the next attempt at a busy endpoint.

    Args:
        delays: The remaining delays, in seconds.
        deadline: Time by which the statement must be answered, in seconds.

    Returns:
        Whether it slept; false if the delay would pass the deadline.
    """
    delay = next_delay(delays, now=trio.current_time(), deadline=deadline)
    if delay is not None:
        await trio.sleep(delay)
    return delay is not None


class Executor:
    """Runs the statements outside transactions for all callers."""

    def __init__(self, targets: TargetSelector, metrics: Metrics) -> None:
        self._targets = targets
        self._metrics = metrics

    async def run(
        self, caller: Caller, route: Route, run: Run, request_id: str
    ) -> Result:
        """Runs a statement outside a transaction.

        Retries a statement that can not have run, and a read also after a
        lost answer or a failure. Refusals by busy endpoints do not count as
        attempts; they are retried until the deadline.

        Args:
            caller: The caller that sent the statement.
            route: The route of the caller's database name.
            run: The statement.
            request_id: The caller's id of the statement.

        Returns:
            The answer, or a failure that tells whether the statement may
            have run.
        """
        work = OperationKind.WRITE if run.writes else OperationKind.READ
        arrived_at = trio.current_time()
        deadline = arrived_at + route.timeout
        tried: set[str] = set()
        failure = Failure(ErrorCode.BUSY, NO_PRIMARY_MESSAGE)
        sent = DeliveryStatus.NOT_SENT
        delays = backoff_delays(random.random)
        attempts = 0
        while attempts < MAX_ATTEMPTS:
            target = await self._targets.choose(
                caller, route, run.writes, arrived_at, deadline, tried
            )
            if isinstance(target, Failure):
                if tried and is_busy(sent, failure):
                    # Every eligible endpoint is busy, which is temporary.
                    tried.clear()
                    if await _sleep_before_retry(delays, deadline):
                        continue
                failure = target if sent is DeliveryStatus.NOT_SENT else failure
                break
            tried.add(target.pool.endpoint.name)
            is_last = not self._targets.has_alternative(
                caller, route, run.writes, tried
            )
            attempt_deadline = deadline
            if not is_last:
                attempt_deadline = self._targets.attempt_deadline(
                    target.pool, deadline
                )
            sent, result = await self._attempt(
                caller,
                route,
                run,
                request_id,
                target,
                attempt_deadline,
                deadline,
                work_of(route, arrived_at, in_transaction=False),
            )
            if isinstance(result, Success):
                return result
            failure = result
            self._metrics.count("attempts_failed", code=failure.code.value)
            if failure.code is ErrorCode.NO_AUTH:
                break
            if is_busy(sent, failure):
                failure = BUSY_FAILURE
                if not is_last and route.consistency is not Consistency.PRIMARY:
                    continue
                # Only one endpoint is eligible, or all have been tried.
                tried.clear()
                if await _sleep_before_retry(delays, deadline):
                    continue
                break
            if target.waits and is_cold_refusal(failure):
                break
            if (
                (is_last or route.consistency is Consistency.PRIMARY)
                and target.pool.admission.rejections_are_final
                and is_rejection(sent, failure)
            ):
                break
            attempts += 1
            if sent is DeliveryStatus.UNANSWERED and run.writes:
                break
            may_have_run = (
                sent is DeliveryStatus.ANSWERED
                and failure.code not in NOT_RUN_CODES
            )
            if may_have_run and (
                run.writes or failure.code is not ErrorCode.FAILED
            ):
                break
            if run.writes or route.consistency is Consistency.PRIMARY:
                # Only the primary is eligible. The next attempt may find a
                # new one.
                tried.clear()
                await trio.sleep(PRIMARY_RETRY_SECONDS)
            if trio.current_time() >= deadline - MIN_STATEMENT_SECONDS:
                break
        return failure_for_caller(work, sent, failure)

    async def _attempt(
        self,
        caller: Caller,
        route: Route,
        run: Run,
        request_id: str,
        target: Target,
        attempt_deadline: float,
        deadline: float,
        work: Work,
    ) -> tuple[DeliveryStatus, Result]:
        """Runs the statement once at the target endpoint."""
        pool = target.pool
        try:
            link = await pool.acquire(
                caller.workspace,
                deadline=attempt_deadline,
                use=LinkUse.WRITE if run.writes else LinkUse.READ,
                work=work,
            )
        except NoLinkError as exc:
            return DeliveryStatus.NOT_SENT, exc.failure
        sent = DeliveryStatus.NOT_SENT
        failure = Failure(ErrorCode.BUSY, "no slot was free in time")
        started_at = trio.current_time()
        link_error: LinkError | None = None
        try:
            with self._targets.primary_use(route.group, target.is_primary):
                with trio.move_on_at(attempt_deadline):
                    async with pool.statement_slot(
                        caller.workspace, attempt_deadline, work
                    ):
                        if not await self._may_send(
                            caller, route, run, target, link
                        ):
                            return DeliveryStatus.NOT_SENT, NOT_CURRENT_FAILURE
                        prepared_name = await link.apply_session(
                            caller.session.values, run.shape
                        )
                        self._targets.check_key(caller, route)
                        if not self._targets.may_use(caller, route, target):
                            return DeliveryStatus.NOT_SENT, NOT_CURRENT_FAILURE
                        text = lines.run_text(run, prepared_name)
                        text = lines.after_text(target.after, text)
                        if not lines.fits_query(request_id, text):
                            return DeliveryStatus.NOT_SENT, TOO_LONG_FAILURE
                        epoch = self._targets.epoch(route.group)
                        started_at = trio.current_time()
                        sent = DeliveryStatus.UNANSWERED
                        failure = Failure(
                            ErrorCode.TIMEOUT, "no answer in time"
                        )
                        reply = await link.run(
                            request_id, text, has_effect=run.writes
                        )
                        pool.admission.record_result(
                            WorkKind(route.priority, run.writes),
                            started_at,
                            reply.result,
                        )
                        is_done = isinstance(reply.result, Success)
                        self._targets.record_answer(
                            caller,
                            route,
                            pool,
                            link,
                            started_at,
                            run.writes and is_done,
                        )
                        if isinstance(reply.result, Failure):
                            self._targets.record_refusal(pool, reply.result)
                        elif run.writes and not self._targets.may_acknowledge(
                            route.group, epoch
                        ):
                            return sent, Failure(
                                ErrorCode.IN_DOUBT, CONFIRMED_LATE_MESSAGE
                            )
                        return DeliveryStatus.ANSWERED, reply.result
        except LinkError as exc:
            link_error = exc
            failure = Failure(ErrorCode.BUSY, str(exc))
        except LagoonstairError as exc:
            failure = refusal_failure(exc)
        finally:
            pool.release(link)
        if link_error is not None:
            pool.record_link_error(started_at, link_error)
        elif sent is DeliveryStatus.UNANSWERED:
            pool.record_failure(started_at)
            pool.admission.record_unanswered(started_at)
        if sent is DeliveryStatus.UNANSWERED:
            log_event(
                "statement unanswered",
                request=request_id,
                group=route.group,
                endpoint=pool.endpoint.name,
                waited=round(trio.current_time() - started_at, 3),
                cause=failure.message,
            )
        return sent, failure

    async def _may_send(
        self, caller: Caller, route: Route, run: Run, target: Target, link: Link
    ) -> bool:
        """Takes a cold endpoint's tokens; returns whether it is still usable.

        The caller's key must not have been withdrawn during the waits.

        It is examined again after the wait for tokens, because the session's
        values are sent next.

        Raises:
            LagoonstairError: There are no tokens, or the key was withdrawn;
                nothing may be sent.
        """
        self._targets.check_key(caller, route)
        if not self._targets.may_use(caller, route, target):
            return False
        if not self._targets.is_cold(target.pool):
            return True
        setup = link.count_setup(caller.session.values, run.shape)
        await self._targets.admit_cold(target, 1 + setup)
        self._targets.check_key(caller, route)
        return self._targets.may_use(caller, route, target)
