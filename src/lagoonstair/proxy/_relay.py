"""Passes a caller's session on to the home of its workspace."""

import socket
from collections.abc import Awaitable, Callable, Iterable, Sequence

import trio

from lagoonstair._types import Address
from lagoonstair.platform import lines
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.statements import (
    Begin,
    Code,
    Commit,
    Deallocate,
    Failure,
    Prepare,
    Read,
    Rollback,
    SetValue,
    State,
)

READ_BYTES = 64 * 1024

OPEN_SECONDS = 0.4
"""How long a home may take to open a session; then the next one is tried."""

LOST_HOME_SECONDS = 2.0
"""For how long a home that could not be reached is passed over."""

AWAY_HOME_SECONDS = 0.25
"""The same for a home whose process does not run; it starts again within
half a second."""

HOMELESS_SECONDS = 1.2
"""How long a caller waits for the first home that can be reached, after a
crash of all; it gives a session up that is not open after 2 s."""

HOMELESS_PAUSE_SECONDS = 0.05
"""Between two rounds through the homes meanwhile."""

SILENCE_MS = 1500
"""Unacknowledged bytes end a connection to a home after this time."""

TICK_SECONDS = 0.2
"""How often the sessions that wait for an answer are looked at."""

SUSPECT_SECONDS = 0.4
"""After which an unanswered statement has its home checked; the longest ones
take some 0.2 s at an endpoint."""

LATE_SECONDS = 0.5
"""How much later than a route's time limit a home may answer; it keeps the
limit itself, so a later answer means that the connection is silent."""

DEFAULT_TIMEOUT = 1.5
"""Seconds that a statement may take once its route is gone."""

LOST = "the instance that ran the session was lost"

KEEPS_NOTHING = Read | Begin | Rollback | SetValue | Prepare | Deallocate
"""Statements of which nothing lasts beyond their session."""


class HomeLostError(Exception):
    """The home can't be reached, or did not open the session.

    Attributes:
        is_away: Whether its machine said that no process listens.
    """

    def __init__(self, message: str, *, is_away: bool = False) -> None:
        super().__init__(message)
        self.is_away = is_away


class RelayedSession:
    """A session that another instance runs.

    Attributes:
        state: The session's state, as the home last told the caller.
        outstanding: What the caller asked and the home has not answered.
        asked_at: When the caller asked it, in seconds.
    """

    def __init__(
        self, caller: trio.SocketStream, home: trio.SocketStream, first: bytes
    ) -> None:
        self._caller = caller
        self._home = home
        self._first = first
        self._passed_on = b""
        self._scope = trio.CancelScope()
        self.state = State.IDLE
        self.outstanding = b""
        self.asked_at = 0.0

    @classmethod
    async def open(
        cls, caller: trio.SocketStream, address: Address, start: bytes
    ) -> "RelayedSession":
        """Opens the session at a home.

        Args:
            caller: The caller's connection.
            address: Where the home takes relayed sessions.
            start: The caller's first line.

        Raises:
            HomeLostError: Another home may be tried; the caller got nothing.
        """
        home = None
        try:
            with trio.fail_after(OPEN_SECONDS):
                home = await trio.open_tcp_stream(*address)
                home.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS
                )
                await home.send_all(start + b"\r\n")
                first = await home.receive_some(READ_BYTES)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
            # Without a connection and without a delay, it was refused.
            is_away = home is None and not isinstance(exc, trio.TooSlowError)
            if home is not None:
                home.socket.close()
            cause = f"{address}: {exc or 'timed out'}"
            raise HomeLostError(cause, is_away=is_away) from exc
        if not first:
            home.socket.close()
            raise HomeLostError(f"{address}: closed at once")
        return cls(caller, home, first)

    @property
    def is_idle(self) -> bool:
        """Whether the session may be closed without harm."""
        return not self.outstanding and self.state is State.IDLE

    def cancel(self) -> None:
        """Ends the session."""
        self._scope.cancel()

    def waits_for(self, now: float) -> float:
        """Seconds for which the caller has waited for an answer; 0 if not."""
        return now - self.asked_at if self.outstanding else 0.0

    def asked(self) -> lines.Query | None:
        """The statement that the home has not answered.

        ``None`` if it is not whole, or if the caller sent more than one: any
        of them may have run.
        """
        line, end, more = self.outstanding.partition(b"\n")
        if more or not end:
            return None
        try:
            message = lines.parse_caller_line(line.rstrip(b"\r"))
        except lines.BadLineError:
            return None
        return message if isinstance(message, lines.Query) else None

    async def run(self, rest: bytes) -> Failure | None:
        """Relays until either side closes.

        Args:
            rest: What the caller sent behind its first line.

        Returns:
            What the caller is to be told, if the home was lost while it
            waited for an answer. Nothing can be told after a part of one.
        """
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._up, rest, nursery.cancel_scope)
                    await self._down()
                    nursery.cancel_scope.cancel()
        finally:
            self._home.socket.close()
        if not self.outstanding or self._passed_on:
            return None
        return self._verdict()

    async def _up(self, rest: bytes, scope: trio.CancelScope) -> None:
        chunk = rest
        try:
            while True:
                if chunk:
                    if not self.outstanding:
                        self.asked_at = trio.current_time()
                    self.outstanding += chunk
                    await self._home.send_all(chunk)
                chunk = await self._caller.receive_some(READ_BYTES)
                if not chunk:
                    break
        except (OSError, trio.BrokenResourceError):
            # Either side is gone; the home's side tells which.
            return
        # The caller has left, so no answer is owed.
        self.outstanding = b""
        scope.cancel()

    async def _down(self) -> None:
        chunk = self._first
        while chunk:
            # Before it is passed on: the caller may ask anew at once.
            self._note_answer(chunk)
            try:
                await self._caller.send_all(chunk)
            except (OSError, trio.BrokenResourceError):
                # The caller has left, so no answer is owed.
                self.outstanding = b""
                return
            try:
                chunk = await self._home.receive_some(READ_BYTES)
            except (OSError, trio.BrokenResourceError):
                return

    def _note_answer(self, chunk: bytes) -> None:
        """Takes over what a part of an answer tells of the session."""
        answer = (self._passed_on + chunk)[-READ_BYTES:]
        line = answer.rstrip(b"\r\n").rpartition(b"\n")[2]
        if answer.endswith(b"\n") and line.startswith(b"READY "):
            self.state = lines.parse_ready(line)
            self.outstanding = b""
            answer = b""
        self._passed_on = answer

    def _verdict(self) -> Failure:
        """What is known of the statement that the home did not answer."""
        query = self.asked()
        statement = None if query is None else query.statement
        inside = self.state is not State.IDLE and query is not None
        if isinstance(statement, KEEPS_NOTHING) or (
            inside and not isinstance(statement, Commit)
        ):
            return Failure(Code.ABORTED, LOST)
        return Failure(Code.IN_DOUBT, LOST)


