"""Choice of the endpoint for a statement, and bookkeeping of its answers."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

from lagoonstair._types import Position
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._link import Link
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._pool import EndpointPool
from lagoonstair.routing import (
    Consistency,
    Route,
    SessionWrites,
    order_for_read,
)
from lagoonstair.statements import ErrorCode, Failure, Session

MAX_ATTEMPTS = 4
"""Maximum number of attempts at one statement, sized for groups of three
endpoints: one at each endpoint, and one repeated. Attempts that find an
endpoint busy do not count."""

STALENESS_MARGIN_SECONDS = 0.05
"""Safety margin in seconds that is subtracted from the staleness that a route
allows for reads; the clocks are assumed to run at the same rate."""

HEDGE_LATENCY_FACTOR = 8.0
"""Time after which an attempt at a read is given up and another endpoint is
tried, as a multiple of the endpoint's average latency."""

MIN_HEDGE_SECONDS = 0.3
"""Least time, in seconds, after which an attempt at a read is given up and
another endpoint is tried; the longest statements take some 0.2 s."""

MIN_STATEMENT_SECONDS = 0.02
"""Least time, in seconds, that must be left for a statement when a primary is
found or another attempt begins."""

PRIMARY_RETRY_SECONDS = 0.01
"""Delay in seconds before the primary is tried again; a new one may have been
recorded meanwhile."""

NO_PRIMARY_MESSAGE = "no primary can be used"

CONFIRMED_LATE_MESSAGE = "the primary may have been replaced meanwhile"


@dataclass(slots=True, kw_only=True)
class Caller:
    """The client on whose behalf statements run.

    Attributes:
        workspace: The workspace that the caller belongs to.
        session: The values and prepared statements of the caller's session.
        writes: The session's acknowledged writes.
    """

    workspace: str
    session: Session
    writes: SessionWrites = field(default_factory=SessionWrites)


@dataclass(frozen=True, slots=True)
class Target:
    """An endpoint that is chosen to run a statement.

    Attributes:
        pool: The endpoint's connections.
        after: The log position that the endpoint must have applied; ``None``
            without such a condition.
        is_primary: Whether it is used as its group's primary.
    """

    pool: EndpointPool
    after: Position | None
    is_primary: bool


