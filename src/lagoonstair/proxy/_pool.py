"""Pool of the connections that one instance has to one endpoint."""

import itertools
import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio

from lagoonstair._types import Position
from lagoonstair.proxy._admission import Admission
from lagoonstair.proxy._link import Link, LinkError, LinkUse
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._supervisor import Supervisor
from lagoonstair.proxy._waiters import ConnectionWaiters
from lagoonstair.queueing import ROUTINE, Work
from lagoonstair.routing import Endpoint, EndpointLoad
from lagoonstair.statements import ErrorCode, Failure

OPEN_TIMEOUT_SECONDS = 0.6
"""Time limit for opening a connection, in seconds; opening costs 12 ms and
waits for a slot."""

LATENCY_WEIGHT = 0.15
"""Weight of the newest duration in the moving average of the latency."""

INITIAL_LATENCY_SECONDS = 0.02
"""Assumed latency before any statement ran, in seconds; that of a typical
read."""

PROBE_RETRY_SECONDS = 0.15
"""Delay in seconds before an endpoint that refused a connection is probed
again."""

FAULT_RETRY_SECONDS = 2.0
"""Delay in seconds before an endpoint whose use raised an unexpected exception
is probed again."""

CONGESTED_SECONDS = 0.5
"""Time in seconds for which no further connection is opened at an endpoint
that has none left; endpoints close those of dead instances after 3 s."""

EXCESS_IDLE_SECONDS = 1.0
"""Time in seconds after which an idle connection beyond half the budget is
closed."""

SUSPECT_SECONDS = 1.0
"""Time in seconds after a failure for which an endpoint counts as suspect,
even if it answers again."""

REPETITION_SECONDS = 600.0
"""Time in seconds for which an endpoint that has sent an answer which nobody
asked for is expected to do so again."""

REPORT_SECONDS = 60.0
"""Time in seconds within which an endpoint's further answers that nobody asked
for are no news."""

REACHABLE_SECONDS = 1.0
"""Greatest age in seconds of an answer that shows that an endpoint is
reachable."""


EVACUATED_FAILURE = Failure(
    ErrorCode.BUSY, "the failure domain of the endpoint is evacuated"
)
"""Answer to a statement that needs a connection to an excluded endpoint; the
statement has not run."""


