"""Sends a request from its entry instance to the owner of its group."""

import itertools
import random
from typing import Protocol

import trio

from lagoonstair._types import Address
from lagoonstair.exceptions import ErrorKind, LagoonstairError, Outcome
from lagoonstair.membership import Suspects
from lagoonstair.peers import PeerClient, PeerLostError, PeerNotSentError
from lagoonstair.retries import Backoff, RetryBudget
from lagoonstair.service._attempts import Attempts
from lagoonstair.service._messages import EndTransaction, Executed, Forward

NO_OWNER = "no owner of the group was reached"

ELSEWHERE = frozenset(
    {ErrorKind.UNAVAILABLE, ErrorKind.DRAINING, ErrorKind.NOT_FRESH}
)
"""Errors after which another owner, or a later attempt, may succeed."""


class Directory(Protocol):
    """Knows which instances own a group and where they listen."""

    def owners(self, group: str) -> tuple[str, ...]:
        """The owner of a group and its standbys, in order."""
        ...

    def address(self, name: str) -> Address | None:
        """Where an instance listens for its peers."""
        ...


class LocalOwner(Protocol):
    """The owner's side on the entry instance itself."""

    async def run(self, req: Forward) -> Executed:
        """Runs a forwarded request."""
        ...

    async def end(self, req: EndTransaction) -> Executed:
        """Ends a transaction."""
        ...


class Dispatcher:
    """Tries the owners of a group until one answers or time is up."""

    def __init__(
        self,
        name: str,
        *,
        directory: Directory,
        peers: PeerClient,
        local: LocalOwner,
        suspects: Suspects,
        budget: RetryBudget,
        rng: random.Random,
    ) -> None:
        """Sets the collaborators; ``rng`` spreads the retries."""
        self._name = name
        self._directory = directory
        self._peers = peers
        self._local = local
        self._suspects = suspects
        self._budget = budget
        self._rng = rng
        self._backoff = Backoff()

    async def forward(self, group: str, req: Forward) -> Executed:
        """Runs a request at an owner of its group.

        A repeated attempt carries the same request id, so that it runs at
        most once.

        Raises:
            LagoonstairError: No attempt succeeded; the kind is true of all
                attempts together.
        """
        self._budget.count_request(trio.current_time())
        attempts = Attempts()
        with trio.move_on_after(req.time_left):
            for number in itertools.count(1):
                for owner in self._ordered(group):
                    result = await self._attempt(owner, req, attempts)
                    if result is not None:
                        return result
                    if not self._budget.take(trio.current_time()):
                        raise attempts.failure(NO_OWNER)
                await trio.sleep(self._backoff.wait(number, self._rng))
        raise attempts.failure(NO_OWNER)

    async def end(self, owner: str, req: EndTransaction) -> Executed:
        """Ends a transaction at the instance that holds it.

        When that instance is gone, the group's owners are asked, who find an
        earlier commit by its request id.

        Raises:
            LagoonstairError: The transaction was not ended, or its outcome
                is unknown.
        """
        attempts = Attempts()
        owners = (owner, *self._ordered(req.group))
        with trio.move_on_after(req.time_left):
            for name in dict.fromkeys(owners):
                result = await self._attempt(name, req, attempts)
                if result is not None:
                    return result
        raise attempts.failure(NO_OWNER)

    async def forward_to(self, owner: str, req: Forward) -> Executed:
        """Runs a request in a transaction at the instance that holds it.

        Raises:
            LagoonstairError: The request did not run, or its outcome is
                unknown.
        """
        attempts = Attempts()
        with trio.move_on_after(req.time_left):
            result = await self._attempt(owner, req, attempts)
            if result is not None:
                return result
        raise attempts.failure(NO_OWNER)

    def _ordered(self, group: str) -> tuple[str, ...]:
        owners = self._directory.owners(group)
        return self._suspects.order(owners, trio.current_time())

    async def _attempt(
        self,
        owner: str,
        req: Forward | EndTransaction,
        attempts: Attempts,
    ) -> Executed | None:
        """Makes one attempt; returns None when another may succeed."""
        before = attempts.maybe_ran
        attempts.maybe_ran = True
        try:
            result = await self._send(owner, req)
        except PeerNotSentError as exc:
            attempts.maybe_ran = before
            self._suspects.suspect(owner, trio.current_time())
            attempts.last = LagoonstairError(
                ErrorKind.UNAVAILABLE, f"owner {owner} is not reached: {exc}"
            )
        except PeerLostError:
            self._suspects.suspect(owner, trio.current_time())
            attempts.note(
                LagoonstairError(
                    ErrorKind.OUTCOME_UNKNOWN, f"owner {owner} was lost"
                )
            )
        except LagoonstairError as exc:
            attempts.maybe_ran = before
            attempts.note(exc)
            if not _may_succeed_elsewhere(exc):
                raise attempts.failure(NO_OWNER) from exc
        else:
            self._suspects.clear(owner)
            return result
        return None

    async def _send(
        self, owner: str, req: Forward | EndTransaction
    ) -> Executed:
        if owner == self._name:
            return await _run_local(self._local, req)
        address = self._directory.address(owner)
        if address is None:
            raise PeerNotSentError(f"{owner} has no address")
        return await self._peers.call(address, req, Executed)


async def _run_local(
    local: LocalOwner, req: Forward | EndTransaction
) -> Executed:
    match req:
        case Forward():
            return await local.run(req)
        case EndTransaction():
            return await local.end(req)


def _may_succeed_elsewhere(exc: LagoonstairError) -> bool:
    return exc.kind in ELSEWHERE or exc.answer.outcome is Outcome.UNKNOWN
