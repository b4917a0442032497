"""Pulls the log from the primary and applies its entries after a lag."""

from collections import deque
from typing import NamedTuple

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.endpoints._messages import INSTANCE_HEADER
from lagoonstair.ports import EndpointRefusedError, Role
from lagoonstair.standins.database._config import FaultControl
from lagoonstair.standins.database._log import Entry, LogPage
from lagoonstair.standins.database._member import Member
from lagoonstair.wire import HttpConnection, HttpError, NotSentError

RETRY_SECONDS = 0.05
"""The delay before the next connection after a failure, in seconds."""

LOG_WAIT_SECONDS = 1.0
"""How long the primary may hold a log request open for new entries, in
seconds."""

PULL_TIMEOUT_SECONDS = 5.0
"""The timeout of one log request, its wait included, in seconds."""


class _PendingEntry(NamedTuple):
    """An entry that was received and isn't applied yet.

    Attributes:
        received_at: When it was received, on trio's clock in seconds.
        term: The term of the primary that sent it.
        entry: The log entry.
    """

    received_at: float
    term: int
    entry: Entry


class Replication:
    """Replicates the log of the primary that a member follows.

    One task pulls entries into a queue, another one applies them once they
    are as old as the injected lag.
    """

    def __init__(
        self,
        member: Member,
        faults: FaultControl,
        members: dict[str, Address],
    ) -> None:
        self._member = member
        self._faults = faults
        self._members = members
        self._pending: deque[_PendingEntry] = deque()
        self._source = (member.term, member.leader)
        self._changed = trio.Event()
        self._pull_scope: trio.CancelScope | None = None
        self._contact_at = 0.0

    def contact_age(self) -> float | None:
        """Returns the seconds since the primary's last answer or a restart.

        ``None`` stands for a member that is the primary itself.
        """
        if self._member.role is Role.PRIMARY:
            return None
        return trio.current_time() - self._contact_at

    def restart_if_changed(self) -> None:
        """Restarts if the member's term or primary has changed."""
        if self._source != (self._member.term, self._member.leader):
            self.restart()

    def restart(self) -> None:
        """Discards entries that aren't applied yet and reconnects."""
        self._contact_at = trio.current_time()
        self._source = (self._member.term, self._member.leader)
        self._pending.clear()
        if self._pull_scope is not None:
            self._pull_scope.cancel()
        self._notify()

    async def run(self) -> None:
        """Pulls and applies entries until cancelled."""
        self._contact_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._apply)
            while True:
                with trio.CancelScope() as self._pull_scope:
                    await self._pull_until_failure()

    async def _pull_until_failure(self) -> None:
        leader = self._member.leader
        address = self._members.get(leader)
        if self._member.role is Role.PRIMARY or address is None:
            await trio.sleep_forever()
            return
        conn = None
        try:
            await self._faults.wait_reachable(leader)
            conn = await HttpConnection.open(address)
            while True:
                await self._pull(conn, leader)
        except (
            NotSentError,
            HttpError,
            EndpointRefusedError,
            msgspec.MsgspecError,
            trio.TooSlowError,
        ):
            await trio.sleep(RETRY_SECONDS)
        finally:
            if conn is not None:
                conn.close()

    async def _pull(self, conn: HttpConnection, leader: str) -> None:
        await self._faults.wait_reachable(leader)
        term = self._member.term
        after = self._received_offset
        target = f"/v1/log?term={term}&after={after}&wait={LOG_WAIT_SECONDS}"
        with trio.fail_after(PULL_TIMEOUT_SECONDS):
            answer = await conn.call(
                "GET", target, headers=[(INSTANCE_HEADER, self._member.name)]
            )
        await self._faults.wait_reachable(leader)
        if answer.status != 200:
            raise HttpError(
                f"the primary answered a log request with {answer.status}"
            )
        self._contact_at = trio.current_time()
        self._accept_page(msgspec.json.decode(answer.body, type=LogPage), after)

    @property
    def _received_offset(self) -> int:
        if self._pending:
            return self._pending[-1].entry.offset
        return self._member.last.offset

    def _accept_page(self, page: LogPage, after: int) -> None:
        if not self._member.synced:
            self._member.reconcile(page)
        if (page.term, page.name) != (self._member.term, self._member.leader):
            raise HttpError("the log page is not from the current primary")
        if after != self._received_offset:
            return
        at = trio.current_time()
        self._pending += (_PendingEntry(at, page.term, e) for e in page.entries)
        self._notify()

    async def _apply(self) -> None:
        while True:
            await self._faults.wait_reachable(self._member.name)
            wait = self._seconds_to_next()
            if wait > 0:
                await self._wait_changed(wait)
                continue
            pending = self._pending.popleft()
            self._member.replicate(pending.entry, term=pending.term)

    def _seconds_to_next(self) -> float:
        lag = self._faults.faults.lag
        if not self._pending or lag < 0:
            return float("inf")
        return self._pending[0].received_at + lag - trio.current_time()

    async def _wait_changed(self, seconds: float) -> None:
        changed = self._changed
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on, changed, nursery.cancel_scope)
                await self._faults.wait_changed()
                nursery.cancel_scope.cancel()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


async def _cancel_on(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
