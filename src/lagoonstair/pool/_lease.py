"""Exclusive use of a pooled connection by one caller."""

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
    """A lease was used after its end or by two calls at once.

    It indicates a programming error in the caller.
    """


class Lease:
    """One caller's exclusive use of a connection.

    The lease becomes unusable when the connection is returned, so that a
    caller that keeps the lease can't use a connection that another caller
    holds by then.

    Args:
        conn: The connection.
        conn_id: The number of the connection in its pool.
    """

    def __init__(self, conn: EndpointConnection, conn_id: int) -> None:
        self.conn_id = conn_id
        self._conn = conn
        self._in_call = False
        self._in_transaction = False
        self._broken = False
        self._revoked = False

    @property
    def reusable(self) -> bool:
        """Whether the connection may be lent to another caller.

        It may not after a call that did not receive its own complete answer,
        which includes cancelled calls, nor while a transaction is open.
        """
        return not (self._broken or self._in_call or self._in_transaction)

    async def run(self, call: Run) -> RunAnswer:
        """Runs statements as a single transaction."""
        return await self._call(self._conn.run, call)

    async def execute(self, call: Execute) -> RunAnswer:
        """Runs statements in the open transaction."""
        self._in_transaction = True
        return await self._call(self._conn.execute, call)

    async def commit(self, call: Commit) -> RunAnswer:
        """Commits the open transaction.

        After a refused commit the transaction still counts as open.
        """
        answer = await self._call(self._conn.commit, call)
        self._in_transaction = False
        return answer

    async def rollback(self) -> None:
        """Rolls the open transaction back."""
        await self._call(lambda _: self._conn.rollback(), None)
        self._in_transaction = False

    def close(self) -> None:
        """Closes the connection at once."""
        self._broken = True
        self._conn.close()

    def revoke(self) -> None:
        """Ends the caller's right to use the connection."""
        self._revoked = True

    async def _call(
        self,
        method: Callable[[CallT], Awaitable[AnswerT]],
        call: CallT,
    ) -> AnswerT:
        if self._revoked or self._in_call:
            raise LeaseEndedError(
                "the lease has ended or another call is in progress"
            )
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
