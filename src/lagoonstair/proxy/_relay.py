"""Relaying of a caller's session to its home, the instance that runs it."""

import socket

import trio

from lagoonstair._types import Address
from lagoonstair.platform import lines
from lagoonstair.proxy._sockets import is_readable
from lagoonstair.statements import (
    ErrorCode,
    Failure,
    TransactionState,
    failure_without_answer,
)

READ_BYTES = 64 * 1024
"""Maximum number of bytes read from a socket at once."""

OPEN_TIMEOUT_SECONDS = 0.4
"""Time limit in seconds for a home to open a session, before the next home is
tried."""

TCP_USER_TIMEOUT_MS = 1500
"""Time in milliseconds after which unacknowledged data ends the connection to
a home."""

SHUTDOWN_MESSAGE = "the instance is shutting down"

HOME_LOST_MESSAGE = "the instance that ran the session was lost"


class HomeLostError(Exception):
    """The home is unreachable, or did not open the session.

    Attributes:
        is_refused: Whether its host refused the connection, so no process
            listens there.
    """

    def __init__(self, message: str, *, is_refused: bool = False) -> None:
        super().__init__(message)
        self.is_refused = is_refused


class RelayedSession:
    """A session that another instance runs.

    The greeting is the first data that the home sends after the caller's first
    line. It is forwarded to the caller before any other answer.

    Attributes:
        greeting: The first data that the home sent.
        state: The session's state, as the home last reported it.
        outstanding: The caller's data that the home has not answered.
        outstanding_since: When the caller sent the first of it, in seconds.
        is_cut: Whether this instance ended it, not the home.
    """

    def __init__(
        self, caller: trio.SocketStream, home: trio.SocketStream, first: bytes
    ) -> None:
        self._caller = caller
        self._home = home
        self.greeting = first
        self._partial_answer = b""
        self._scope = trio.CancelScope()
        self._ends_when_idle = False
        self._ends_when_answered = False
        self._is_refused = False
        self.is_cut = False
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
            address: The home's address for relayed sessions.
            start: The caller's first line, encoded.

        Raises:
            HomeLostError: The home did not open the session. Nothing was sent
                to the caller, so another home can be tried.
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
                await home.send_all(start)
                first = await home.receive_some(READ_BYTES)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
            # Without a connection and without a timeout, it was refused.
            is_refused = home is None and not isinstance(exc, trio.TooSlowError)
            if home is not None:
                home.socket.close()
            cause = f"{address}: {exc or 'timed out'}"
            raise HomeLostError(cause, is_refused=is_refused) from exc
        if not first:
            home.socket.close()
            raise HomeLostError(f"{address}: connection closed without data")
        return cls(caller, home, first)

    @property
    def is_idle(self) -> bool:
        """Whether the session can be closed without losing work."""
        return not self.outstanding and self.state is TransactionState.IDLE

    def cancel(self) -> None:
        """Ends the session."""
        self._scope.cancel()

    def cut(self) -> None:
        """Ends the session although its home may still answer."""
        self.is_cut = True
        self.cancel()

    def cancel_when_answered(self) -> None:
        """Ends the session as soon as no answer is outstanding.

        The home then rolls an open transaction back. What the caller sends
        from now on is refused.
        """
        self._ends_when_answered = True
        if not self.outstanding and not is_readable(self._caller):
            self.cancel()

    def close(self) -> None:
        """Closes the connection to the home without relaying anything."""
        self._home.socket.close()

    def cancel_when_idle(self) -> None:
        """Ends the session as soon as no work would be lost."""
        self._ends_when_idle = True
        if self.is_idle:
            self.cancel()

    def waiting_seconds(self, now: float) -> float:
        """Returns how long the caller has waited for an answer.

        Args:
            now: The current time, in seconds.

        Returns:
            The time in seconds; 0 if no answer is outstanding.
        """
        return now - self.outstanding_since if self.outstanding else 0.0

    def outstanding_query(self) -> lines.Query | None:
        """Returns the statement that the home has not answered.

        Returns:
            The statement; ``None`` if there is none, if it is incomplete or
            unreadable, or if the caller sent several, any of which may have
            run.
        """
        line, end, more = self.outstanding.partition(b"\n")
        if more or not end:
            return None
        try:
            message = lines.parse_caller_line(line.rstrip(b"\r"))
        except lines.BadLineError:
            return None
        return message if isinstance(message, lines.Query) else None

    async def run(self, early_data: bytes) -> Failure | None:
        """Relays data until either side closes its connection.

        Args:
            early_data: The data that the caller sent after its first line.

        Returns:
            The failure to send to the caller if the home was lost while the
            caller waited for an answer. ``None`` if a part of the answer was
            already sent, as nothing can follow that.
        """
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._forward_to_home, early_data, nursery.cancel_scope
                    )
                    await self._forward_to_caller()
                    nursery.cancel_scope.cancel()
        finally:
            self._home.socket.close()
        if not self.outstanding or self._partial_answer:
            return None
        return self._outstanding_failure()

    async def _forward_to_home(
        self, early_data: bytes, scope: trio.CancelScope
    ) -> None:
        """Forwards the caller's data until either side closes."""
        chunk = early_data
        try:
            while True:
                if chunk:
                    if not self.outstanding:
                        self.outstanding_since = trio.current_time()
                        self._is_refused = self._ends_when_answered
                    self.outstanding += chunk
                    if self._is_refused:
                        self.cut()
                        return
                    await self._home.send_all(chunk)
                chunk = await self._caller.receive_some(READ_BYTES)
                if not chunk:
                    break
        except (OSError, trio.BrokenResourceError):
            # Either side closed; the task that reads from the home finds out
            # which.
            return
        # The caller has left, so no answer is outstanding.
        self.outstanding = b""
        scope.cancel()

    async def _forward_to_caller(self) -> None:
        """Forwards the home's answers until either side closes."""
        chunk = self.greeting
        while chunk:
            # Tracked before it is forwarded, because the caller may send its
            # next statement immediately after.
            self._track_answer(chunk)
            try:
                await self._caller.send_all(chunk)
            except (OSError, trio.BrokenResourceError):
                # The caller has left, so no answer is outstanding.
                self.outstanding = b""
                return
            if self._ends_when_idle and self.is_idle:
                return
            if self._ends_when_answered and not self.outstanding:
                return
            try:
                chunk = await self._home.receive_some(READ_BYTES)
            except (OSError, trio.BrokenResourceError):
                return

    def _track_answer(self, chunk: bytes) -> None:
        """Updates the session's state from a part of an answer."""
        answer = (self._partial_answer + chunk)[-READ_BYTES:]
        line = answer.rstrip(b"\r\n").rpartition(b"\n")[2]
        if answer.endswith(b"\n") and line.startswith(b"READY "):
            self.state = lines.parse_ready(line)
            self.outstanding = b""
            answer = b""
        self._partial_answer = answer

    def _outstanding_failure(self) -> Failure:
        """Returns the failure for a statement that the home did not answer.

        Returns:
            An abort if nothing of the statement can last; in doubt otherwise.
        """
        if self._is_refused:
            # The home has not got it, and rolls back what came before.
            return Failure(ErrorCode.ABORTED, SHUTDOWN_MESSAGE)
        query = self.outstanding_query()
        statement = None if query is None else query.statement
        return failure_without_answer(
            statement,
            in_transaction=self.state is not TransactionState.IDLE
            and query is not None,
            message=HOME_LOST_MESSAGE,
        )
