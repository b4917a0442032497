"""The connections of one instance to one endpoint."""

import heapq
import itertools
import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio

from lagoonstair._types import Position
from lagoonstair.proxy._link import Link, LinkError
from lagoonstair.queueing import QueueSettings, SlotScheduler
from lagoonstair.routing import Endpoint, EndpointLoad
from lagoonstair.statements import ErrorCode, Failure

OPEN_TIMEOUT_SECONDS = 0.6
"""How long an opening may take; it costs 12 ms and waits for a slot."""

LATENCY_WEIGHT = 0.15
"""Weight of the newest duration in the average."""

INITIAL_LATENCY_SECONDS = 0.02
"""What a statement is taken to cost before any ran; a typical read."""

PROBE_RETRY_SECONDS = 0.15
"""After which an endpoint that refuses connections is tried again."""

CONGESTED_SECONDS = 0.5
"""For how long no further connection is opened at an endpoint that has none
left; it drops those of dead instances after 3 s."""

EXCESS_IDLE_SECONDS = 1.0
"""How long a connection beyond half the budget stays open without use."""

SUSPECT_SECONDS = 1.0
"""For how long a failure is held against an endpoint that answers again."""

REACHABLE_SECONDS = 1.0
"""An answer younger than this shows that the endpoint is in reach."""