class TargetSelector:
    """Chooses endpoints for statements and records their answers."""

    def __init__(self, fleet: Fleet, metrics: Metrics) -> None:
        self._fleet = fleet
        self._metrics = metrics

    async def choose(
        self,
        caller: Caller,
        route: Route,
        writes: bool,
        arrived_at: float,
        deadline: float,
        tried: set[str],
    ) -> Target | Failure:
        """Chooses an endpoint for a statement.

        Waits for a usable primary if the statement needs one, or if no
        endpoint can serve the first attempt at a read.

        Args:
            caller: The caller that sent the statement.
            route: The route of the caller's database name.
            writes: Whether only the primary can run the statement.
            arrived_at: When the statement arrived, in seconds.
            deadline: Time by which it must be answered, in seconds.
            tried: The endpoints where it has failed.

        Returns:
            The endpoint, or the failure to answer with if there is none.
        """
        if writes or route.consistency is Consistency.PRIMARY:
            return await self._wait_primary(route, deadline)
        target = self._choose_for_read(caller, route, arrived_at, tried)
        if target is not None:
            return target
        if tried:
            return Failure(ErrorCode.BUSY, "no endpoint can serve the read")
        return await self._wait_primary(route, deadline)

    def has_alternative(
        self, route: Route, writes: bool, tried: set[str]
    ) -> bool:
        """Returns whether an endpoint is left that may run the statement."""
        if writes:
            return False
        if route.consistency is Consistency.PRIMARY:
            return True
        return any(
            pool.endpoint.name not in tried
            for pool in self._fleet.group_pools(route.group)
        )

    def attempt_deadline(self, pool: EndpointPool, deadline: float) -> float:
        """Returns when to give up an attempt and try another endpoint.

        Args:
            pool: The endpoint of the attempt.
            deadline: Time by which the statement must be answered, in
                seconds.

        Returns:
            The time on trio's clock, in seconds; at most the deadline.
        """
        hedge_after = max(
            MIN_HEDGE_SECONDS, HEDGE_LATENCY_FACTOR * pool.latency
        )
        return min(deadline, trio.current_time() + hedge_after)

    def record_answer(
        self,
        caller: Caller,
        route: Route,
        pool: EndpointPool,
        link: Link,
        started_at: float,
        wrote: bool,
    ) -> None:
        """Records an answer's latency and log position.

        Args:
            caller: The caller that sent the statement.
            route: The route of the caller's database name.
            pool: The endpoint that answered.
            link: The connection on which it answered.
            started_at: When the statement was sent, in seconds.
            wrote: Whether it acknowledged a write, or a commit of writes. The
                position in a refusal may lack earlier writes.
        """
        now = trio.current_time()
        pool.record_answer(link, now - started_at)
        if wrote:
            # Recorded even if the primary's proof has expired meanwhile: the
            # write was acknowledged, so the session's reads must see it.
            caller.writes.record(route.group, link.position, now)

    def record_refusal(self, pool: EndpointPool, failure: Failure) -> None:
        """Counts a refusal by an endpoint."""
        if failure.code is ErrorCode.LAGGING:
            self._metrics.count("reads_lagging")
        self._metrics.count("endpoint_refusals", code=failure.code.value)

    def is_primary(self, pool: EndpointPool) -> bool:
        """Returns whether the endpoint is its group's proven primary now."""
        return self._fleet.primary(pool.endpoint.group) is pool

    def is_current(self, target: Target) -> bool:
        """Returns whether a target chosen as primary still is the primary."""
        return not target.is_primary or self.is_primary(target.pool)

    def epoch(self, group: str) -> int:
        """Returns the newest known epoch of a group's primary."""
        return self._fleet.primacy.epoch(group)

    def may_acknowledge(self, group: str, epoch: int) -> bool:
        """Returns whether a write that a primary has just confirmed is kept.

        Only groups with synchronous replicas promise that of every write. A
        confirmation that comes when another instance may already choose the
        next primary, such as after a suspension, leaves its write in doubt.

        Args:
            group: The group.
            epoch: The epoch in which the write was sent.
        """
        if not self._fleet.synchronous_replicas.count(group):
            return True
        holds_until = self._fleet.primacy.holds_until(group, epoch)
        if trio.current_time() < holds_until:
            return True
        self._metrics.count("writes_confirmed_late")
        return False

    @contextmanager
    def primary_use(self, group: str, is_primary: bool) -> Iterator[None]:
        """Counts the block as a use of the group's primary.

        Args:
            group: The group.
            is_primary: Whether the primary is used; if not, nothing is
                counted.
        """
        if not is_primary:
            yield
            return
        self.begin_primary_use(group)
        try:
            yield
        finally:
            self.end_primary_use(group)

    def begin_primary_use(self, group: str) -> None:
        """Counts one more use of a group's primary."""
        uses = self._fleet.primary_uses
        uses[group] = uses.get(group, 0) + 1

    def end_primary_use(self, group: str) -> None:
        """Ends a use of a group's primary; the last one wakes waiters."""
        self._fleet.primary_uses[group] -= 1
        if not self._fleet.primary_uses[group]:
            self._fleet.notify()

    def _choose_for_read(
        self, caller: Caller, route: Route, arrived_at: float, tried: set[str]
    ) -> Target | None:
        """Returns the best endpoint for a read, or ``None`` without one."""
        fleet = self._fleet
        primary = fleet.primacy.primary(route.group, trio.current_time())
        candidates = order_for_read(
            fleet.loads(route.group, caller.workspace, except_for=tried),
            now=trio.current_time(),
            primary=primary,
            min_position=self._required_position(caller, route, arrived_at),
            failure_domain=fleet.failure_domain,
            region_distance=fleet.distances.round_trip,
        )
        if not candidates:
            return None
        best = candidates[0]
        pool = fleet.pools[best.endpoint.name]
        return Target(pool, best.min_position, best.endpoint.name == primary)

    def _required_position(
        self, caller: Caller, route: Route, arrived_at: float
    ) -> Position | None:
        """Returns the log position that a replica must hold for a read.

        It covers the staleness bound of the route and, unless the route is
        only bounded, also the session's own writes. It is ``None`` if only the
        primary certainly holds all that.
        """
        since = arrived_at - route.max_staleness + STALENESS_MARGIN_SECONDS
        position = self._fleet.covering(route.group, since)
        if position is None or route.consistency is Consistency.BOUNDED:
            return position
        return caller.writes.required_position(route.group, position, since)

    async def _wait_primary(
        self, route: Route, deadline: float
    ) -> Target | Failure:
        """Waits for a usable primary.

        Fails at once, with a retry hint, if no recovery is expected before
        the deadline.
        """
        fleet = self._fleet
        while True:
            pool = fleet.primary(route.group)
            if (
                pool is not None
                and pool.unreachable_seconds(trio.current_time()) <= 0
            ):
                return Target(pool, None, True)
            time_left = deadline - trio.current_time() - MIN_STATEMENT_SECONDS
            recovery_seconds = fleet.estimate_recovery(route.group)
            if recovery_seconds > time_left:
                retry_ms = int(max(recovery_seconds, 0.1) * 1000)
                message = f"{NO_PRIMARY_MESSAGE}; retry_after_ms={retry_ms}"
                return Failure(ErrorCode.BUSY, message)
            await fleet.wait_change(min(time_left, 0.1))
