"""Which home runs a caller's session, and which homes are lost."""

from collections.abc import Awaitable, Callable, Iterable, Sequence

import trio

from lagoonstair._types import Address
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._relay import HomeLostError, RelayedSession
from lagoonstair.statements import Failure

LOST_HOME_SKIP_SECONDS = 2.0
"""For how long a home that could not be reached is passed over."""

REFUSED_HOME_SKIP_SECONDS = 0.25
"""The same for a home whose process does not run; it starts again within
half a second."""

HOME_SEARCH_SECONDS = 1.2
"""How long a caller waits for the first home that can be reached, after a
crash of all; it gives a session up that is not open after 2 s."""

HOME_SEARCH_PAUSE_SECONDS = 0.05
"""Between two rounds through the homes meanwhile."""

WATCH_INTERVAL_SECONDS = 0.2
"""How often the sessions that wait for an answer are looked at."""

HOME_CHECK_SECONDS = 0.4
"""After which an unanswered statement has its home checked; the longest ones
take some 0.2 s at an endpoint."""

LATE_ANSWER_MARGIN_SECONDS = 0.5
"""How much later than a route's time limit a home may answer; it keeps the
limit itself, so a later answer means that the connection is silent."""

DEFAULT_TIMEOUT_SECONDS = 1.5
"""Seconds that a statement may take once its route is gone."""


class HomeRouter:
    """Finds the homes of workspaces and relays sessions there."""

    def __init__(
        self,
        fleet: Fleet,
        metrics: Metrics,
        address_of: Callable[[str], Address | None],
        reaches: Callable[[str], Awaitable[bool]],
    ) -> None:
        """Starts with all homes in reach.

        Args:
            fleet: What is known of the instances.
            metrics: Counts homes that were lost.
            address_of: Where an instance takes relayed sessions.
            reaches: Whether an instance answers a call now.
        """
        self._fleet = fleet
        self._metrics = metrics
        self._address_of = address_of
        self._reaches = reaches
        self._lost_until: dict[str, float] = {}
        self._sessions: dict[RelayedSession, tuple[str, str]] = {}
        self._checked: set[str] = set()

    def candidates(self, workspace: str) -> Sequence[str]:
        """The instances to try for a workspace, in order."""
        if self._fleet.homes.is_direct:
            return [self._fleet.name]
        now = trio.current_time()
        line = self._fleet.homes.candidates_from(workspace, self._fleet.name)
        alive = [
            name for name in line if self._lost_until.get(name, now) <= now
        ]
        return alive or line

    async def open_session(
        self, workspace: str, caller: trio.SocketStream, start: bytes
    ) -> tuple[str, RelayedSession | None] | None:
        """Opens a session at the first home in line that can be reached.

        When all instances restart, the first ones are up before the homes
        are, and a refused caller has soon used up its tries. So it waits.

        Args:
            workspace: The caller's workspace.
            caller: Its connection.
            start: Its first line.

        Returns:
            The home, and the session there unless the home is this instance;
            ``None`` when no home could be reached in time.
        """
        until = trio.current_time() + HOME_SEARCH_SECONDS
        while True:
            for name in self.candidates(workspace):
                if name == self._fleet.name:
                    return name, None
                session = await self._open(name, caller, start)
                if session is not None:
                    return name, session
            if trio.current_time() + HOME_SEARCH_PAUSE_SECONDS > until:
                return None
            await trio.sleep(HOME_SEARCH_PAUSE_SECONDS)

    async def _open(
        self, name: str, caller: trio.SocketStream, start: bytes
    ) -> RelayedSession | None:
        """Opens a session at a home; ``None`` when that can't be reached."""
        address = self._address_of(name)
        if address is None:
            return None
        try:
            return await RelayedSession.open(caller, address, start)
        except HomeLostError as exc:
            seconds = (
                REFUSED_HOME_SKIP_SECONDS
                if exc.is_refused
                else LOST_HOME_SKIP_SECONDS
            )
            self.mark_lost(name, str(exc), seconds)
            return None

    async def relay(
        self, session: RelayedSession, name: str, database: str, rest: bytes
    ) -> Failure | None:
        """Relays a session until either side closes.

        Args:
            session: The session.
            name: Its home.
            database: The database name that its caller asked for.
            rest: What the caller sent behind its first line.

        Returns:
            What the caller is to be told, if the home was lost while it
            waited for an answer.
        """
        self._sessions[session] = (name, database)
        try:
            failure = await session.run(rest)
        finally:
            del self._sessions[session]
        if failure is not None:
            self.mark_lost(name, failure.code.value)
        return failure

    async def end_silent_sessions(self) -> None:
        """Ends sessions whose home is silent, until cancelled.

        A frozen instance or one without power closes no connection, so only
        the missing answers tell.
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
                        and name not in self._checked
                    ):
                        self._checked.add(name)
                        nursery.start_soon(self._check_home, name)

    def mark_lost(
        self, name: str, cause: str, seconds: float = LOST_HOME_SKIP_SECONDS
    ) -> None:
        """Notes that a home did not open or go on with a session.

        Args:
            name: The home.
            cause: What happened.
            seconds: For how long it is passed over.
        """
        now = trio.current_time()
        if self._lost_until.get(name, now) <= now:
            log_event("home lost", peer=name, cause=cause)
        self._lost_until[name] = now + seconds
        self._metrics.count("homes_lost")

    async def _check_home(self, name: str) -> None:
        """Ends the sessions at a home that does not answer a call either."""
        try:
            if await self._reaches(name):
                return
            self.mark_lost(name, "silent")
            for session in self._sessions_at(name):
                if session.is_idle or session.outstanding:
                    session.cancel()
        finally:
            self._checked.discard(name)

    def _sessions_at(self, name: str) -> Iterable[RelayedSession]:
        return [
            session
            for session, (home, _) in self._sessions.items()
            if home == name
        ]

    def _timeout(self, database: str) -> float:
        config = self._fleet.config
        route = None if config is None else config.routes.get(database)
        return DEFAULT_TIMEOUT_SECONDS if route is None else route.timeout
