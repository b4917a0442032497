"""Forwarding of requests from the entry instance to the group's owner."""

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
"""Maximum number of attempts at one request."""

PEER_ERRORS = (LagoonstairError, PeerLostError, PeerNotSentError)
NO_OWNER = unavailable_error("no instance has joined that could own the group")

RETRYABLE_KINDS = frozenset(
    {ErrorKind.UNAVAILABLE, ErrorKind.DRAINING, ErrorKind.NOT_FRESH}
)
"""Errors after which another owner or a later attempt may succeed."""


class Directory(Protocol):
    """Lookup of the owners of groups and of instance addresses."""

    def owners(self, group: str) -> tuple[str, ...]:
        """Returns the owner of a group, followed by its standbys in order."""
        ...

    def address(self, name: str) -> Address | None:
        """Returns the peer address of an instance, or None if unknown."""
        ...


class LocalOwner(Protocol):
    """Executes requests for groups that the entry instance itself owns."""

    async def run(self, req: Forward) -> ExecutionResult:
        """Runs a forwarded request."""
        ...

    async def end(self, req: EndTransaction) -> ExecutionResult:
        """Commits or rolls back a transaction."""
        ...


class Dispatcher:
    """Sends requests to the owners of a group, with retries and failover."""

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
        """Initializes the dispatcher.

        Args:
            name: The name of this instance.
            directory: Looks up owners and their addresses.
            peers: Client for calls to other instances.
            local: Executes requests that this instance owns.
            suspects: Instances that recently failed, which are tried last.
            budget: Limits the rate of retries.
            rng: Source of the jitter in retry delays.
        """
        self._name = name
        self._directory = directory
        self._peers = peers
        self._local = local
        self._suspects = suspects
        self._budget = budget
        self._rng = rng

    async def forward(self, group: str, req: Forward) -> ExecutionResult:
        """Runs a request at an owner of its group.

        Every attempt carries the same request ID, so that a write runs at most
        once.

        Args:
            group: The group to run the request in.
            req: The request.

        Raises:
            LagoonstairError: No attempt succeeded. The error accounts for all
                attempts: its outcome is unknown if any of them may have run.
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
                    last = self._record_error(owner, exc)
                    match self._decide_retry(attempts, last):
                        case RetryAfter(wait=wait):
                            await trio.sleep(wait)
                        case Stop():
                            break
                else:
                    self._suspects.clear(owner)
                    return result
        raise combined_error(attempts.outcome, last)

    async def end(self, owner: str, req: EndTransaction) -> ExecutionResult:
        """Commits or rolls back a transaction at the instance that holds it.

        If that instance fails, the group's owners are tried in turn: they find
        an earlier commit by its request ID.

        Args:
            owner: The instance that holds the transaction.
            req: The request.

        Raises:
            LagoonstairError: The transaction was not ended, or its outcome
                is unknown.
        """
        errors = []
        for name in dict.fromkeys((owner, *self._ordered_owners(req.group))):
            try:
                return await self._attempt(name, req)
            except LagoonstairError as exc:
                errors.append(exc)
                if not _may_succeed_elsewhere(exc):
                    break
        outcomes = {exc.response.outcome for exc in errors}
        any_unknown = Outcome.UNKNOWN in outcomes
        raise combined_error(
            Outcome.UNKNOWN if any_unknown else Outcome.NOT_RUN, errors[-1]
        )

    async def forward_to(self, owner: str, req: Forward) -> ExecutionResult:
        """Runs a request in an open transaction, in a single attempt.

        Args:
            owner: The instance that holds the transaction.
            req: The request.

        Raises:
            LagoonstairError: The request did not run, or its outcome is
                unknown.
        """
        return await self._attempt(owner, req)

    def _ordered_owners(self, group: str) -> tuple[str, ...]:
        """Returns the group's owners, those suspected of failure last."""
        owners = self._directory.owners(group)
        return self._suspects.order(owners, trio.current_time())

    def _next_owner(self, group: str, tried: set[str]) -> str | None:
        """Returns the next owner to try, or None if the group has none.

        Once every owner has been tried, all of them are eligible again.
        """
        owners = self._ordered_owners(group)
        if tried.issuperset(owners):
            tried.clear()
        found = next((name for name in owners if name not in tried), None)
        if found is not None:
            tried.add(found)
        return found

    async def _attempt(
        self, owner: str, req: Forward | EndTransaction
    ) -> ExecutionResult:
        """Makes one attempt within the request's remaining time."""
        with trio.move_on_after(req.time_left):
            try:
                return await self._send(owner, req)
            except PEER_ERRORS as exc:
                raise self._record_error(owner, exc) from exc
        raise unknown_error(f"owner {owner} did not answer in time")

    def _record_error(self, owner: str, exc: Exception) -> LagoonstairError:
        """Suspects an unreachable owner and returns the caller's error."""
        match exc:
            case LagoonstairError():
                return exc
            case PeerNotSentError():
                self._suspects.suspect(owner, trio.current_time())
                return unavailable_error(f"owner {owner} is not reached")
        self._suspects.suspect(owner, trio.current_time())
        return unknown_error(f"owner {owner} was lost")

    def _decide_retry(
        self, attempts: Attempts, last: LagoonstairError
    ) -> Decision:
        failure = AttemptFailure(
            last.response.outcome, retryable=_may_succeed_elsewhere(last)
        )
        return attempts.record_failure(
            failure,
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
            raise PeerNotSentError(f"the address of {owner} is unknown")
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
    return (
        exc.kind in RETRYABLE_KINDS or exc.response.outcome is Outcome.UNKNOWN
    )
