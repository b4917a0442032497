"""Relaying of a caller's session to its home, the instance that runs it."""

import socket
from typing import Protocol

import trio

from lagoonstair._types import Address
from lagoonstair.platform import lines
from lagoonstair.platform.tracking import SessionTracker, parse_query
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

HOME_FAULT_MESSAGE = "the instance that ran the session sent no valid answer"

MAX_UNANSWERED_BYTES = lines.MAX_LINE_BYTES + len(lines.LINE_END)
"""Size (bytes) of unanswered data from which on a caller is not read further.
The longest message fits."""


class OperationGate(Protocol):
    """Decides whether operations are forwarded, and learns their results."""

    def refuse(self, message: bytes) -> Failure | None:
        """Returns the answer to a message that is not to be forwarded.

        Args:
            message: The first message on an idle session, without its
                terminator.

        Returns:
            The answer; ``None`` if the message is to be forwarded.
        """

    def record(
        self, message: bytes, state: TransactionState, error: str
    ) -> None:
        """Learns the home's answer to a message.

        Args:
            message: The message, without its terminator.
            state: The session's state before it.
            error: The error line of the answer; empty without an error.
        """


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

    The greeting is the line with which the home answers the caller's first
    one. It is forwarded to the caller before any other answer.

    Data is forwarded as it comes, except for what can't be an answer.

    Attributes:
        greeting: The greeting, with its terminator.
        waiting_since: Since when the caller has waited for the home's next
            answer, in seconds; outdated if it does not wait.
        is_cut: Whether this instance ended it, not the home.
        is_detached: Whether this instance took the caller's session back.
    """

    def __init__(
        self, caller: trio.SocketStream, home: trio.SocketStream, first: bytes
    ) -> None:
        self._caller = caller
        self._home = home
        self.greeting = first
        self._tracker = SessionTracker()
        self._answered = trio.Event()
        self._is_sending = False
        self._answering: bytes | None = None
        self._has_caller_left = False
        self._scope = trio.CancelScope()
        self._ends_when_idle = False
        self._ends_when_answered = False
        self._detaches_when_answered = False
        self._is_refused = False
        self._gate: OperationGate | None = None
        self.is_cut = False
        self.is_detached = False
        self.waiting_since = 0.0

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
                greeting = await _receive_greeting(home)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
            # Without a connection and without a timeout, it was refused.
            is_refused = home is None and not isinstance(exc, trio.TooSlowError)
            if home is not None:
                home.socket.close()
            cause = f"{address}: {exc or 'timed out'}"
            raise HomeLostError(cause, is_refused=is_refused) from exc
        except HomeLostError as exc:
            assert home is not None
            home.socket.close()
            raise HomeLostError(f"{address}: {exc}") from exc
        return cls(caller, home, greeting)

    @property
    def state(self) -> TransactionState:
        """The session's state, as the home last reported it."""
        return self._tracker.state

    @property
    def fault(self) -> str:
        """Why data of the home was refused; empty if none was."""
        return self._tracker.fault

    @property
    def is_answer_cut(self) -> bool:
        """Whether the caller has a part of an answer, after the session ended.

        An error without a ``READY`` is whole, because the home refuses a
        message that it can't read in this way.
        """
        return not self._has_caller_left and (
            self._is_sending
            or (
                self._tracker.has_partial_answer and not self._tracker.has_ended
            )
        )

    @property
    def has_outstanding(self) -> bool:
        """Whether data of the caller is unanswered or an answer is sent."""
        return not self._has_caller_left and (
            self._tracker.has_unanswered or self._is_sending
        )

    @property
    def is_waiting(self) -> bool:
        """Whether the caller waits for the home, and has taken all before."""
        return self._tracker.is_waiting and not self._is_sending

    @property
    def is_idle(self) -> bool:
        """Whether the session can be closed without losing work."""
        return not self.has_outstanding and self.state is TransactionState.IDLE

    def set_gate(self, gate: OperationGate) -> None:
        """Sets what decides whether operations are forwarded.

        Must be called before the session runs.
        """
        self._gate = gate
        self._tracker.on_answer = gate.record

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
        if not self.has_outstanding and not is_readable(self._caller):
            self.cancel()

    def detach_when_answered(self) -> None:
        """Leaves the home as soon as no answer is outstanding.

        The home then rolls an open transaction back. The caller's connection
        stays open, and nothing more of it reaches the home.
        """
        self._detaches_when_answered = True
        if not self.has_outstanding:
            self._detach()

    def _detach(self) -> None:
        self.is_detached = True
        self.cancel()

    def take_unanswered(self) -> bytes:
        """Removes and returns the caller's data that is not answered."""
        return self._tracker.take_unanswered()

    def close(self) -> None:
        """Closes the connection to the home without relaying anything."""
        self._home.socket.close()

    def close_if_idle(self) -> bool:
        """Ends the session if its caller waits for nothing.

        Returns:
            Whether it was ended.
        """
        if not self.is_idle or is_readable(self._caller):
            return False
        self.cancel()
        return True

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
        return now - self.waiting_since if self.is_waiting else 0.0

    def outstanding_query(self) -> lines.Query | None:
        """Returns the oldest statement that the home has not answered.

        Returns:
            The statement; ``None`` if there is none, or if it is incomplete or
            unreadable.
        """
        return self._tracker.first_query()

    def cut_query(self) -> lines.Query | None:
        """Returns the statement whose answer is refused or being sent."""
        if self._is_sending:
            return parse_query(self._answering)
        return self._tracker.first_query()

    async def run(self, early_data: bytes) -> Failure | None:
        """Relays data until either side closes its connection.

        Args:
            early_data: The data that the caller sent after its first line.

        Returns:
            The failure to send to the caller if the home was lost while the
            caller waited for an answer. ``None`` if a part of the answer was
            already sent, as nothing can follow that, or if the session goes on
            here.
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
        if self.is_detached:
            return None
        if (
            not self._tracker.has_unanswered
            or self._has_caller_left
            or self._tracker.is_released
        ):
            return None
        if self._is_sending or self._tracker.has_partial_answer:
            # An error would be read as a part of that answer.
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
                    starts_message = not self.has_outstanding
                    if starts_message:
                        self._is_refused = self._ends_when_answered
                    self._track_request(chunk)
                    if self._is_refused:
                        self.cut()
                        return
                    if starts_message and self._tracker.is_greeted:
                        chunk = await self._refuse_first(chunk)
                    if chunk:
                        await self._home.send_all(chunk)
                while self._tracker.unanswered_bytes > MAX_UNANSWERED_BYTES:
                    self._answered = trio.Event()
                    await self._answered.wait()
                chunk = await self._caller.receive_some(READ_BYTES)
                if not chunk:
                    break
        except (OSError, trio.BrokenResourceError):
            # Either side closed; the task that reads from the home finds out
            # which.
            return
        self._has_caller_left = True
        scope.cancel()

    async def _refuse_first(self, chunk: bytes) -> bytes:
        """Answers the operations that are not to be forwarded.

        Only whole messages that the caller sent on an idle session are
        refused, up to the first one that is forwarded: the home answers those
        behind it, and its answers must come in order.

        Args:
            chunk: The caller's data, which begins with a message.

        Returns:
            The data to forward.
        """
        while (
            self._gate is not None
            and self.state is TransactionState.IDLE
            and (first := self._tracker.first) is not None
            and (failure := self._gate.refuse(first)) is not None
        ):
            # If the session has ended meanwhile, the message is still
            # unanswered, and run() answers it.
            await trio.lowlevel.checkpoint_if_cancelled()
            self._answering = first
            self._is_sending = True
            # Dropped before the answer, so that data of the home counts as
            # unasked.
            self._tracker.drop_first()
            chunk = chunk[len(first) + len(lines.LINE_END) :]
            try:
                await self._caller.send_all(
                    lines.encode_result(failure, TransactionState.IDLE)
                )
            except (OSError, trio.BrokenResourceError):
                self._has_caller_left = True
                self.cancel()
                return b""
            self._is_sending = False
            if self._ends_when_idle and self.is_idle:
                self.cancel()
            if self._ends_when_answered and not self.has_outstanding:
                self.cancel()
            if self._detaches_when_answered and not self.has_outstanding:
                self._detach()
        return chunk

    async def _forward_to_caller(self) -> None:
        """Forwards the home's answers until either side closes."""
        chunk = self.greeting
        while chunk:
            # Tracked before it is forwarded, because the caller may send its
            # next statement immediately after.
            valid = self._track_answer(chunk)
            self._is_sending = True
            try:
                await self._caller.send_all(chunk[:valid])
            except (OSError, trio.BrokenResourceError):
                self._has_caller_left = True
                return
            self._is_sending = False
            if self._tracker.fault:
                return
            if self._ends_when_idle and self.is_idle:
                return
            if self._ends_when_answered and not self.has_outstanding:
                return
            if self._detaches_when_answered and not self.has_outstanding:
                self.is_detached = True
                return
            try:
                chunk = await self._home.receive_some(READ_BYTES)
            except (OSError, trio.BrokenResourceError):
                return

    def _track_request(self, chunk: bytes) -> None:
        """Updates the session's state from data of the caller."""
        if not self._tracker.is_waiting:
            self.waiting_since = trio.current_time()
        self._tracker.feed_request(chunk)

    def _track_answer(self, chunk: bytes) -> int:
        """Updates the session's state from data of the home.

        Returns:
            The number of bytes that may be forwarded.
        """
        answered = self._tracker.answered
        self._answering = self._tracker.first
        valid = self._tracker.feed_answer(chunk)
        if self._tracker.answered > answered:
            # From here on the home runs the caller's next statement.
            self.waiting_since = trio.current_time()
            self._answered.set()
        return valid

    def _outstanding_failure(self) -> Failure:
        """Returns the failure for a statement that the home did not answer.

        Returns:
            An abort if nothing of the statement can last; in doubt otherwise,
            also if the caller sent several, any of which may have run.
        """
        if self._is_refused:
            # The home has not got it, and rolls back what came before.
            return Failure(ErrorCode.ABORTED, SHUTDOWN_MESSAGE)
        query = self._tracker.only_query
        statement = None if query is None else query.statement
        return failure_without_answer(
            statement,
            in_transaction=self.state is not TransactionState.IDLE
            and query is not None,
            message=HOME_FAULT_MESSAGE if self.fault else HOME_LOST_MESSAGE,
        )


async def _receive_greeting(home: trio.SocketStream) -> bytes:
    """Receives the whole line with which a home opens or refuses a session.

    Raises:
        HomeLostError: The home closed the connection before, or sent something
            else.
    """
    tracker = SessionTracker()
    greeting = b""
    while not tracker.is_greeted:
        chunk = await home.receive_some(READ_BYTES)
        if not chunk:
            raise HomeLostError("connection closed without a greeting")
        greeting += chunk
        tracker.feed_answer(chunk)
        if tracker.fault:
            raise HomeLostError(f"greeting refused: {tracker.fault}")
    return greeting
