"""Choice of a session's home, and detection of lost homes."""

import math
from collections.abc import Awaitable, Callable, Iterable, Sequence

import trio

from lagoonstair._types import Address
from lagoonstair.platform import lines
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._primary_reach import unreached_group
from lagoonstair.proxy._relay import HomeLostError, RelayedSession
from lagoonstair.reachability import OUT_OF_REACH_MESSAGE, RefusingHomes
from lagoonstair.routing import Consistency, Route
from lagoonstair.statements import ErrorCode, Failure

LOST_HOME_SKIP_SECONDS = 2.0
"""Time in seconds for which a home that could not be reached is skipped."""

REFUSED_HOME_SKIP_SECONDS = 0.25
"""Time in seconds for which a home whose process does not run is skipped; the
process starts again within half a second."""

HOME_SEARCH_SECONDS = 1.2
"""Time limit in seconds of the search for a reachable home after a crash of
all instances; callers give up a session that is not open after 2 s."""

HOME_SEARCH_PAUSE_SECONDS = 0.05
"""Delay in seconds between two rounds through the homes during a search."""

WATCH_INTERVAL_SECONDS = 0.2
"""Interval in seconds at which sessions that wait for an answer are
examined."""

HOME_CHECK_SECONDS = 0.4
"""Time in seconds after which the home of an unanswered statement is checked;
the longest statements take some 0.2 s at an endpoint."""

LATE_ANSWER_MARGIN_SECONDS = 0.5
"""Time in seconds beyond a route's time limit after which a connection to a
home counts as dead; the home enforces the limit itself, so its answer should
have come before."""

UNMOVED_PORT_STEP = 1
"""Offset from a home's port for relayed sessions to the one on which it runs
them also if their primary is out of reach."""

MIN_RETRY_SECONDS = 0.5
"""Least retry hint in seconds when no home reaches the primary; they have not
reached it for this long."""

NO_PRIMARY_IN_REACH_MESSAGE = "no home reaches the primary"

DEFAULT_TIMEOUT_SECONDS = 1.5
"""Time limit in seconds of a statement whose route was removed."""


