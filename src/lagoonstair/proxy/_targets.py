"""Choice of the endpoint for a statement, and bookkeeping of its answers."""

import functools
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

from lagoonstair._types import Position
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.proxy._cold_gate import ColdGate
from lagoonstair.proxy._evacuator import (
    excluded_endpoints,
    refuses_primary,
    skipped_endpoints,
)
from lagoonstair.proxy._fleet import UNKNOWN_RECOVERY_SECONDS, Fleet
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

EVACUATED_MESSAGE = "the failure domain of the primary is evacuated"

WITHDRAWN_MESSAGE = "the key was withdrawn"

CONFIRMED_LATE_MESSAGE = "the primary may have been replaced meanwhile"


@dataclass(slots=True, kw_only=True)
class Caller:
    """The client on whose behalf statements run.

    Attributes:
        workspace: The workspace that the caller belongs to.
        session: The values and prepared statements of the caller's session.
        key: The key that the session was opened with; ``None`` if it is not
            checked.
        writes: The session's acknowledged writes.
    """

    workspace: str
    session: Session
    key: str | None = None
    writes: SessionWrites = field(default_factory=SessionWrites)


@dataclass(frozen=True, slots=True)
class Target:
    """An endpoint that is chosen to run a statement.

    Attributes:
        pool: The endpoint's connections.
        after: The log position that the endpoint must have applied; ``None``
            without such a condition.
        is_primary: Whether it is used as its group's primary.
        waits: Whether a statement waits for a token of the endpoint's rate if
            it has just started, because no other endpoint can run it.
    """

    pool: EndpointPool
    after: Position | None
    is_primary: bool
    waits: bool = True


