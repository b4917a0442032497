"""A connection while one caller holds it."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from lagoonstair.ports import (
    Commit,
    EndpointConnection,
    EndpointRefusedError,
    Execute,
    Run,
    RunAnswer,
)

CallT = TypeVar("CallT")
AnswerT = TypeVar("AnswerT")


class LeaseEndedError(RuntimeError):
    """The connection was used after it was given back; a fault of the code."""


class Lease:
    """One caller's use of a connection.

    It becomes unusable when it is given back, so that a caller who keeps it
    can't reach the connection that somebody else has by then.
    """

    def __init__(self, conn: EndpointConnection, conn_id: int) -> None:
        self.conn_id = conn_id
        self._conn = conn
        self._in_call = False
        self._in_transaction = False
        self._spoiled = False
        self._ended = False

    @property
    def reusable(self) -> bool:
        """Whether the connection may serve another caller.

        Not after a call without a whole answer of its own, be it cancelled,
        and not while a transaction is open.
        """
        return not (self._spoiled or self._in_call or self._in_transaction)

    async def run(self, call: Run) -> RunAnswer:
        """Runs statements as one transaction."""
        return await self._guard(self._conn.run, call)

    async def execute(self, call: Execute) -> RunAnswer:
        """Runs statements in the open transaction."""
        self._in_transaction = True
        return await self._guard(self._conn.execute, call)

    async def commit(self, call: Commit) -> RunAnswer:
        """Commits the open transaction.

        A refused commit leaves it open as far as is known here.
        """
        answer = await self._guard(self._conn.commit, call)
        self._in_transaction = False
        return answer

    async def rollback(self) -> None:
        """Rolls the open transaction back."""
        await self._guard(lambda _: self._conn.rollback(), None)
        self._in_transaction = False

    def close(self) -> None:
        """Closes the connection at once."""
        self._spoiled = True
        self._conn.close()

    def end(self) -> None:
        """Takes the connection away from the caller."""
        self._ended = True

    async def _guard(
        self,
        method: Callable[[CallT], Awaitable[AnswerT]],
        call: CallT,
    ) -> AnswerT:
        if self._ended or self._in_call:
            raise LeaseEndedError("not this caller's connection")
        self._in_call = True
        try:
            answer = await method(call)
        except EndpointRefusedError:
            raise
        except BaseException:
            self.close()
            raise
        finally:
            self._in_call = False
        return answer
