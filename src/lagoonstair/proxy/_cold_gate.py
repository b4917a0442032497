"""Admits statements to endpoints that have just started."""

import math
from collections.abc import Sequence
from typing import Protocol

import trio

from lagoonstair.cold import share_key
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.proxy._cold import ColdEndpoints
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.routing import Candidate, Endpoint
from lagoonstair.statements import Failure

COLD_MESSAGE = "the endpoint has just started"

LOG_INTERVAL_SECONDS = 1.0
"""Least interval in seconds between two log lines on refusals of an
endpoint."""

RETRY_SECONDS = 0.5
"""Retry hint in seconds if the time until a token is not known."""


def is_cold_refusal(failure: Failure) -> bool:
    """Returns whether a failure says that an endpoint has just started."""
    return failure.message.startswith(COLD_MESSAGE)


class Tokens(Protocol):
    """Source of the tokens of the endpoints' rates."""

    def has_token(self, key: str) -> bool:
        """Returns whether a token can be taken now; counts the demand."""

    def try_take(self, key: str) -> bool:
        """Takes a token if there is one."""

    async def admit(self, workspace: str) -> None:
        """Waits for a token.

        Raises:
            LagoonstairError: There is none in time.
        """


class ColdGate:
    """Takes a token for each statement that is sent to a cold endpoint."""

    def __init__(
        self, cold: ColdEndpoints, tokens: Tokens, metrics: Metrics
    ) -> None:
        self._cold = cold
        self._tokens = tokens
        self._metrics = metrics
        self._refusals: dict[str, tuple[float, int]] = {}

    def is_cold(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint is limited now."""
        return self._cold.is_cold(endpoint)

    def first_usable(
        self, candidates: Sequence[Candidate], *, pins: bool
    ) -> Candidate:
        """Returns the best endpoint that can be used without waiting.

        Args:
            candidates: The endpoints that may run a read, best first; at least
                one.
            pins: Whether a transaction is to begin, for which any warm
                endpoint is better than a cold one.

        Returns:
            The endpoint; the best one if all of them are cold and have no
            token.
        """
        if pins:
            candidates = sorted(
                candidates, key=lambda found: self.is_cold(found.endpoint)
            )
        return next(
            (
                found
                for found in candidates
                if not self.is_cold(found.endpoint)
                or self._tokens.has_token(share_key(found.endpoint))
            ),
            candidates[0],
        )

    async def admit(
        self, endpoint: Endpoint, *, statements: int, waits: bool
    ) -> None:
        """Takes the tokens for statements that are about to be sent.

        Args:
            endpoint: The endpoint; without effect unless it is cold.
            statements: The number of statements.
            waits: Whether to wait for tokens, because no other endpoint can
                run the statements.

        Raises:
            LagoonstairError: There are no tokens; nothing may be sent.
        """
        for _ in range(statements):
            if not self._cold.is_cold(endpoint):
                return
            await self._take(endpoint, share_key(endpoint), waits)

    async def _take(self, endpoint: Endpoint, key: str, waits: bool) -> None:
        if self._tokens.try_take(key):
            return
        retry_after: float | None = None
        if waits:
            try:
                await self._tokens.admit(key)
            except LagoonstairError as exc:
                if exc.kind is ErrorKind.NOT_FOUND and not self._cold.is_cold(
                    endpoint
                ):
                    # It became warm meanwhile.
                    return
                retry_after = exc.retry_after
            else:
                return
        self._note_refusal(endpoint, waits)
        raise LagoonstairError(
            ErrorKind.RATE_LIMITED,
            COLD_MESSAGE,
            retry_after=retry_after or RETRY_SECONDS,
        )

    def _note_refusal(self, endpoint: Endpoint, waits: bool) -> None:
        """Counts a refusal, and logs them at most once in an interval."""
        self._metrics.count("cold_refusals", waited=str(waits).lower())
        now = trio.current_time()
        logged_at, count = self._refusals.get(endpoint.name, (-math.inf, 0))
        if now - logged_at < LOG_INTERVAL_SECONDS:
            self._refusals[endpoint.name] = logged_at, count + 1
            return
        self._refusals[endpoint.name] = now, 0
        log_event(
            "cold endpoint refused",
            endpoint=endpoint.name,
            group=endpoint.group,
            waited=waits,
            refusals=count + 1,
        )