class HomeRouter:
    """Finds the homes of workspaces and relays sessions to them.

    Attributes:
        home_answered_at: When a home last answered the opening of a session,
            in seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        metrics: Metrics,
        address_of: Callable[[str], Address | None],
        is_reachable: Callable[[str], Awaitable[bool]],
    ) -> None:
        """Creates a router that assumes that all homes are reachable.

        Args:
            fleet: The state of the instances and endpoints.
            metrics: The metrics, for the count of lost homes.
            address_of: Returns an instance's address for relayed sessions.
            is_reachable: Returns whether an instance answers a call now.
        """
        self._fleet = fleet
        self._metrics = metrics
        self._address_of = address_of
        self._is_reachable = is_reachable
        self._skipped_until: dict[str, float] = {}
        self._sessions: dict[RelayedSession, tuple[str, str]] = {}
        self._being_checked: set[str] = set()
        self.home_answered_at = -math.inf
        self._refusing = RefusingHomes()

    def candidates(
        self, workspace: str, allowed: frozenset[str] | None = None
    ) -> Sequence[str]:
        """Returns the instances to try for a workspace, in order.

        Those that were lost recently are left out, unless all were.

        Args:
            workspace: The workspace.
            allowed: The failure domains that a home may be in; ``None`` for
                all. Without a home in them, this instance is the only one to
                try.
        """
        fleet = self._fleet
        if fleet.homes.is_direct:
            return [fleet.name]
        now = trio.current_time()
        ranked: Sequence[str]
        if allowed is None:
            ranked = fleet.homes.candidates_from(workspace, fleet.name)
        else:
            ranked = fleet.homes.candidates_from(
                workspace, fleet.name, allowed=allowed
            ) or [fleet.name]
        available = [
            name for name in ranked if self._skipped_until.get(name, now) <= now
        ]
        return available or ranked

    async def open_session(
        self,
        workspace: str,
        caller: trio.SocketStream,
        start: bytes,
        is_authorized: Callable[[], bool],
        route: Route | None = None,
        allowed_domains: Callable[[], frozenset[str] | None] = lambda: None,
    ) -> tuple[str, RelayedSession | None] | Failure | None:
        """Opens a session at the first candidate home that is reachable.

        When all instances restart, some are up before the homes are. A caller
        that is refused then soon exhausts its attempts, so this waits for a
        home instead.

        A home that refuses a session which this instance's configuration
        allows holds another configuration, for example because it was cut off
        until a moment ago. The refusal is not passed on: either the home or
        this instance learns of the newer configuration within a round of
        gossip.

        Args:
            workspace: The caller's workspace.
            caller: The caller's connection.
            start: The caller's first line.
            is_authorized: Returns whether the session is authorized here.
            route: The session's route if it needs the primary and homes that
                can't reach it refuse the session; else ``None``.
            allowed_domains: Returns the failure domains that a home may be
                in; ``None`` for all.

        Returns:
            The home's name, and the session there unless the home is this
            instance; ``None`` if no home opened it in time, or if it is not
            authorized any more; the refusal if no home reaches the primary.
        """
        give_up_at = trio.current_time() + HOME_SEARCH_SECONDS
        while is_authorized():
            allowed = allowed_domains()
            candidates = self.candidates(workspace, allowed)
            order = self._start_order(candidates, route, allowed)
            # Candidates that are skipped have refused a moment ago.
            is_refused = any(name not in order for name in candidates)
            for name in order:
                if name == self._fleet.name:
                    if not unreached_group(self._fleet, route):
                        return name, None
                    is_refused = True
                    continue
                session = await self._open(name, caller, start)
                if allowed_domains() != allowed:
                    # A configuration that was applied meanwhile may exclude
                    # this home and those that follow.
                    if session is not None:
                        session.close()
                    is_refused = False
                    break
                if session is None:
                    continue
                if route is None or not self._is_moved(name, session, route):
                    return name, session
                is_refused = True
            if route is not None and is_refused:
                return await self._open_unmoved(
                    workspace, caller, start, route, allowed_domains
                )
            if trio.current_time() + HOME_SEARCH_PAUSE_SECONDS > give_up_at:
                return None
            await trio.sleep(HOME_SEARCH_PAUSE_SECONDS)
        return None

    def _start_order(
        self,
        candidates: Sequence[str],
        route: Route | None,
        allowed: frozenset[str] | None,
    ) -> Sequence[str]:
        """Returns the homes to ask for a session, in order."""
        if route is None:
            return candidates
        now = trio.current_time()
        return self._refusing.order(
            now,
            route.group,
            self._fleet.primacy.records.get(route.group),
            candidates=candidates,
            homes=(
                name
                for name in self._homes_in(allowed)
                if self._skipped_until.get(name, now) <= now
            ),
        )

    def _homes_in(self, allowed: frozenset[str] | None) -> frozenset[str]:
        """Returns the homes in some failure domains; ``None`` for all."""
        names = self._fleet.homes.names
        if allowed is None:
            return names
        places = self._fleet.places
        return frozenset(
            name
            for name in names
            if name in places and places[name].failure_domain in allowed
        )

    def _is_moved(
        self, name: str, session: RelayedSession, route: Route
    ) -> bool:
        """Returns whether a home refused a session for lack of a primary."""
        expected = Failure(ErrorCode.BUSY, OUT_OF_REACH_MESSAGE)
        if session.greeting != lines.encode_failure(expected):
            return False
        session.close()
        record = self._fleet.primacy.records.get(route.group)
        now = trio.current_time()
        self._metrics.count("starts_moved")
        if self._refusing.note(now, name, route.group, record):
            log_event("start moved", peer=name, group=route.group)
        return True

    async def _open_unmoved(
        self,
        workspace: str,
        caller: trio.SocketStream,
        start: bytes,
        route: Route,
        allowed_domains: Callable[[], frozenset[str] | None],
    ) -> tuple[str, RelayedSession | None] | Failure:
        """Opens a session for which no home reaches the primary.

        If the route allows reads elsewhere, the first candidate runs it.
        """
        seconds = self._fleet.estimate_recovery(route.group)
        retry_ms = int(max(seconds, MIN_RETRY_SECONDS) * 1000)
        failure = Failure(
            ErrorCode.BUSY,
            f"{NO_PRIMARY_IN_REACH_MESSAGE}; retry_after_ms={retry_ms}",
        )
        if route.consistency is Consistency.PRIMARY:
            return failure
        allowed = allowed_domains()
        for name in self.candidates(workspace, allowed):
            if name == self._fleet.name:
                return name, None
            session = await self._open(
                name, caller, start, port_step=UNMOVED_PORT_STEP
            )
            if allowed_domains() != allowed:
                if session is not None:
                    session.close()
                return failure
            if session is not None:
                return name, session
        return failure

    async def _open(
        self,
        name: str,
        caller: trio.SocketStream,
        start: bytes,
        *,
        port_step: int = 0,
    ) -> RelayedSession | None:
        """Opens a session at a home.

        Args:
            name: The name of the home.
            caller: The caller's connection.
            start: The caller's first line.
            port_step: What to add to the port for relayed sessions.

        Returns:
            The session, or ``None`` if the home is unreachable or holds
            another configuration than this instance.
        """
        address = self._address_of(name)
        if address is None:
            return None
        if port_step:
            address = Address(address.host, address.port + port_step)
        try:
            session = await RelayedSession.open(caller, address, start)
        except HomeLostError as exc:
            if port_step:
                # An earlier build does not listen there.
                return None
            seconds = (
                REFUSED_HOME_SKIP_SECONDS
                if exc.is_refused
                else LOST_HOME_SKIP_SECONDS
            )
            self.mark_lost(name, str(exc), seconds)
            return None
        except Exception as exc:
            self._fleet.supervisor.report("home", exc, peer=name)
            self.mark_lost(name, "internal error")
            return None
        self.home_answered_at = trio.current_time()
        if not lines.is_authorization_refusal(session.greeting):
            return session
        session.close()
        self._metrics.count("homes_outdated")
        log_event("home refused an authorized session", peer=name)
        return None

    async def relay(
        self,
        session: RelayedSession,
        name: str,
        database: str,
        early_data: bytes,
    ) -> Failure | None:
        """Relays a session until either side closes its connection.

        Args:
            session: The session.
            name: The name of its home.
            database: The database name that its caller asked for.
            early_data: The data that the caller sent after its first line.

        Returns:
            The failure to send to the caller if the home was lost while the
            caller waited for an answer, else ``None``.
        """
        self._sessions[session] = (name, database)
        try:
            failure = await session.run(early_data)
        finally:
            del self._sessions[session]
        self._log_bad_answer(session, name, database)
        if failure is not None and not session.is_cut:
            self.mark_lost(name, failure.code.value, self._break_seconds())
        return failure

    def _log_bad_answer(
        self, session: RelayedSession, name: str, database: str
    ) -> None:
        """Logs and counts an answer that was refused, cut off, or both."""
        query = session.cut_query()
        request = "" if query is None else query.request_id
        if session.fault:
            self._metrics.count("home_answers_refused", cause=session.fault)
            log_event(
                "home answer refused",
                peer=name,
                cause=session.fault,
                request=request,
                database=database,
            )
        if session.is_answer_cut:
            self._metrics.count("home_answers_cut")
            log_event(
                "home answer cut off",
                peer=name,
                cause="shutdown" if session.is_cut else "home lost",
                request=request,
                database=database,
            )

    async def end_silent_sessions(self) -> None:
        """Ends sessions whose home does not answer; runs until cancelled.

        An instance that is frozen or lost power closes no connection, so only
        missing answers show the loss.
        """
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(WATCH_INTERVAL_SECONDS)
                now = trio.current_time()
                for session in [*self._sessions]:
                    name, database = self._sessions[session]
                    waited = session.waiting_seconds(now)
                    if (
                        waited
                        > self._timeout(database) + LATE_ANSWER_MARGIN_SECONDS
                    ):
                        session.cancel()
                    elif (
                        waited > HOME_CHECK_SECONDS
                        and name not in self._being_checked
                    ):
                        self._being_checked.add(name)
                        nursery.start_soon(self._check_home, name)

    def mark_lost(
        self, name: str, cause: str, seconds: float = LOST_HOME_SKIP_SECONDS
    ) -> None:
        """Marks a home as lost, so that new sessions skip it for a while.

        Args:
            name: The name of the home.
            cause: What happened, for the log.
            seconds: The time for which the home is skipped.
        """
        now = trio.current_time()
        if self._skipped_until.get(name, now) <= now:
            log_event("home lost", peer=name, cause=cause)
        self._skipped_until[name] = now + seconds
        self._metrics.count("homes_lost")

    def _break_seconds(self) -> float:
        """Returns for how long a home is skipped that broke off a session.

        Homes that can't reach a primary close idle sessions, sometimes just
        when a statement arrives. One that has really gone refuses or does not
        answer the next session.
        """
        if self._fleet.features.sheds_unreachable:
            return REFUSED_HOME_SKIP_SECONDS
        return LOST_HOME_SKIP_SECONDS

    async def _check_home(self, name: str) -> None:
        """Ends the sessions at a home if it does not answer a call either."""
        try:
            with self._fleet.supervisor.contain("home check", peer=name):
                if await self._is_reachable(name):
                    return
                self.mark_lost(name, "silent")
                for session in self._sessions_at(name):
                    if session.is_idle or session.is_waiting:
                        session.cancel()
        finally:
            self._being_checked.discard(name)

    def _sessions_at(self, name: str) -> Iterable[RelayedSession]:
        """Returns the sessions that a home runs."""
        return [
            session
            for session, (home, _) in self._sessions.items()
            if home == name
        ]

    def _timeout(self, database: str) -> float:
        """Returns the time limit of a database's statements, in seconds."""
        config = self._fleet.config
        route = None if config is None else config.routes.get(database)
        return DEFAULT_TIMEOUT_SECONDS if route is None else route.timeout
