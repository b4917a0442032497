"""One caller's connection."""

from dataclasses import dataclass, field

import trio

from lagoonstair.platform import lines
from lagoonstair.proxy._relay import RelayedSession
from lagoonstair.proxy._targets import Caller
from lagoonstair.proxy._transactions import Transaction
from lagoonstair.statements import Failure, Session, TransactionState

READ_BYTES = 64 * 1024

FINAL_SEND_SECONDS = 1.0
"""How long a caller may take to receive why its session ends."""


@dataclass(slots=True)
class CallerConnection:
    """One caller's connection.

    Attributes:
        database: The database name that it asked for.
        key: Its key.
        waiting: The scope to cancel while nothing of it is under way.
        relayed: The session at the workspace's home, if that is elsewhere.
    """

    stream: trio.SocketStream
    splitter: lines.LineSplitter
    session: Session = field(default_factory=Session)
    database: str = ""
    key: str = ""
    caller: Caller | None = None
    tx: Transaction | None = None
    wait_scope: trio.CancelScope | None = None
    relayed: RelayedSession | None = None

    @property
    def is_idle(self) -> bool:
        """Whether the session may be closed without harm."""
        return (
            self.session.state is TransactionState.IDLE
            and not self.splitter.pending
        )

    async def receive_line(self) -> bytes | None:
        """The caller's next line; ``None`` when it has left."""
        while (line := self.splitter.next_line()) is None:
            chunk = await self.stream.receive_some(READ_BYTES)
            if not chunk:
                return None
            self.splitter.feed(chunk)
        return line

    async def send_refusal(self, failure: Failure) -> None:
        """Tells the caller why its session ends, if it still listens."""
        await self._send_final(lines.encode_failure(failure))

    async def send_final_result(
        self, failure: Failure, state: TransactionState
    ) -> None:
        """Answers the last statement of a session that can't go on.

        Args:
            failure: What became of the statement.
            state: The state before it; an open transaction has failed.
        """
        left = (
            TransactionState.IDLE
            if state is TransactionState.IDLE
            else TransactionState.FAILED
        )
        await self._send_final(lines.encode_result(failure, left))

    async def _send_final(self, data: bytes) -> None:
        with trio.move_on_after(FINAL_SEND_SECONDS):
            try:
                await self.stream.send_all(data)
            except trio.BrokenResourceError:
                # It has left, which ends the session as well.
                return
