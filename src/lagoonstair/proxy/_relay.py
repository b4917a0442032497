"""Passes a caller's session on to the home of its workspace."""

import socket
from collections.abc import Callable, Sequence

import trio

from lagoonstair._types import Address
from lagoonstair.platform import lines
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.statements import Code, Commit, Failure, Read, State

READ_BYTES = 64 * 1024

OPEN_SECONDS = 0.4
"""How long a home may take to open a session; then the next one is tried."""

LOST_HOME_SECONDS = 2.0
"""For how long a home that could not be reached is passed over."""

SILENCE_MS = 1500
"""Unacknowledged bytes end a connection to a home after this time."""


class HomeLostError(Exception):
    """The home can't be reached, or did not open the session."""


class RelayedSession:
    """A session that another instance runs.

    Attributes:
        state: The session's state, as the home last told the caller.
        outstanding: What the caller asked and the home has not answered.
    """

    def __init__(
        self, caller: trio.SocketStream, home: trio.SocketStream, first: bytes
    ) -> None:
        self._caller = caller
        self._home = home
        self._first = first
        self._scope = trio.CancelScope()
        self.state = State.IDLE
        self.outstanding = b""

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
            if home is not None:
                home.socket.close()
            raise HomeLostError(f"{address}: {exc or 'timed out'}") from exc
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

    async def run(self, rest: bytes) -> Failure | None:
        """Relays until either side closes.

        Args:
            rest: What the caller sent behind its first line.

        Returns:
            What the caller is to be told, if the home was lost while it
            waited for an answer.
        """
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._up, rest, nursery.cancel_scope)
                    await self._down()
                    nursery.cancel_scope.cancel()
        finally:
            self._home.socket.close()
        return self._verdict() if self.outstanding else None

    async def _up(self, rest: bytes, scope: trio.CancelScope) -> None:
        chunk = rest
        try:
            while True:
                if chunk:
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
        tail = b""
        chunk = self._first
        while chunk:
            try:
                await self._caller.send_all(chunk)
            except (OSError, trio.BrokenResourceError):
                # The caller has left, so no answer is owed.
                self.outstanding = b""
                return
            tail = (tail + chunk)[-READ_BYTES:]
            line = tail.rstrip(b"\r\n").rpartition(b"\n")[2]
            if tail.endswith(b"\n") and line.startswith(b"READY "):
                self.state = lines.parse_ready(line)
                self.outstanding = b""
                tail = b""
            try:
                chunk = await self._home.receive_some(READ_BYTES)
            except (OSError, trio.BrokenResourceError):
                return

    def _verdict(self) -> Failure:
        """What is known of the statement that the home did not answer."""
        last = self.outstanding.rstrip(b"\r\n").rpartition(b"\n")[2]
        statement = None
        try:
            message = lines.parse_caller_line(last)
            if isinstance(message, lines.Query):
                statement = message.statement
        except lines.BadLineError:
            statement = None
        lost = "the instance that ran the session was lost"
        inside = self.state is State.OPEN and statement is not None
        if isinstance(statement, Read) or (
            inside and not isinstance(statement, Commit)
        ):
            # Nothing of a read or of an open transaction is kept.
            return Failure(Code.ABORTED, lost)
        return Failure(Code.IN_DOUBT, lost)


class Relays:
    """Finds the homes of workspaces and opens sessions there."""

    def __init__(
        self,
        fleet: Fleet,
        metrics: Metrics,
        address_of: Callable[[str], Address | None],
    ) -> None:
        """Starts with all homes in reach.

        Args:
            fleet: What is known of the instances.
            metrics: Counts homes that were lost.
            address_of: Where an instance takes relayed sessions.
        """
        self._fleet = fleet
        self._metrics = metrics
        self._address_of = address_of
        self._lost_until: dict[str, float] = {}

    def line_of(self, workspace: str) -> Sequence[str]:
        """The instances to try for a workspace, in order."""
        if self._fleet.homes.is_direct:
            return [self._fleet.name]
        now = trio.current_time()
        line = self._fleet.homes.line_of(workspace)
        alive = [
            name for name in line if self._lost_until.get(name, now) <= now
        ]
        return alive or line

    async def open(
        self, name: str, caller: trio.SocketStream, start: bytes
    ) -> RelayedSession | None:
        """Opens a session at a home; ``None`` when that can't be reached."""
        address = self._address_of(name)
        if address is None:
            return None
        try:
            return await RelayedSession.open(caller, address, start)
        except HomeLostError as exc:
            self.note_lost(name, str(exc))
            return None

    def note_lost(self, name: str, cause: str) -> None:
        """Notes that a home did not open or go on with a session."""
        self._lost_until[name] = trio.current_time() + LOST_HOME_SECONDS
        log_event("home lost", peer=name, cause=cause)
        self._metrics.count("homes_lost")