class NoLinkError(Exception):
    """No connection was free in time, or the endpoint refused one."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class EndpointPool:
    """Connections to an endpoint, and what is known of it.

    Attributes:
        endpoint: The endpoint.
        budget: How many connections this instance may have.
        slots: Shares the endpoint's slots among the workspaces.
        position: The end of its log, as it last told.
        answered_at: When it last answered, in seconds.
        failing_since: When the first of the attempts began that have failed
            without an answer since; ``None`` when it is in reach.
        opened: How many connections were opened.
        probing: Whether a try of the endpoint is under way.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        budget: int,
        on_position: Callable[["EndpointPool", float], None] | None = None,
    ) -> None:
        """Starts without a connection.

        Args:
            endpoint: The endpoint.
            budget: How many connections this instance may have.
            on_position: Called with the pool and the time of the question
                when the endpoint has reported its position.
        """
        self._on_position = on_position
        self.endpoint = endpoint
        self.budget = budget
        self.slots = SlotScheduler(
            endpoint.slots, settings=QueueSettings(max_wait=10.0)
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
        self._outstanding: dict[int, float] = {}
        self._tickets = itertools.count()
        self._waiters: list[tuple[int, int, trio.Event]] = []
        self._full_until = -math.inf
        self._full_at = budget
        self._closed = False

    def load(self, workspace: str, now: float) -> EndpointLoad:
        """What a choice between endpoints needs to know."""
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
        """Seconds that a statement took of late."""
        return self._latency

    async def acquire(
        self, workspace: str, *, deadline: float, priority: int
    ) -> Link:
        """Takes a connection of a workspace.

        Raises:
            NoLinkError: None was to be had; nothing was sent.
        """
        while not self._closed:
            link = self._take_idle(workspace)
            if link is not None:
                return link
            if len(self._links) + self._opening >= self._limit():
                self._close_one_idle()
            if len(self._links) + self._opening >= self._limit():
                await self._wait(deadline, priority)
                continue
            try:
                return await self._open(workspace, deadline)
            except NoLinkError as exc:
                if (
                    exc.failure.code is not ErrorCode.CONGESTED
                    or not self._links
                ):
                    raise
                # Others have the rest for now; go on with those held here.
                self._full_at = len(self._links)
                self._full_until = trio.current_time() + CONGESTED_SECONDS
        raise NoLinkError(Failure(ErrorCode.BUSY, "the endpoint has left"))

    def release(self, link: Link) -> None:
        """Returns a connection that is in no transaction."""
        if link not in self._links:
            return
        if self._closed or not link.is_usable:
            self.discard(link)
            return
        self._idle.append(link)
        self._wake_one()

    def discard(self, link: Link) -> None:
        """Closes a connection."""
        link.close()
        self._links.discard(link)
        if link in self._idle:
            self._idle.remove(link)
        self._wake_one()

    @asynccontextmanager
    async def statement_slot(
        self, workspace: str, deadline: float
    ) -> AsyncIterator[None]:
        """Holds a slot while a statement runs.

        Raises:
            LagoonstairError: No slot will be free in time; nothing was run.
        """
        self._busy += 1
        try:
            async with self.slots.slot(workspace, deadline=deadline):
                ticket = next(self._tickets)
                self._outstanding[ticket] = trio.current_time()
                try:
                    yield
                finally:
                    del self._outstanding[ticket]
        finally:
            self._busy -= 1

    def record_answer(self, link: Link, seconds: float) -> None:
        """Notes that the endpoint answered after some time."""
        self._latency += LATENCY_WEIGHT * (seconds - self._latency)
        self.record_reachable()
        self._note_position(link, trio.current_time() - seconds)

    def record_reachable(self) -> None:
        """Notes that the endpoint is in reach."""
        self.answered_at = trio.current_time()
        self.unreachable_since = None

    def record_failure(self, began: float) -> None:
        """Notes that an attempt failed without any answer."""
        now = trio.current_time()
        self._suspect_until = now + SUSPECT_SECONDS
        if self.unreachable_since is None and began >= self.answered_at:
            self.unreachable_since = began

    def silent_seconds(self, now: float) -> float:
        """For how long statements have waited without any answer."""
        oldest = min(self._outstanding.values(), default=now)
        return now - max(oldest, self.answered_at)

    def unreachable_seconds(self, now: float) -> float:
        """Seconds out of reach; 0 in reach, below 0 when not tried of late."""
        if self.unreachable_since is not None:
            return now - self.unreachable_since
        return 0.0 if now - self.answered_at < REACHABLE_SECONDS else -1.0

    async def probe(self, workspace: str) -> None:
        """Opens a connection to see whether the endpoint is in reach."""
        began = trio.current_time()
        self.is_probing = True
        try:
            with trio.fail_after(OPEN_TIMEOUT_SECONDS):
                link = await Link.open(self.endpoint, workspace)
        except LinkError as exc:
            await trio.sleep(PROBE_RETRY_SECONDS)
            if exc.refusal is None or exc.refusal.code is ErrorCode.MISROUTED:
                self.record_failure(began)
            else:
                self.record_reachable()
        except trio.TooSlowError:
            self.record_failure(began)
        else:
            self.opened_count += 1
            self.record_reachable()
            self._note_position(link, began)
            self._adopt(link)
        finally:
            self.is_probing = False

    def close_excess_idle(self, now: float) -> None:
        """Closes connections that have been idle, down to half the budget.

        After a power failure endpoints hold the connections of before for
        seconds. Those that are kept must leave room for as many new ones.
        """
        kept = max(1, self.budget // 2)
        while len(self._links) > kept and self._idle:
            link = min(self._idle, key=lambda link: link.last_used_at)
            if now - link.last_used_at < EXCESS_IDLE_SECONDS:
                break
            self.discard(link)

    def close(self) -> None:
        """Closes idle connections now and the others when they return."""
        self._closed = True
        for link in [*self._idle]:
            self.discard(link)
        while self._waiters:
            self._wake_one()

    def close_all(self) -> None:
        """Closes every connection at once, whatever runs on it."""
        for link in [*self._links]:
            self.discard(link)

    def _note_position(self, link: Link, asked_at: float) -> None:
        if link.position is None:
            return
        self.position = link.position
        if self._on_position is not None:
            self._on_position(self, asked_at)

    def _limit(self) -> int:
        """How many connections may be open now."""
        if trio.current_time() < self._full_until:
            return min(self.budget, self._full_at)
        return self.budget

    def _take_idle(self, workspace: str) -> Link | None:
        for link in reversed(self._idle):
            if link.workspace != workspace:
                continue
            self._idle.remove(link)
            if link.is_alive():
                return link
            self.discard(link)
            return self._take_idle(workspace)
        return None

    def _close_one_idle(self) -> None:
        if self._idle:
            self.discard(self._idle[0])

    def _adopt(self, link: Link) -> None:
        if self._closed or len(self._links) + self._opening >= self.budget:
            link.close()
            return
        self._links.add(link)
        self.release(link)

    async def _open(self, workspace: str, deadline: float) -> Link:
        self._opening += 1
        began = trio.current_time()
        seconds = min(OPEN_TIMEOUT_SECONDS, max(0.0, deadline - began))
        try:
            with trio.fail_after(seconds):
                link = await Link.open(self.endpoint, workspace)
        except LinkError as exc:
            if exc.refusal is None:
                self.record_failure(began)
                failure = Failure(
                    ErrorCode.BUSY, "the endpoint is out of reach"
                )
            else:
                failure = exc.refusal
            raise NoLinkError(failure) from exc
        except trio.TooSlowError as exc:
            self.record_failure(began)
            failure = Failure(ErrorCode.BUSY, "the endpoint is out of reach")
            raise NoLinkError(failure) from exc
        finally:
            self._opening -= 1
            self._wake_one()
        self.opened_count += 1
        self.record_reachable()
        self._note_position(link, began)
        self._links.add(link)
        return link

    async def _wait(self, deadline: float, priority: int) -> None:
        event = trio.Event()
        entry = (priority, next(self._tickets), event)
        heapq.heappush(self._waiters, entry)
        try:
            with trio.fail_after(max(0.0, deadline - trio.current_time())):
                await event.wait()
        except trio.TooSlowError as exc:
            if event.is_set():
                self._wake_one()
            failure = Failure(ErrorCode.BUSY, "no connection was free in time")
            raise NoLinkError(failure) from exc
        finally:
            if entry in self._waiters:
                self._waiters.remove(entry)
                heapq.heapify(self._waiters)

    def _wake_one(self) -> None:
        if self._waiters:
            _, _, event = heapq.heappop(self._waiters)
            event.set()