class Relays:
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

    def line_of(self, workspace: str) -> Sequence[str]:
        """The instances to try for a workspace, in order."""
        if self._fleet.homes.is_direct:
            return [self._fleet.name]
        now = trio.current_time()
        line = self._fleet.homes.line_from(workspace, self._fleet.name)
        alive = [
            name for name in line if self._lost_until.get(name, now) <= now
        ]
        return alive or line

    async def find(
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
        until = trio.current_time() + HOMELESS_SECONDS
        while True:
            for name in self.line_of(workspace):
                if name == self._fleet.name:
                    return name, None
                session = await self._open(name, caller, start)
                if session is not None:
                    return name, session
            if trio.current_time() + HOMELESS_PAUSE_SECONDS > until:
                return None
            await trio.sleep(HOMELESS_PAUSE_SECONDS)

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
            seconds = AWAY_HOME_SECONDS if exc.is_away else LOST_HOME_SECONDS
            self.note_lost(name, str(exc), seconds)
            return None

    async def run(
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
            self.note_lost(name, failure.code.value)
        return failure

    async def watch(self) -> None:
        """Ends sessions whose home is silent, until cancelled.

        A frozen instance or one without power closes no connection, so only
        the missing answers tell.
        """
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(TICK_SECONDS)
                now = trio.current_time()
                for session in [*self._sessions]:
                    name, database = self._sessions[session]
                    waited = session.waits_for(now)
                    if waited > self._timeout(database) + LATE_SECONDS:
                        session.cancel()
                    elif waited > SUSPECT_SECONDS and name not in self._checked:
                        self._checked.add(name)
                        nursery.start_soon(self._check, name)

    def note_lost(
        self, name: str, cause: str, seconds: float = LOST_HOME_SECONDS
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

    async def _check(self, name: str) -> None:
        """Ends the sessions at a home that does not answer a call either."""
        try:
            if await self._reaches(name):
                return
            self.note_lost(name, "silent")
            for session in self._at(name):
                if session.is_idle or session.outstanding:
                    session.cancel()
        finally:
            self._checked.discard(name)

    def _at(self, name: str) -> Iterable[RelayedSession]:
        return [
            session
            for session, (home, _) in self._sessions.items()
            if home == name
        ]

    def _timeout(self, database: str) -> float:
        config = self._fleet.config
        route = None if config is None else config.routes.get(database)
        return DEFAULT_TIMEOUT if route is None else route.timeout