class NoLinkError(Exception):
    """No connection was free in time, or none could be opened.

    Attributes:
        failure: The answer for the statement that needed the connection.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class EndpointPool:
    """Connections to an endpoint, and the endpoint's observed state.

    Attributes:
        endpoint: The endpoint.
        budget: Maximum number of connections of this instance.
        admission: Decides which statements run.
        position: The end of the endpoint's log as it last reported it.
        answered_at: When the endpoint last answered, in seconds.
        unreachable_since: Start, in seconds, of the first attempt of the
            current run of unanswered ones; ``None`` while the endpoint is
            reachable.
        opened_count: How many connections were opened.
        is_probing: Whether a probe of the endpoint is in progress.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        budget: int,
        on_position: Callable[["EndpointPool", float], None] | None = None,
        supervisor: Supervisor | None = None,
        admission: Admission | None = None,
        is_excluded: Callable[["EndpointPool"], bool] = lambda pool: False,
    ) -> None:
        """Creates a pool without connections.

        Args:
            endpoint: The endpoint.
            budget: Maximum number of connections of this instance.
            on_position: Called with the pool and the time of the request, in
                seconds, when the endpoint has reported its log position.
            supervisor: Counts unexpected exceptions.
            admission: Decides which statements run; by default the one
                without overload control.
            is_excluded: Returns whether the endpoint may not serve statements
                of callers, so that no connection is kept or opened for them.
        """
        self._on_position = on_position
        self._supervisor = supervisor or Supervisor(Metrics())
        self._is_excluded = is_excluded
        self.endpoint = endpoint
        self.budget = budget
        self.admission = admission or Admission(endpoint.slots)
        self._waiters = ConnectionWaiters(
            self.admission.line, self._connection_limit
        )
        self.position: Position | None = None
        self.answered_at = -math.inf
        self.unreachable_since: float | None = None
        self.opened_count = 0
        self.is_probing = False
        self._latency = INITIAL_LATENCY_SECONDS
        self._suspect_until = -math.inf
        self._links: set[Link] = set()
        self._idle: list[Link] = []
        self._opening = 0
        self._busy = 0
        self._running_since: dict[int, float] = {}
        self._sequence = itertools.count()
        self._congested_until = -math.inf
        self._reported_until = -math.inf
        self._repeats_until = -math.inf
        self._congested_limit = budget
        self._closed = False

    def load(self, workspace: str, now: float) -> EndpointLoad:
        """Returns what the choice of an endpoint depends on.

        Args:
            workspace: The workspace that needs a connection.
            now: The current time, in seconds.
        """
        return EndpointLoad(
            endpoint=self.endpoint,
            in_flight=self._busy,
            latency=self._latency,
            has_idle_connection=any(
                link.workspace == workspace for link in self._idle
            ),
            position=self.position,
            answered_at=self.answered_at,
            suspect=self.unreachable_since is not None
            or now < self._suspect_until,
        )

    @property
    def latency(self) -> float:
        """Moving average of the duration of a statement, in seconds."""
        return self._latency

    def expect_latency(self, seconds: float) -> None:
        """Lowers the moving average of the latency to what is expected.

        An endpoint that gets no statements keeps its last average, and is not
        chosen again if that was measured under load.

        Args:
            seconds: The expected duration of a statement, in seconds.
        """
        self._latency = min(self._latency, seconds)

    async def open_link(self, workspace: str) -> Link:
        """Opens a connection that the pool does not keep.

        Args:
            workspace: The workspace on whose behalf it is opened.

        Raises:
            LinkError: The endpoint is unreachable or refused.
        """
        return await Link.open(
            self.endpoint,
            workspace,
            self._supervisor,
            self.note_unexpected,
            self._repeats_answers,
        )

    async def acquire(
        self,
        workspace: str,
        *,
        deadline: float,
        priority: int = 0,
        use: LinkUse = LinkUse.READ,
        work: Work | None = None,
    ) -> Link:
        """Acquires a connection on behalf of a workspace.

        Args:
            workspace: The workspace; connections aren't shared with others.
            deadline: When to give up, in seconds.
            priority: Order among the waiters if ``work`` is not given; lower
                values come first.
            use: What it is needed for.
            work: The urgency of what it is needed for.

        Returns:
            A connection without a transaction; return it by ``release`` or
            ``discard``.

        Raises:
            NoLinkError: No connection was available; nothing was sent.
        """
        work = work or Work(priority=priority)
        link = await self._acquire(workspace, deadline, use, work)
        if use is LinkUse.TRANSACTION:
            self._waiters.pinned.add(link)
        return link

    async def _acquire(
        self, workspace: str, deadline: float, use: LinkUse, work: Work
    ) -> Link:
        is_woken = False
        while not self._closed:
            if self._is_excluded(self):
                raise NoLinkError(EVACUATED_FAILURE)
            if use is LinkUse.TRANSACTION and not self._waiters.may_pin():
                if is_woken:
                    self._waiters.wake_next()
                await self._wait_for_release(deadline, work)
                is_woken = True
                continue
            link = self._acquire_idle(workspace, use)
            if link is not None:
                return link
            if len(self._links) + self._opening >= self._connection_limit():
                self._close_oldest_idle()
            if len(self._links) + self._opening >= self._connection_limit():
                await self._wait_for_release(deadline, work)
                is_woken = True
                continue
            try:
                return await self._open(workspace, deadline, use)
            except NoLinkError as exc:
                if (
                    exc.failure.code is not ErrorCode.CONGESTED
                    or not self._links
                ):
                    raise
                # Other instances hold the rest; share those held here.
                self._congested_limit = len(self._links)
                self._congested_until = trio.current_time() + CONGESTED_SECONDS
        raise NoLinkError(Failure(ErrorCode.BUSY, "the endpoint has left"))

    def release(self, link: Link) -> None:
        """Returns a connection to the pool, or closes it.

        It is closed unless another operation may use it.
        """
        self._waiters.pinned.discard(link)
        if link not in self._links:
            return
        obstacle = link.reuse_obstacle
        if obstacle:
            self._supervisor.metrics.count(
                "connections_given_up",
                endpoint=self.endpoint.name,
                reason=obstacle,
            )
        if obstacle or self._closed or self._is_excluded(self):
            self.discard(link)
            return
        self._idle.append(link)
        self._waiters.wake_next()

    def discard(self, link: Link) -> None:
        """Closes a connection and removes it from the pool."""
        link.close()
        self._links.discard(link)
        self._waiters.pinned.discard(link)
        if link in self._idle:
            self._idle.remove(link)
        self._waiters.wake_next()

    @asynccontextmanager
    async def statement_slot(
        self, workspace: str, deadline: float, work: Work = ROUTINE
    ) -> AsyncIterator[None]:
        """Holds one of the endpoint's slots while a statement runs.

        Args:
            workspace: The workspace that the statement belongs to.
            deadline: Time by which it must be answered, in seconds.
            work: Its urgency.

        Raises:
            LagoonstairError: No slot will be free in time; nothing was run.
        """
        self._busy += 1
        try:
            async with self.admission.slot(workspace, deadline, work):
                statement_id = next(self._sequence)
                self._running_since[statement_id] = trio.current_time()
                try:
                    yield
                finally:
                    del self._running_since[statement_id]
        finally:
            self._busy -= 1

    def record_answer(self, link: Link, seconds: float) -> None:
        """Records an answer of the endpoint.

        Args:
            link: The connection on which it answered.
            seconds: The time from the request to the answer.
        """
        self._latency += LATENCY_WEIGHT * (seconds - self._latency)
        self.record_reachable()
        self._record_position(link, trio.current_time() - seconds)

    def record_reachable(self) -> None:
        """Records that the endpoint is reachable."""
        self.answered_at = trio.current_time()
        self.unreachable_since = None

    def record_link_error(self, started_at: float, exc: LinkError) -> None:
        """Records the end of a connection.

        Args:
            started_at: When the attempt began, in seconds.
            exc: What ended it. An endpoint that has answered something is not
                out of reach; it is avoided for a while if the answer was odd.
        """
        if exc.is_doubtful:
            self.record_reachable()
        elif exc.is_reachable:
            self._suspect_until = trio.current_time() + SUSPECT_SECONDS
            self.record_reachable()
        else:
            self.record_failure(started_at)

    def record_failure(self, started_at: float) -> None:
        """Records an attempt that failed without an answer.

        Args:
            started_at: When the attempt began, in seconds.
        """
        now = trio.current_time()
        self._suspect_until = now + SUSPECT_SECONDS
        if self.unreachable_since is None and started_at >= self.answered_at:
            self.unreachable_since = started_at

    def silent_seconds(self, now: float) -> float:
        """Returns for how long statements have waited without any answer.

        Args:
            now: The current time, in seconds.
        """
        oldest = min(self._running_since.values(), default=now)
        return now - max(oldest, self.answered_at)

    def unreachable_seconds(self, now: float) -> float:
        """Returns for how many seconds the endpoint has been unreachable.

        Args:
            now: The current time, in seconds.

        Returns:
            Zero if it is reachable; a negative number if it has neither
            failed nor answered recently.
        """
        if self.unreachable_since is not None:
            return now - self.unreachable_since
        return 0.0 if now - self.answered_at < REACHABLE_SECONDS else -1.0

    async def probe(self, workspace: str) -> None:
        """Opens a connection to find out whether the endpoint is reachable.

        An unexpected exception counts as a failure of this endpoint alone.

        Args:
            workspace: The workspace on whose behalf it is opened; the
                connection is kept in the pool if there is room.
        """
        started_at = trio.current_time()
        self.is_probing = True
        try:
            await self._probe(workspace, started_at)
        except Exception as exc:
            self._supervisor.report("probe", exc, endpoint=self.endpoint.name)
            self.record_failure(started_at)
            await trio.sleep(FAULT_RETRY_SECONDS)
        finally:
            self.is_probing = False

    async def _probe(self, workspace: str, started_at: float) -> None:
        try:
            with trio.fail_after(OPEN_TIMEOUT_SECONDS):
                link = await self.open_link(workspace)
        except LinkError as exc:
            if exc.is_fault:
                self.record_failure(started_at)
                await trio.sleep(FAULT_RETRY_SECONDS)
                return
            await trio.sleep(PROBE_RETRY_SECONDS)
            refusal = exc.refusal
            if refusal is not None and refusal.code is ErrorCode.MISROUTED:
                self.record_failure(started_at)
            elif refusal is None:
                self.record_link_error(started_at, exc)
            else:
                self.record_reachable()
        except trio.TooSlowError:
            self.record_failure(started_at)
        else:
            self.opened_count += 1
            self.record_reachable()
            self._record_position(link, started_at)
            self._add_idle(link)

    def close_excess_idle(self, now: float) -> None:
        """Closes connections that were idle for long, down to half the budget.

        After a power failure endpoints keep the previous connections open for
        seconds. So no more than half may be kept open, which leaves room for
        as many new ones.

        Args:
            now: The current time, in seconds.
        """
        kept = max(1, self.budget // 2)
        while len(self._links) > kept and self._idle:
            link = min(self._idle, key=lambda link: link.last_used_at)
            if now - link.last_used_at < EXCESS_IDLE_SECONDS:
                break
            self.discard(link)

    def close(self) -> None:
        """Closes idle connections now and the others when released."""
        self._closed = True
        self.close_idle()
        self.admission.close()

    def close_idle(self) -> None:
        """Closes the idle connections and wakes those who wait for one."""
        for link in [*self._idle]:
            self.discard(link)
        self._waiters.wake_all()

    def close_all(self) -> None:
        """Closes every connection immediately, whatever runs on it."""
        for link in [*self._links]:
            self.discard(link)

    def note_unexpected(self) -> bool:
        """Returns whether an answer that nobody asked for is news."""
        now = trio.current_time()
        is_news = now >= self._reported_until
        self._reported_until = now + REPORT_SECONDS
        self._repeats_until = now + REPETITION_SECONDS
        return is_news

    def _repeats_answers(self) -> bool:
        """Returns whether the endpoint is expected to repeat an answer."""
        return trio.current_time() < self._repeats_until

    def _record_position(self, link: Link, requested_at: float) -> None:
        if link.position is None:
            return
        self.position = link.position
        if self._on_position is not None:
            self._on_position(self, requested_at)

    def _connection_limit(self) -> int:
        """Returns how many connections may be open now."""
        if trio.current_time() < self._congested_until:
            return min(self.budget, self._congested_limit)
        return self.budget

    def _acquire_idle(self, workspace: str, use: LinkUse) -> Link | None:
        unsuited: Link | None = None
        for link in reversed(self._idle):
            if link.workspace != workspace:
                continue
            if not link.suits(use, self.position):
                unsuited = link
                continue
            self._idle.remove(link)
            if link.is_alive():
                return link
            self.discard(link)
            return self._acquire_idle(workspace, use)
        if use is LinkUse.TRANSACTION and unsuited is not None:
            # The one that is opened takes its place.
            self.discard(unsuited)
        return None

    def _close_oldest_idle(self) -> None:
        if self._idle:
            self.discard(self._idle[0])

    def _add_idle(self, link: Link) -> None:
        """Adds a new connection to the pool; closes it if there is no room."""
        if self._closed or len(self._links) + self._opening >= self.budget:
            link.close()
            return
        self._links.add(link)
        self.release(link)

    async def _open(
        self, workspace: str, deadline: float, use: LinkUse
    ) -> Link:
        """Opens a connection.

        Raises:
            NoLinkError: The endpoint is unreachable or refused.
        """
        self._opening += 1
        self._waiters.pinning += use is LinkUse.TRANSACTION
        started_at = trio.current_time()
        seconds = min(OPEN_TIMEOUT_SECONDS, max(0.0, deadline - started_at))
        try:
            with trio.fail_after(seconds):
                link = await self.open_link(workspace)
        except LinkError as exc:
            if exc.refusal is None:
                self.record_link_error(started_at, exc)
                failure = Failure(
                    ErrorCode.BUSY, "the endpoint is out of reach"
                )
            else:
                failure = exc.refusal
            raise NoLinkError(failure) from exc
        except trio.TooSlowError as exc:
            self.record_failure(started_at)
            failure = Failure(ErrorCode.BUSY, "the endpoint is out of reach")
            raise NoLinkError(failure) from exc
        finally:
            self._opening -= 1
            self._waiters.pinning -= use is LinkUse.TRANSACTION
            self._waiters.wake_next()
        self.opened_count += 1
        self.record_reachable()
        self._record_position(link, started_at)
        self._links.add(link)
        return link

    async def _wait_for_release(self, deadline: float, work: Work) -> None:
        """Waits until a connection may be available.

        Raises:
            NoLinkError: None became available before the deadline.
        """
        try:
            await self._waiters.wait(deadline, work)
        except trio.TooSlowError as exc:
            failure = Failure(ErrorCode.BUSY, "no connection was free in time")
            raise NoLinkError(failure) from exc
