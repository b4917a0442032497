"""State of one caller's connection."""

from dataclasses import dataclass, field

import trio

from lagoonstair.platform import lines
from lagoonstair.proxy._relay import RelayedSession
from lagoonstair.proxy._targets import Caller
from lagoonstair.proxy._transactions import Transaction
from lagoonstair.statements import Failure, Session, TransactionState

READ_BYTES = 64 * 1024
"""Maximum number of bytes read from a caller's socket at once."""

FINAL_SEND_SECONDS = 1.0
"""Time limit in seconds for sending a caller the reason why its session
ends."""


@dataclass(slots=True)
class CallerConnection:
    """A caller's connection and its session.

    Attributes:
        stream: The socket of the connection.
        splitter: Splits the received data into lines.
        session: The session's values, prepared statements and state.
        database: The database name that the caller asked for.
        key: The caller's key.
        caller: The authorized caller; ``None`` before the session is open.
        tx: The open transaction, if any.
        wait_scope: The scope of the wait for the caller's next line; ``None``
            while a statement runs.
        statement_scope: The scope of the statement that runs; ``None`` while
            none does.
        relayed: The session at the workspace's home if another instance is
            the home.
        is_movable: Whether another instance relays the session here and may
            open it at another home.
        home: The name of that instance.
        is_detached: Whether this instance has taken the session back from its
            home, so that what the caller has set is lost and the session only
            goes on until its transaction has ended.
    """

    stream: trio.SocketStream
    splitter: lines.LineSplitter
    session: Session = field(default_factory=Session)
    database: str = ""
    key: str = ""
    caller: Caller | None = None
    tx: Transaction | None = None
    wait_scope: trio.CancelScope | None = None
    statement_scope: trio.CancelScope | None = None
    relayed: RelayedSession | None = None
    is_movable: bool = False
    home: str = ""
    is_detached: bool = False

    @property
    def is_idle(self) -> bool:
        """Whether the session can be closed without losing work."""
        return (
            self.session.state is TransactionState.IDLE
            and not self.splitter.pending
        )

    async def receive_line(self) -> bytes | None:
        """Returns the caller's next line, or ``None`` once it has left."""
        while (line := self.splitter.next_line()) is None:
            chunk = await self.stream.receive_some(READ_BYTES)
            if not chunk:
                return None
            self.splitter.feed(chunk)
        return line

    async def send_refusal(self, failure: Failure) -> None:
        """Sends the caller the reason why its session ends.

        Args:
            failure: The reason. It is lost if the caller has left or does not
                receive it in time.
        """
        await self._send_final(lines.encode_failure(failure))

    async def send_final_result(
        self, failure: Failure, state: TransactionState
    ) -> None:
        """Answers the last statement of a session that can not continue.

        Args:
            failure: The result of the statement.
            state: The session's state before the statement; an open
                transaction has failed.
        """
        final_state = (
            TransactionState.IDLE
            if state is TransactionState.IDLE
            else TransactionState.FAILED
        )
        await self._send_final(lines.encode_result(failure, final_state))

    async def _send_final(self, data: bytes) -> None:
        """Sends a session's last data, within the time limit."""
        with trio.move_on_after(FINAL_SEND_SECONDS):
            try:
                await self.stream.send_all(data)
            except trio.BrokenResourceError:
                # The caller has left, which ends the session as well.
                return
