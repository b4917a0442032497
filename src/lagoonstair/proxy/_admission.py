"""Runs what admission decides at one endpoint: limit, order and rejections."""

import math
import random
import re
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import TYPE_CHECKING

import trio

from lagoonstair.admission import (
    AdmissionQueue,
    AdmissionSettings,
    ConcurrencyLimit,
    ConnectionLine,
    WorkKind,
)
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._retries import refusal_failure
from lagoonstair.proxy._waiters import PriorityLine, WaitingLine
from lagoonstair.queueing import (
    REJECTION_MESSAGES,
    QueueSettings,
    SlotScheduler,
    Work,
)
from lagoonstair.routing import Consistency, Endpoint, Route
from lagoonstair.statements import (
    DeliveryStatus,
    ErrorCode,
    Failure,
    Result,
    Success,
)

if TYPE_CHECKING:
    from lagoonstair.proxy._fleet import Fleet

MAX_WAIT_SECONDS = 10.0
"""Maximum time, in seconds, for which a statement may wait for a slot; longer
than the timeouts of routes, which decide."""

LOG_INTERVAL_SECONDS = 1.0
"""Least time, in seconds, between two log lines of an endpoint's limit."""

MIN_RETRY_SECONDS = 0.005
"""Least retry hint, in seconds, to an operation that no queue can serve: the
hold time that a queue assumes at first. A hint of 0 would make the caller
return without a pause."""


def work_of(route: Route, began: float, *, in_transaction: bool) -> Work:
    """Returns the urgency of a statement.

    Args:
        route: The route of the caller's database name.
        began: When its operation began, in seconds.
        in_transaction: Whether it belongs to a transaction.
    """
    return Work(
        priority=route.priority,
        target_at=began + route.target_latency,
        target_latency=route.target_latency,
        in_transaction=in_transaction,
    )


def is_rejection(delivery: DeliveryStatus, failure: Failure) -> bool:
    """Returns whether a queue of this instance rejected a statement."""
    message = REJECTION_MESSAGES[ErrorKind.OVERLOADED]
    return delivery is DeliveryStatus.NOT_SENT and failure.message.startswith(
        message
    )


class Admission:
    """Statements of this instance at an endpoint, without overload control.

    Attributes:
        scheduler: Schedules the endpoint's slots.
        line: Orders those that wait for a connection.
        rejections_are_final: Whether a statement that no other endpoint can
            run is not offered again after a rejection. Its caller has the
            hint when to return, which others that return early would undo.
    """

    rejections_are_final = False

    def __init__(self, slots: int) -> None:
        """Creates an admission that shares all slots among the workspaces.

        Args:
            slots: Number of statements that the endpoint runs concurrently.
        """
        self.line: WaitingLine = PriorityLine()
        self.scheduler = SlotScheduler(
            slots, settings=QueueSettings(max_wait=MAX_WAIT_SECONDS)
        )

    def slot(
        self, workspace: str, deadline: float, work: Work
    ) -> AbstractAsyncContextManager[None]:
        """Holds a slot inside the block.

        Args:
            workspace: The workspace that the statement belongs to.
            deadline: Time by which the slot must have been obtained, in
                seconds.
            work: The urgency of the statement.

        Raises:
            LagoonstairError: ``OVERLOADED``; the block did not run.
        """
        return self.scheduler.slot(workspace, deadline=deadline, work=work)

    def record_result(
        self, kind: WorkKind | None, started_at: float, result: Result
    ) -> None:
        """Records an endpoint's answer while its slot is held.

        Args:
            kind: The kind of the statement; ``None`` for one whose duration
                tells nothing, such as a commit.
            started_at: When it was sent, in seconds.
            result: The answer.
        """

    def record_unanswered(self, started_at: float) -> None:
        """Records a statement that was given up without an answer.

        Args:
            started_at: When it was sent, in seconds.
        """

    def set_slots(self, slots: int) -> None:
        """Records that the endpoint's entry names another number of slots."""

    def excess_wait(self, workspace: str, work: Work, timeout: float) -> float:
        """Returns by how many seconds the expected wait exceeds a timeout.

        Args:
            workspace: The workspace that a new statement belongs to.
            work: Its urgency.
            timeout: The time within which it must be answered, in seconds.
        """
        return -timeout

    def close(self) -> None:
        """Records that the endpoint's process is gone."""


