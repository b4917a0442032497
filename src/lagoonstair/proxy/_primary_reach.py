"""Turns sessions away from a home that can't reach their group's primary."""

import math
from collections.abc import Callable, Iterable

import trio

from lagoonstair.proxy._conversation import CallerConnection
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._sockets import is_readable
from lagoonstair.reachability import OUT_OF_REACH_MESSAGE, is_out_of_reach
from lagoonstair.routing import Consistency, Route
from lagoonstair.statements import ErrorCode, Failure

STEP_SECONDS = 0.05
"""Interval in seconds between two checks, and between two parts of the idle
sessions that are closed."""

CLOSED_SHARE = 0.1
"""Fraction of the idle sessions that is closed at a time, so that their callers
do not return all at once."""

NEEDS_PRIMARY = frozenset({Consistency.PRIMARY, Consistency.SESSION})
"""Consistencies of the routes whose sessions need the primary."""


def unreached_group(fleet: Fleet, route: Route | None) -> bool:
    """Returns whether a route's sessions should run at another instance."""
    if route is None or route.consistency not in NEEDS_PRIMARY:
        return False
    return _is_unreached(fleet, route.group)


def _is_unreached(fleet: Fleet, group: str) -> bool:
    record = fleet.primacy.records.get(group)
    pool = None if record is None else fleet.pools.get(record.primary)
    if record is None or pool is None:
        return False
    seconds = pool.unreachable_seconds(trio.current_time())
    return is_out_of_reach(seconds, record.promoting)


class PrimaryReach:
    """Refuses and closes a home's relayed sessions without a primary."""

    def __init__(
        self,
        fleet: Fleet,
        metrics: Metrics,
        connections: Callable[[], Iterable[CallerConnection]],
    ) -> None:
        """Creates a watch for which all primaries are in reach.

        Args:
            fleet: The state of the instances and endpoints.
            metrics: The metrics.
            connections: Returns the present connections of callers.
        """
        self._fleet = fleet
        self._metrics = metrics
        self._connections = connections
        self._unreached: set[str] = set()
        self._closing: list[CallerConnection] = []
        self._part = 0

    def refusal(self, database: str) -> Failure | None:
        """Returns why a relayed session is not opened here, if so."""
        if not unreached_group(self._fleet, self._route(database)):
            return None
        self._metrics.count("starts_refused", code="primary_out_of_reach")
        return Failure(ErrorCode.BUSY, OUT_OF_REACH_MESSAGE)

    async def run(self) -> None:
        """Watches the primaries until cancelled."""
        while True:
            self.check()
            self._close_part()
            await trio.sleep(STEP_SECONDS)

    def check(self) -> None:
        """Notes the groups whose primary has gone out of reach."""
        homes = self._fleet.homes
        if self._fleet.name not in homes.names:
            return
        for group in [*self._fleet.primacy.records]:
            if not _is_unreached(self._fleet, group):
                self._unreached.discard(group)
            elif group not in self._unreached:
                self._unreached.add(group)
                sessions = [*self._sessions(group)]
                self._closing += sessions
                self._part = math.ceil(len(self._closing) * CLOSED_SHARE)
                if homes.is_direct and not sessions:
                    continue
                log_event(
                    "home without primary",
                    group=group,
                    primary=self._fleet.primacy.records[group].primary,
                    sessions=len(sessions),
                )

    def _sessions(self, group: str) -> Iterable[CallerConnection]:
        """Returns the relayed sessions that need a group's primary."""
        for connection in self._connections():
            route = self._route(connection.database)
            if (
                connection.is_movable
                and route is not None
                and route.group == group
                and route.consistency in NEEDS_PRIMARY
            ):
                yield connection

    def _close_part(self) -> None:
        """Closes the next part of the sessions, if they are idle.

        Those whose primary is in reach again, or is being replaced, stay.
        """
        part = self._closing[: self._part]
        del self._closing[: self._part]
        for connection in part:
            if (
                unreached_group(self._fleet, self._route(connection.database))
                and connection.wait_scope is not None
                and connection.is_idle
                and not is_readable(connection.stream)
            ):
                connection.wait_scope.cancel()

    def _route(self, database: str) -> Route | None:
        config = self._fleet.config
        return None if config is None else config.routes.get(database)
