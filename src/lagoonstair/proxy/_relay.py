"""One caller's session that another instance, its home, runs."""

import socket

import trio

from lagoonstair._types import Address
from lagoonstair.platform import lines
from lagoonstair.statements import (
    Begin,
    Commit,
    Deallocate,
    ErrorCode,
    Failure,
    Prepare,
    Read,
    Rollback,
    SetValue,
    TransactionState,
)

READ_BYTES = 64 * 1024

OPEN_TIMEOUT_SECONDS = 0.4
"""How long a home may take to open a session; then the next one is tried."""

TCP_USER_TIMEOUT_MS = 1500
"""Unacknowledged bytes end a connection to a home after this time."""

HOME_LOST_MESSAGE = "the instance that ran the session was lost"

NO_LASTING_EFFECT = Read | Begin | Rollback | SetValue | Prepare | Deallocate
"""Statements of which nothing lasts beyond their session."""


class HomeLostError(Exception):
    """The home can't be reached, or did not open the session.

    Attributes:
        is_away: Whether its machine said that no process listens.
    """

    def __init__(self, message: str, *, is_refused: bool = False) -> None:
        super().__init__(message)
        self.is_refused = is_refused


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
        self._greeting = first
        self._partial_answer = b""
        self._scope = trio.CancelScope()
        self.state = TransactionState.IDLE
        self.outstanding = b""
        self.outstanding_since = 0.0

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
            with trio.fail_after(OPEN_TIMEOUT_SECONDS):
                home = await trio.open_tcp_stream(*address)
                home.setsockopt(
                    socket.IPPROTO_TCP,
                    socket.TCP_USER_TIMEOUT,
                    TCP_USER_TIMEOUT_MS,
                )
                await home.send_all(start + b"\r\n")
                first = await home.receive_some(READ_BYTES)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
            # Without a connection and without a delay, it was refused.
            is_refused = home is None and not isinstance(exc, trio.TooSlowError)
            if home is not None:
                home.socket.close()
            cause = f"{address}: {exc or 'timed out'}"
            raise HomeLostError(cause, is_refused=is_refused) from exc
        if not first:
            home.socket.close()
            raise HomeLostError(f"{address}: closed at once")
        return cls(caller, home, first)

    @property
    def is_idle(self) -> bool:
        """Whether the session may be closed without harm."""
        return not self.outstanding and self.state is TransactionState.IDLE

    def cancel(self) -> None:
        """Ends the session."""
        self._scope.cancel()

    def waiting_seconds(self, now: float) -> float:
        """Seconds for which the caller has waited for an answer; 0 if not."""
        return now - self.outstanding_since if self.outstanding else 0.0

    def outstanding_query(self) -> lines.Query | None:
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
                    nursery.start_soon(
                        self._forward_to_home, rest, nursery.cancel_scope
                    )
                    await self._forward_to_caller()
                    nursery.cancel_scope.cancel()
        finally:
            self._home.socket.close()
        if not self.outstanding or self._partial_answer:
            return None
        return self._outstanding_failure()

    async def _forward_to_home(
        self, rest: bytes, scope: trio.CancelScope
    ) -> None:
        chunk = rest
        try:
            while True:
                if chunk:
                    if not self.outstanding:
                        self.outstanding_since = trio.current_time()
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

    async def _forward_to_caller(self) -> None:
        chunk = self._greeting
        while chunk:
            # Before it is passed on: the caller may ask anew at once.
            self._track_answer(chunk)
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

    def _track_answer(self, chunk: bytes) -> None:
        """Takes over what a part of an answer tells of the session."""
        answer = (self._partial_answer + chunk)[-READ_BYTES:]
        line = answer.rstrip(b"\r\n").rpartition(b"\n")[2]
        if answer.endswith(b"\n") and line.startswith(b"READY "):
            self.state = lines.parse_ready(line)
            self.outstanding = b""
            answer = b""
        self._partial_answer = answer

    def _outstanding_failure(self) -> Failure:
        """What is known of the statement that the home did not answer."""
        query = self.outstanding_query()
        statement = None if query is None else query.statement
        inside = self.state is not TransactionState.IDLE and query is not None
        if isinstance(statement, NO_LASTING_EFFECT) or (
            inside and not isinstance(statement, Commit)
        ):
            return Failure(ErrorCode.ABORTED, HOME_LOST_MESSAGE)
        return Failure(ErrorCode.IN_DOUBT, HOME_LOST_MESSAGE)
