"""Statements outside transactions: retried where that is safe."""

import random
from collections.abc import Iterator

import trio

from lagoonstair.exceptions import LagoonstairError
from lagoonstair.platform import lines
from lagoonstair.proxy._link import LinkError
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._pool import NoLinkError
from lagoonstair.proxy._retries import (
    BUSY_FAILURE,
    backoff_delays,
    next_delay,
    refusal_failure,
)
from lagoonstair.proxy._targets import (
    MAX_ATTEMPTS,
    MIN_STATEMENT_SECONDS,
    NO_PRIMARY_MESSAGE,
    PRIMARY_RETRY_SECONDS,
    Caller,
    Target,
    TargetSelector,
)
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
    TransactionState,
    failure_for_caller,
    is_busy,
)


async def _sleep_before_retry(pauses: Iterator[float], deadline: float) -> bool:
    """Waits before a busy endpoint is asked again; false without time."""
    pause = next_delay(pauses, now=trio.current_time(), deadline=deadline)
    if pause is not None:
        await trio.sleep(pause)
    return pause is not None


class Executor:
    """Runs single statements of all callers of one instance."""

    def __init__(self, targets: TargetSelector, metrics: Metrics) -> None:
        self._targets = targets
        self._metrics = metrics

    async def run(
        self, caller: Caller, route: Route, run: Run, request_id: str
    ) -> Result:
        """Runs a statement outside a transaction."""
        work = OperationKind.WRITE if run.writes else OperationKind.READ
        arrived = trio.current_time()
        deadline = arrived + route.timeout
        tried: set[str] = set()
        failure = Failure(ErrorCode.BUSY, NO_PRIMARY_MESSAGE)
        sent = DeliveryStatus.NOT_SENT
        pauses = backoff_delays(random.random)
        attempts = 0
        while attempts < MAX_ATTEMPTS:
            target = await self._targets.choose(
                caller, route, run.writes, arrived, deadline, tried
            )
            if isinstance(target, Failure):
                if tried and is_busy(sent, failure):
                    # All that may run it are busy, which passes.
                    tried.clear()
                    if await _sleep_before_retry(pauses, deadline):
                        continue
                failure = target if sent is DeliveryStatus.NOT_SENT else failure
                break
            tried.add(target.pool.endpoint.name)
            last = not self._targets.has_alternative(route, run.writes, tried)
            until = deadline
            if not last:
                until = self._targets.attempt_deadline(target.pool, deadline)
            sent, result = await self._attempt(
                caller, route, run, request_id, target, until, deadline
            )
            if isinstance(result, Success):
                return result
            failure = result
            self._metrics.count("attempts_failed", code=failure.code.value)
            if is_busy(sent, failure):
                failure = BUSY_FAILURE
                if not last and route.consistency is not Consistency.PRIMARY:
                    continue
                # There is one endpoint for it, or all have been asked.
                tried.clear()
                if await _sleep_before_retry(pauses, deadline):
                    continue
                break
            attempts += 1
            if sent is DeliveryStatus.UNANSWERED and run.writes:
                break
            ran = (
                sent is DeliveryStatus.ANSWERED
                and failure.code not in NOT_RUN_CODES
            )
            if ran and (run.writes or failure.code is not ErrorCode.FAILED):
                break
            if run.writes or route.consistency is Consistency.PRIMARY:
                # There is one endpoint for it; a new primary may be another.
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
        until: float,
        deadline: float,
    ) -> tuple[DeliveryStatus, Result]:
        pool = target.pool
        try:
            link = await pool.acquire(
                caller.workspace, deadline=until, priority=route.priority
            )
        except NoLinkError as exc:
            return DeliveryStatus.NOT_SENT, exc.failure
        sent = DeliveryStatus.NOT_SENT
        failure = Failure(ErrorCode.BUSY, "no slot was free in time")
        began = trio.current_time()
        try:
            with self._targets.primary_use(route.group, target.is_primary):
                with trio.move_on_at(until):
                    async with pool.statement_slot(caller.workspace, until):
                        name = await link.apply_session(
                            caller.session.values, run.shape
                        )
                        if not self._targets.is_current(target):
                            return DeliveryStatus.NOT_SENT, Failure(
                                ErrorCode.BUSY, NO_PRIMARY_MESSAGE
                            )
                        text = lines.run_text(run, name)
                        text = lines.after_text(target.after, text)
                        began = trio.current_time()
                        sent = DeliveryStatus.UNANSWERED
                        failure = Failure(
                            ErrorCode.TIMEOUT, "no answer in time"
                        )
                        reply = await link.run(request_id, text)
                        self._targets.record_answer(
                            caller, route, pool, link, began, run.writes
                        )
                        if isinstance(reply.result, Failure):
                            self._targets.record_refusal(pool, reply.result)
                        return DeliveryStatus.ANSWERED, reply.result
        except LinkError as exc:
            pool.record_failure(began)
            failure = Failure(ErrorCode.BUSY, str(exc))
        except LagoonstairError as exc:
            failure = refusal_failure(exc)
        finally:
            if link.is_usable and link.state is TransactionState.IDLE:
                pool.release(link)
            else:
                pool.discard(link)
        if sent is DeliveryStatus.UNANSWERED:
            pool.record_failure(began)
            log_event(
                "statement unanswered",
                request=request_id,
                group=route.group,
                endpoint=pool.endpoint.name,
                waited=round(trio.current_time() - began, 3),
                cause=failure.message,
            )
        return sent, failure