class EndpointAdmission(Admission):
    """Limits and orders the statements of this instance at an endpoint.

    A new process of an endpoint gets a new one, so nothing that was learned
    of the former process applies to it.
    """

    rejections_are_final = True

    def __init__(self, endpoint: Endpoint, metrics: Metrics) -> None:
        """Creates the admission of an endpoint that is not in use yet.

        Args:
            endpoint: The endpoint.
            metrics: Gets the limit and the rejections.
        """
        self._name = endpoint.name
        self._metrics = metrics
        self._gauge = "endpoint_limit_" + re.sub(r"\W", "_", endpoint.name)
        self._limit = ConcurrencyLimit(endpoint.slots)
        self._queue = AdmissionQueue(
            self._limit.value,
            AdmissionSettings(max_wait=MAX_WAIT_SECONDS),
            random.random,
        )
        self._log_after = -math.inf
        self._unlogged = 0
        self._is_closed = False
        self.line = ConnectionLine()
        self.scheduler = SlotScheduler(
            self._limit.value,
            settings=QueueSettings(max_wait=MAX_WAIT_SECONDS),
            queue=self._queue,
        )
        self._publish()

    @asynccontextmanager
    async def slot(
        self, workspace: str, deadline: float, work: Work
    ) -> AsyncIterator[None]:
        """Holds a slot inside the block, and counts a rejection."""
        has_started = False
        try:
            async with self.scheduler.slot(
                workspace, deadline=deadline, work=work
            ):
                has_started = True
                yield
        except LagoonstairError:
            if not has_started:
                self._count_rejection(work)
            raise

    def record_result(
        self, kind: WorkKind | None, started_at: float, result: Result
    ) -> None:
        """Adapts the limit to an endpoint's answer."""
        now = trio.current_time()
        seconds = now - started_at
        if isinstance(result, Success):
            if kind is not None and self._limit.record_answer(
                now, kind, seconds, running=self._queue.running
            ):
                self._log_lowered("late", seconds)
        elif result.code is ErrorCode.BUSY and self._limit.record_busy(now):
            self._log_lowered("busy", seconds)
        self._publish()

    def record_unanswered(self, started_at: float) -> None:
        """Lowers the limit, as after a late answer."""
        now = trio.current_time()
        if self._limit.record_busy(now):
            self._log_lowered("unanswered", now - started_at)
        self._publish()

    def set_slots(self, slots: int) -> None:
        """Changes the upper bound of the limit."""
        self._limit.set_slots(slots)
        self._publish()

    def excess_wait(self, workspace: str, work: Work, timeout: float) -> float:
        """Returns by how many seconds the expected wait exceeds a timeout."""
        now = trio.current_time()
        return self._queue.estimate_wait(now, workspace, work) - timeout

    def close(self) -> None:
        """Sets the gauge to 0; later answers no longer change it."""
        self._is_closed = True
        self._metrics.set(self._gauge, 0)

    def _count_rejection(self, work: Work) -> None:
        self._metrics.count("queue_rejections", priority=str(work.priority))

    def _publish(self) -> None:
        """Applies the limit to the scheduler and to the gauge."""
        if not self._is_closed:
            self._metrics.set(self._gauge, round(self._limit.exact, 2))
        if self._limit.value != self._queue.slots:
            self.scheduler.resize(self._limit.value)

    def _log_lowered(self, cause: str, seconds: float) -> None:
        now = trio.current_time()
        if now < self._log_after:
            self._unlogged += 1
            return
        log_event(
            "endpoint limit lowered",
            endpoint=self._name,
            cause=cause,
            seconds=round(seconds, 4),
            limit=round(self._limit.exact, 2),
            slots=self._limit.slots,
            running=self._queue.running,
            unlogged=self._unlogged,
        )
        self._log_after = now + LOG_INTERVAL_SECONDS
        self._unlogged = 0


def refuse_unservable(
    fleet: "Fleet", metrics: Metrics, route: Route, workspace: str
) -> Failure | None:
    """Refuses an operation that every queue of its group would reject.

    Args:
        fleet: The endpoints and their queues.
        metrics: Counts the rejection.
        route: The route of the caller's database name.
        workspace: The caller's workspace.

    Returns:
        The answer, or ``None`` if a queue can serve the operation or nothing
        is known of the queues.
    """
    if not fleet.features.overload_control:
        return None
    pools = [*fleet.group_pools(route.group)]
    if route.consistency is Consistency.PRIMARY:
        primary = fleet.primary(route.group)
        pools = [] if primary is None else [primary]
    work = work_of(route, trio.current_time(), in_transaction=False)
    excess = min(
        (
            pool.admission.excess_wait(workspace, work, route.timeout)
            for pool in pools
        ),
        default=0.0,
    )
    if excess <= 0:
        return None
    metrics.count("queue_rejections", priority=str(route.priority))
    refusal = LagoonstairError(
        ErrorKind.OVERLOADED,
        REJECTION_MESSAGES[ErrorKind.OVERLOADED],
        retry_after=max(excess, MIN_RETRY_SECONDS) * (1 + random.random()),
    )
    return refusal_failure(refusal)
