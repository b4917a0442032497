"""Sessions of callers whose workspaces have other instances as homes."""

from collections.abc import Awaitable, Callable

import trio

from lagoonstair.platform import lines
from lagoonstair.proxy._conversation import CallerConnection
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._isolation import IsolationWatch
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._primary_reach import NEEDS_PRIMARY
from lagoonstair.proxy._relay import RelayedSession
from lagoonstair.proxy._relays import HomeRouter
from lagoonstair.proxy._throttle import EntryThrottle
from lagoonstair.routing import Route
from lagoonstair.statements import ErrorCode, Failure, TransactionState

NO_HOME_MESSAGE = "no home is in reach"

Authorize = Callable[[CallerConnection], Route | Failure]

AllowedDomains = Callable[[], frozenset[str] | None]


class EntrySessions:
    """Runs authorized sessions here or relays them to their homes."""

    def __init__(
        self,
        fleet: Fleet,
        metrics: Metrics,
        router: HomeRouter,
        isolation: IsolationWatch | None = None,
    ) -> None:
        """Creates the entry of an instance.

        Args:
            fleet: The state of the instances and endpoints.
            metrics: The metrics.
            router: Finds homes and relays sessions to them.
            isolation: Tells whether this instance reaches any home; ``None``
                if that is not watched.
        """
        self._fleet = fleet
        self._metrics = metrics
        self._router = router
        self._isolation = isolation
        self._throttle: EntryThrottle | None = None
        if fleet.features.overload_control:
            self._throttle = EntryThrottle(fleet, metrics)

    async def run(
        self,
        connection: CallerConnection,
        authorize: Authorize,
        run_session: Callable[[CallerConnection], Awaitable[None]],
        resume_session: Callable[[CallerConnection], Awaitable[None]],
        allowed_domains: AllowedDomains = lambda: None,
    ) -> None:
        """Serves an authorized session until it ends.

        Args:
            connection: The caller's connection, from which START was read.
            authorize: Checks the session against the configuration.
            run_session: Runs a session whose home is this instance.
            resume_session: Goes on with a session taken back from its home.
            allowed_domains: Returns the failure domains that its home may be
                in; ``None`` for all.
        """
        assert connection.caller is not None
        workspace = connection.caller.workspace
        isolation = self._isolation_refusal(workspace, allowed_domains())
        if isolation is not None:
            await self._refuse(connection, isolation, "isolated")
            return
        refusal = self._throttle_refusal(
            workspace, connection.database, allowed_domains()
        )
        if refusal is not None:
            await connection.send_refusal(refusal)
            return
        route = authorize(connection)
        needs_primary = (
            self._fleet.features.sheds_unreachable
            and not self._fleet.homes.is_direct
            and isinstance(route, Route)
            and route.consistency in NEEDS_PRIMARY
        )
        found = await self._router.open_session(
            workspace,
            connection.stream,
            lines.encode_caller_start(connection.database, connection.key),
            lambda: (
                not isinstance(authorize(connection), Failure)
                and self._isolation_refusal(workspace, allowed_domains())
                is None
            ),
            route if needs_primary and isinstance(route, Route) else None,
            allowed_domains,
        )
        if found is None:
            await self._refuse_start(connection, authorize, allowed_domains())
            return
        if isinstance(found, Failure):
            await self._refuse(connection, found, "no_primary")
            return
        home_name, connection.relayed = found
        connection.home = home_name
        if connection.relayed is None:
            await run_session(connection)
            return
        await self._relay(connection, connection.relayed, home_name)
        if connection.relayed.is_detached:
            _take_back(connection, connection.relayed)
            await resume_session(connection)

    def _isolation_refusal(
        self, workspace: str, allowed: frozenset[str] | None
    ) -> Failure | None:
        """Returns the refusal of a session if no home is in reach."""
        if self._isolation is None:
            return None
        return self._isolation.refusal(workspace, allowed)

    def _throttle_refusal(
        self, workspace: str, database: str, allowed: frozenset[str] | None
    ) -> Failure | None:
        """Returns the refusal of a session of a throttled workspace."""
        if self._throttle is None:
            return None
        home = next(iter(self._router.candidates(workspace, allowed)), None)
        if home == self._fleet.name:
            return None
        return self._throttle.refuse(workspace, database, stage="start")

    async def _refuse_start(
        self,
        connection: CallerConnection,
        authorize: Authorize,
        allowed: frozenset[str] | None,
    ) -> None:
        """Refuses a session that no home has opened."""
        assert connection.caller is not None
        refusal = authorize(connection)
        if isinstance(refusal, Failure):
            self._metrics.count("starts_refused", code=refusal.code.value)
            await connection.send_refusal(refusal)
            return
        isolation = self._isolation_refusal(
            connection.caller.workspace, allowed
        )
        if isolation is not None:
            await self._refuse(connection, isolation, "isolated")
            return
        failure = Failure(ErrorCode.BUSY, NO_HOME_MESSAGE)
        await self._refuse(connection, failure, "no_home")

    async def _refuse(
        self, connection: CallerConnection, failure: Failure, code: str
    ) -> None:
        """Counts, logs and sends the refusal of a session."""
        assert connection.caller is not None
        self._metrics.count("starts_refused", code=code)
        log_event(
            "session refused",
            cause=failure.message,
            database=connection.database,
            workspace=connection.caller.workspace,
            line=self._router.candidates(connection.caller.workspace),
        )
        await connection.send_refusal(failure)

    async def _relay(
        self,
        connection: CallerConnection,
        session: RelayedSession,
        home_name: str,
    ) -> None:
        """Relays a session that a home has opened until it ends."""
        assert connection.caller is not None
        if self._throttle is not None:
            workspace = connection.caller.workspace
            gate = self._throttle.gate(workspace, connection.database)
            session.set_gate(gate)
        failure = await self._router.relay(
            session,
            home_name,
            connection.database,
            connection.splitter.take_remaining(),
        )
        if failure is not None:
            self._log_lost_home(connection, session, home_name, failure)
            await connection.send_final_result(failure, session.state)

    def _log_lost_home(
        self,
        connection: CallerConnection,
        relayed: RelayedSession,
        home: str,
        failure: Failure,
    ) -> None:
        """Logs the statement in progress when the home was lost.

        The home can no longer log it, so the relaying instance does.
        """
        query = relayed.outstanding_query()
        assert connection.caller is not None
        self._metrics.count("statements", outcome=failure.code.value)
        log_event(
            "statement answered",
            request="" if query is None else query.request_id,
            kind="" if query is None else statement_kind(query),
            outcome=failure.code.value,
            cause=failure.message,
            home=home,
            database=connection.database,
            workspace=connection.caller.workspace,
            seconds=round(relayed.waiting_seconds(trio.current_time()), 4),
            state=relayed.state.value,
        )


def _take_back(connection: CallerConnection, relayed: RelayedSession) -> None:
    """Makes a session that has left its home one of this instance.

    Its transaction was rolled back with the connection to the home.
    """
    connection.relayed = None
    connection.is_detached = True
    connection.splitter.feed(relayed.take_unanswered())
    if relayed.state is not TransactionState.IDLE:
        connection.session.state = TransactionState.FAILED


def statement_kind(query: lines.Query) -> str:
    """Returns the kind of a statement, for logs and metrics."""
    return type(query.statement).__name__.lower()
