"""Sends a request from its entry instance to the owner of its group."""

import random
from typing import Protocol

import trio

from lagoonstair._types import Address
from lagoonstair.exceptions import ErrorKind, LagoonstairError, Outcome
from lagoonstair.membership import Suspects
from lagoonstair.peers import PeerClient, PeerLostError, PeerNotSentError
from lagoonstair.retries import (
    AttemptFailure,
    Attempts,
    Decision,
    RetryAfter,
    RetryBudget,
    Stop,
)
from lagoonstair.service._messages import (
    EndTransaction,
    ExecutionResult,
    Forward,
)
from lagoonstair.service._refusals import (
    combined_error,
    unavailable_error,
    unknown_error,
)

MAX_ATTEMPTS = 12
PEER_ERRORS = (LagoonstairError, PeerLostError, PeerNotSentError)
NO_OWNER = unavailable_error("no instance has joined that could own the group")

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

    async def run(self, req: Forward) -> ExecutionResult:
        """Runs a forwarded request."""
        ...

    async def end(self, req: EndTransaction) -> ExecutionResult:
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

    async def forward(self, group: str, req: Forward) -> ExecutionResult:
        """Runs a request at an owner of its group.

        A repeated attempt carries the same request id, so that it runs at
        most once.

        Raises:
            LagoonstairError: No attempt succeeded; the kind is true of all
                attempts together.
        """
        now = trio.current_time()
        self._budget.count_request(now)
        attempts = Attempts(
            repeatable=True,
            deadline=now + req.time_left,
            most=MAX_ATTEMPTS,
        )
        last = NO_OWNER
        tried: set[str] = set()
        with trio.move_on_after(req.time_left):
            while owner := self._next_owner(group, tried):
                attempts.start()
                try:
                    result = await self._send(owner, req)
                except PEER_ERRORS as exc:
                    last = self._note(owner, exc)
                    match self._failed(attempts, last):
                        case RetryAfter(wait=wait):
                            await trio.sleep(wait)
                        case Stop():
                            break
                else:
                    self._suspects.clear(owner)
                    return result
        raise combined_error(attempts.outcome, last)

    async def end(self, owner: str, req: EndTransaction) -> ExecutionResult:
        """Ends a transaction at the instance that holds it.

        When that instance is gone, the group's owners are asked, who find an
        earlier commit by its request id.

        Raises:
            LagoonstairError: The transaction was not ended, or its outcome
                is unknown.
        """
        errors = []
        for name in dict.fromkeys((owner, *self._ordered(req.group))):
            try:
                return await self._once(name, req)
            except LagoonstairError as exc:
                errors.append(exc)
                if not _may_succeed_elsewhere(exc):
                    break
        outcomes = {exc.response.outcome for exc in errors}
        unknown_too = Outcome.UNKNOWN in outcomes
        raise combined_error(
            Outcome.UNKNOWN if unknown_too else Outcome.NOT_RUN, errors[-1]
        )

    async def forward_to(self, owner: str, req: Forward) -> ExecutionResult:
        """Runs a request in a transaction at the instance that holds it.

        Raises:
            LagoonstairError: The request did not run, or its outcome is
                unknown.
        """
        return await self._once(owner, req)

    def _ordered(self, group: str) -> tuple[str, ...]:
        owners = self._directory.owners(group)
        return self._suspects.order(owners, trio.current_time())

    def _next_owner(self, group: str, tried: set[str]) -> str | None:
        """The owner to try next; all of them again once all were tried."""
        owners = self._ordered(group)
        if tried.issuperset(owners):
            tried.clear()
        found = next((name for name in owners if name not in tried), None)
        if found is not None:
            tried.add(found)
        return found

    async def _once(
        self, owner: str, req: Forward | EndTransaction
    ) -> ExecutionResult:
        """Makes one attempt, within the time that the caller waits."""
        with trio.move_on_after(req.time_left):
            try:
                return await self._send(owner, req)
            except PEER_ERRORS as exc:
                raise self._note(owner, exc) from exc
        raise unknown_error(f"owner {owner} did not answer in time")

    def _note(self, owner: str, exc: Exception) -> LagoonstairError:
        """Suspects an owner that is not reached; returns the error's kind."""
        match exc:
            case LagoonstairError():
                return exc
            case PeerNotSentError():
                self._suspects.suspect(owner, trio.current_time())
                return unavailable_error(f"owner {owner} is not reached")
        self._suspects.suspect(owner, trio.current_time())
        return unknown_error(f"owner {owner} was lost")

    def _failed(self, attempts: Attempts, last: LagoonstairError) -> Decision:
        effect = AttemptFailure(
            last.response.outcome, retryable=_may_succeed_elsewhere(last)
        )
        return attempts.record_failure(
            effect,
            now=trio.current_time(),
            budget=self._budget,
            rng=self._rng,
        )

    async def _send(
        self, owner: str, req: Forward | EndTransaction
    ) -> ExecutionResult:
        if owner == self._name:
            return await _run_local(self._local, req)
        address = self._directory.address(owner)
        if address is None:
            raise PeerNotSentError(f"{owner} has no address")
        return await self._peers.call(address, req, ExecutionResult)


async def _run_local(
    local: LocalOwner, req: Forward | EndTransaction
) -> ExecutionResult:
    match req:
        case Forward():
            return await local.run(req)
        case EndTransaction():
            return await local.end(req)


def _may_succeed_elsewhere(exc: LagoonstairError) -> bool:
    return exc.kind in ELSEWHERE or exc.response.outcome is Outcome.UNKNOWN
