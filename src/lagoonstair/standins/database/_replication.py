"""Pulls the log from the primary and applies it with a lag."""

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
PULL_SECONDS = 1.0
CALL_SECONDS = 5.0


class _Due(NamedTuple):
    """An entry that was received and is not applied yet."""

    at: float
    term: int
    entry: Entry


class Replication:
    """Keeps a replica's log in step with the primary it follows."""

    def __init__(
        self,
        member: Member,
        faults: FaultControl,
        members: dict[str, Address],
    ) -> None:
        self._member = member
        self._faults = faults
        self._members = members
        self._waiting: deque[_Due] = deque()
        self._following = (member.term, member.leader)
        self._changed = trio.Event()
        self._pulling: trio.CancelScope | None = None
        self._contact_at = 0.0

    def contact_age(self) -> float | None:
        """Seconds since the primary answered; None on a primary."""
        if self._member.role is Role.PRIMARY:
            return None
        return trio.current_time() - self._contact_at

    def restart_if_changed(self) -> None:
        """Starts again if the member's term or primary has changed."""
        if self._following != (self._member.term, self._member.leader):
            self.restart()

    def restart(self) -> None:
        """Forgets what was not applied and connects again."""
        self._contact_at = trio.current_time()
        self._following = (self._member.term, self._member.leader)
        self._waiting.clear()
        if self._pulling is not None:
            self._pulling.cancel()
        self._notify()

    async def run(self) -> None:
        """Pulls and applies until cancelled."""
        self._contact_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._apply)
            while True:
                with trio.CancelScope() as self._pulling:
                    await self._follow()

    async def _follow(self) -> None:
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
        after = self._received
        target = f"/v1/log?term={term}&after={after}&wait={PULL_SECONDS}"
        with trio.fail_after(CALL_SECONDS):
            answer = await conn.call(
                "GET", target, headers=[(INSTANCE_HEADER, self._member.name)]
            )
        await self._faults.wait_reachable(leader)
        if answer.status != 200:
            raise HttpError(f"status {answer.status}")
        self._contact_at = trio.current_time()
        self._take(msgspec.json.decode(answer.body, type=LogPage), after)

    @property
    def _received(self) -> int:
        if self._waiting:
            return self._waiting[-1].entry.offset
        return self._member.last.offset

    def _take(self, page: LogPage, after: int) -> None:
        if not self._member.synced:
            self._member.reconcile(page)
        if (page.term, page.name) != (self._member.term, self._member.leader):
            raise HttpError("the primary was replaced")
        if after != self._received:
            return
        at = trio.current_time()
        self._waiting += (_Due(at, page.term, e) for e in page.entries)
        self._notify()

    async def _apply(self) -> None:
        while True:
            await self._faults.wait_reachable(self._member.name)
            wait = self._seconds_to_next()
            if wait > 0:
                await self._pause(wait)
                continue
            due = self._waiting.popleft()
            self._member.replicate(due.entry, term=due.term)

    def _seconds_to_next(self) -> float:
        lag = self._faults.faults.lag
        if not self._waiting or lag < 0:
            return float("inf")
        return self._waiting[0].at + lag - trio.current_time()

    async def _pause(self, seconds: float) -> None:
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