class TargetSelector:
    """Chooses endpoints for statements and records their answers."""

    def __init__(
        self, fleet: Fleet, metrics: Metrics, cold_gate: ColdGate | None = None
    ) -> None:
        self._fleet = fleet
        self._metrics = metrics
        self._cold_gate = cold_gate

    async def choose(
        self,
        caller: Caller,
        route: Route,
        writes: bool,
        arrived_at: float,
        deadline: float,
        tried: set[str],
        *,
        begins_transaction: bool = False,
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
            begins_transaction: Whether it begins a transaction, which stays at
                the endpoint.

        Returns:
            The endpoint, or the failure to answer with if there is none.
        """
        domains = self._fleet.region_filter.domains(route, caller.workspace)
        if domains is not None and not any(
            pool.endpoint.failure_domain in domains
            for pool in self._fleet.group_pools(route.group)
        ):
            return self._fleet.region_filter.refuse()
        if writes or route.consistency is Consistency.PRIMARY:
            return await self._wait_primary(
                caller, route, deadline, begins_transaction
            )
        target = self._choose_for_read(
            caller, route, arrived_at, tried, begins_transaction
        )
        if target is not None:
            return target
        if tried:
            return Failure(ErrorCode.BUSY, "no endpoint can serve the read")
        return await self._wait_primary(
            caller, route, deadline, begins_transaction
        )

    def is_cold(self, pool: EndpointPool) -> bool:
        """Returns whether statements to an endpoint need tokens now."""
        gate = self._cold_gate
        return gate is not None and gate.is_cold(pool.endpoint)

    async def admit_cold(self, target: Target, statements: int = 1) -> None:
        """Takes the tokens for statements that are about to be sent.

        Args:
            target: The endpoint; without effect unless it has just started.
            statements: The number of statements.

        Raises:
            LagoonstairError: There are none; nothing may be sent.
        """
        if self._cold_gate is not None:
            await self._cold_gate.admit(
                target.pool.endpoint, statements=statements, waits=target.waits
            )

    async def try_admit_cold(self, pool: EndpointPool) -> bool:
        """Takes a token for a statement that can be left out, if there is one.

        Args:
            pool: The endpoint; without effect unless it has just started.
        """
        try:
            await self.admit_cold(Target(pool, None, False, waits=False))
        except LagoonstairError:
            return False
        return True

    def check_key(self, caller: Caller, route: Route) -> None:
        """Checks that the caller's key has not been withdrawn.

        Called directly before anything is sent on the caller's behalf, because
        the configuration may have changed during the waits before that.

        Args:
            caller: The caller.
            route: The route under which its operation began.

        Raises:
            LagoonstairError: It has been withdrawn; nothing may be sent.
        """
        config = self._fleet.config
        if caller.key is None or config is None:
            return
        if not config.permits_key(
            caller.key,
            caller.workspace,
            allows_anonymous=route.allows_anonymous,
        ):
            raise LagoonstairError(ErrorKind.UNAUTHENTICATED, WITHDRAWN_MESSAGE)

    def permits(self, caller: Caller, route: Route, pool: EndpointPool) -> bool:
        """Returns whether home regions let a caller's requests run there."""
        return self._fleet.region_filter.permits(
            route, caller.workspace, pool.endpoint.failure_domain
        )

    def has_alternative(
        self, caller: Caller, route: Route, writes: bool, tried: set[str]
    ) -> bool:
        """Returns whether an endpoint is left that may run the statement."""
        if writes:
            return False
        if route.consistency is Consistency.PRIMARY:
            return True
        return any(
            pool.endpoint.name not in tried
            and self.permits(caller, route, pool)
            and not self._fleet.is_excluded(pool)
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
        """Returns whether a target may still be used.

        One chosen as primary must still be the primary, and the endpoint must
        not have been evacuated meanwhile.
        """
        if self._fleet.is_excluded(target.pool):
            return False
        return not target.is_primary or self.is_primary(target.pool)

    def may_use(self, caller: Caller, route: Route, target: Target) -> bool:
        """Returns whether a statement may still be sent to its target."""
        return self.is_current(target) and self.permits(
            caller, route, target.pool
        )

    def may_begin(self, caller: Caller, route: Route, target: Target) -> bool:
        """Returns whether a transaction may begin at a target now."""
        return self.may_use(caller, route, target) and not self.is_evacuated(
            target.pool
        )

    def is_evacuated(self, pool: EndpointPool) -> bool:
        """Returns whether an endpoint's failure domain is evacuated."""
        domain = pool.endpoint.failure_domain
        return self._fleet.evacuation.is_evacuated(domain)

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
        self,
        caller: Caller,
        route: Route,
        arrived_at: float,
        tried: set[str],
        begins_transaction: bool,
    ) -> Target | None:
        """Returns the best endpoint for a read, or ``None`` without one."""
        fleet = self._fleet
        primary = fleet.primacy.primary(route.group, trio.current_time())
        domains = fleet.region_filter.domains(route, caller.workspace)
        loads = fleet.loads(route.group, caller.workspace, except_for=tried)
        order = functools.partial(
            order_for_read,
            [
                load
                for load in loads
                if domains is None or load.endpoint.failure_domain in domains
            ],
            now=trio.current_time(),
            primary=primary,
            min_position=self._required_position(caller, route, arrived_at),
            failure_domain=fleet.failure_domain,
        )
        serving = None if begins_transaction else primary
        excluded = excluded_endpoints(fleet, route.group, serving)
        skipped = skipped_endpoints(fleet, route.group)
        candidates = order(excluded=excluded | skipped)
        if not candidates and skipped:
            candidates = order(excluded=excluded)
        if not candidates:
            return None
        best = candidates[0]
        if self._cold_gate is not None:
            best = self._cold_gate.first_usable(
                candidates, pins=begins_transaction
            )
        pool = fleet.pools[best.endpoint.name]
        return Target(
            pool,
            best.min_position,
            best.endpoint.name == primary,
            waits=len(candidates) == 1,
        )

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
        self,
        caller: Caller,
        route: Route,
        deadline: float,
        begins_transaction: bool,
    ) -> Target | Failure:
        """Waits for a usable primary.

        Fails at once, with a retry hint, if no recovery is expected before
        the deadline.
        """
        fleet = self._fleet
        while True:
            if refuses_primary(fleet, route.group, begins_transaction):
                self._metrics.count("evacuation_refusals")
                retry_ms = int(UNKNOWN_RECOVERY_SECONDS * 1000)
                message = f"{EVACUATED_MESSAGE}; retry_after_ms={retry_ms}"
                return Failure(ErrorCode.BUSY, message)
            pool = fleet.primary(route.group)
            if pool is not None and not self.permits(caller, route, pool):
                return fleet.region_filter.refuse()
            if (
                pool is not None
                and pool.unreachable_seconds(trio.current_time()) <= 0
                and not (begins_transaction and self.is_evacuated(pool))
                and not fleet.is_excluded(pool)
            ):
                return Target(pool, None, True)
            time_left = deadline - trio.current_time() - MIN_STATEMENT_SECONDS
            recovery_seconds = fleet.estimate_recovery(route.group)
            if recovery_seconds > time_left:
                retry_ms = int(max(recovery_seconds, 0.1) * 1000)
                message = f"{NO_PRIMARY_MESSAGE}; retry_after_ms={retry_ms}"
                return Failure(ErrorCode.BUSY, message)
            await fleet.wait_change(min(time_left, 0.1))
