"""Which endpoint runs a statement, and what its answers tell."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

from lagoonstair._types import Position
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._link import Link
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._pool import EndpointPool
from lagoonstair.routing import Consistency, Route, order_for_read
from lagoonstair.statements import ErrorCode, Failure, Session

MAX_ATTEMPTS = 4
"""Endpoints that one statement is tried at: each of a group, and one again."""

STALENESS_MARGIN_SECONDS = 0.05
"""By how much fresher a read is than its route asks; clocks run alike."""

HEDGE_LATENCY_FACTOR = 8.0
"""A read is tried elsewhere after this many times its usual duration."""

MIN_HEDGE_SECONDS = 0.3
"""But not before: the longest statements take some 0.2 s."""

MIN_STATEMENT_SECONDS = 0.02
"""Least time left for a statement once a primary is found."""

PRIMARY_RETRY_SECONDS = 0.01
"""Before the primary is tried again; a new one may have been recorded."""

NO_PRIMARY_MESSAGE = "no primary can be used"


@dataclass(slots=True, kw_only=True)
class Caller:
    """On whose behalf statements run.

    Attributes:
        workspace: The caller's workspace.
        session: Its session's values and prepared statements.
        written: The position of its last commit, and the group it went to.
    """

    workspace: str
    session: Session
    last_write: tuple[str, Position] | None = None


@dataclass(frozen=True, slots=True)
class Target:
    """An endpoint that is to run a statement.

    Attributes:
        pool: The endpoint.
        after: The position that its log must hold.
        is_primary: Whether it is used as its group's primary.
    """

    pool: EndpointPool
    after: Position | None
    is_primary: bool


class TargetSelector:
    """Chooses endpoints and takes over what their answers tell."""

    def __init__(self, fleet: Fleet, metrics: Metrics) -> None:
        self._fleet = fleet
        self._metrics = metrics

    async def choose(
        self,
        caller: Caller,
        route: Route,
        writes: bool,
        arrived: float,
        deadline: float,
        tried: set[str],
    ) -> Target | Failure:
        """Chooses an endpoint, or tells why there is none.

        Args:
            caller: On whose behalf the statement runs.
            route: Where it goes.
            writes: Whether only the primary can run it.
            arrived: When it came, in seconds.
            deadline: When it must have been answered.
            tried: Endpoints that have failed it.
        """
        if writes or route.consistency is Consistency.PRIMARY:
            return await self._wait_primary(route, deadline)
        target = self._choose_for_read(caller, route, arrived, tried)
        if target is not None:
            return target
        if tried:
            return Failure(ErrorCode.BUSY, "no endpoint can serve the read")
        return await self._wait_primary(route, deadline)

    def has_alternative(
        self, route: Route, writes: bool, tried: set[str]
    ) -> bool:
        """Whether another endpoint may run the statement."""
        if writes:
            return False
        if route.consistency is Consistency.PRIMARY:
            return True
        return any(
            pool.endpoint.name not in tried
            for pool in self._fleet.group_pools(route.group)
        )

    def attempt_deadline(self, pool: EndpointPool, deadline: float) -> float:
        """Until when to wait for an endpoint before another is tried."""
        patience = max(MIN_HEDGE_SECONDS, HEDGE_LATENCY_FACTOR * pool.latency)
        return min(deadline, trio.current_time() + patience)

    def record_answer(
        self,
        caller: Caller,
        route: Route,
        pool: EndpointPool,
        link: Link,
        began: float,
        wrote: bool,
    ) -> None:
        """Takes over what an answer tells of the endpoint."""
        pool.record_answer(link, trio.current_time() - began)
        if link.position is None:
            return
        if wrote:
            # Also when the primary's proof has run out meanwhile: the write
            # was acknowledged, so the session's reads must see it.
            caller.last_write = (route.group, link.position)

    def record_refusal(self, pool: EndpointPool, failure: Failure) -> None:
        """Counts what an endpoint refused."""
        if failure.code is ErrorCode.LAGGING:
            self._metrics.count("reads_lagging")
        self._metrics.count("endpoint_refusals", code=failure.code.value)

    def is_primary(self, pool: EndpointPool) -> bool:
        """Whether the endpoint is proved to be its group's primary now."""
        return self._fleet.primary(pool.endpoint.group) is pool

    def is_current(self, target: Target) -> bool:
        """Whether what it was chosen as still holds."""
        return not target.is_primary or self.is_primary(target.pool)

    @contextmanager
    def primary_use(self, group: str, is_primary: bool) -> Iterator[None]:
        """Counts a use of a group's primary inside the block."""
        if not is_primary:
            yield
            return
        self.begin_primary_use(group)
        try:
            yield
        finally:
            self.end_primary_use(group)

    def begin_primary_use(self, group: str) -> None:
        """Counts a use of a group's primary."""
        uses = self._fleet.primary_uses
        uses[group] = uses.get(group, 0) + 1

    def end_primary_use(self, group: str) -> None:
        """Ends a use of a group's primary."""
        self._fleet.primary_uses[group] -= 1
        if not self._fleet.primary_uses[group]:
            self._fleet.notify()

    def _choose_for_read(
        self, caller: Caller, route: Route, arrived: float, tried: set[str]
    ) -> Target | None:
        fleet = self._fleet
        primary = fleet.primacy.primary(route.group, trio.current_time())
        candidates = order_for_read(
            fleet.loads(route.group, caller.workspace, except_for=tried),
            now=trio.current_time(),
            primary=primary,
            min_position=self._required_position(caller, route, arrived),
            failure_domain=fleet.failure_domain,
        )
        if not candidates:
            return None
        best = candidates[0]
        pool = fleet.pools[best.endpoint.name]
        return Target(pool, best.min_position, best.endpoint.name == primary)

    def _required_position(
        self, caller: Caller, route: Route, arrived: float
    ) -> Position | None:
        """The position that a replica's log must hold for a read."""
        since = arrived - route.max_staleness + STALENESS_MARGIN_SECONDS
        position = self._fleet.covering(route.group, since)
        if position is None or route.consistency is Consistency.BOUNDED:
            return position
        if (
            caller.last_write is not None
            and caller.last_write[0] == route.group
        ):
            return max(position, caller.last_write[1])
        return position

    async def _wait_primary(
        self, route: Route, deadline: float
    ) -> Target | Failure:
        fleet = self._fleet
        while True:
            pool = fleet.primary(route.group)
            if (
                pool is not None
                and pool.unreachable_seconds(trio.current_time()) <= 0
            ):
                return Target(pool, None, True)
            left = deadline - trio.current_time() - MIN_STATEMENT_SECONDS
            due = fleet.estimate_recovery(route.group)
            if due > left:
                later = int(max(due, 0.1) * 1000)
                message = f"{NO_PRIMARY_MESSAGE}; retry_after_ms={later}"
                return Failure(ErrorCode.BUSY, message)
            await fleet.wait_change(min(left, 0.1))
