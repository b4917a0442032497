"""Decides which operations to refuse before they reach their home.

Client-side adaptive throttling as described in "Site Reliability Engineering"
(O'Reilly, 2016), chapter 21, without I/O.
"""

import re
from dataclasses import dataclass, field
from typing import NamedTuple

from lagoonstair.exceptions import ErrorKind
from lagoonstair.limits import REFUSAL_MESSAGES

WINDOW_SECONDS = 2.0
"""Length of the window over which operations are counted, in seconds."""

ACCEPTS_FACTOR = 1.5
"""Operations that are let through for each accepted one. Above 1, so that an
increase of what the home accepts is noticed."""

MIN_REQUESTS = 10
"""Least number of operations in the window for which any are refused. With
fewer, chance decides the ratio."""

DEFAULT_RETRY_AFTER_MS = 1000
"""Retry hint, in milliseconds, if the home's refusals had none."""

LOG_INTERVAL_SECONDS = 1.0
"""Least interval, in seconds, between two log lines on one workspace."""

RATE_REFUSAL = REFUSAL_MESSAGES[ErrorKind.RATE_LIMITED]
"""Beginning of the message with which a home refuses an operation as over its
workspace's rate."""

HINT = re.compile(r"retry_after_ms=(\d{1,9})")


def rate_refusal_hint(error: str) -> int | None:
    """Reads a home's error line.

    Args:
        error: The line, without its terminator; empty if there was no error.

    Returns:
        The retry hint in milliseconds if the line refuses an operation as
        over its workspace's rate, else ``None``.
    """
    if not error.startswith(f"ERROR BUSY {RATE_REFUSAL}"):
        return None
    hint = HINT.search(error)
    return int(hint[1]) if hint else DEFAULT_RETRY_AFTER_MS


class ThrottleCounts(NamedTuple):
    """Operations of one workspace within the window.

    Attributes:
        requests: Operations that callers asked for.
        accepts: Those that were not refused as over the rate.
    """

    requests: float = 0.0
    accepts: float = 0.0

    @property
    def refusal_probability(self) -> float:
        """The probability with which the next operation is refused."""
        if self.requests < MIN_REQUESTS:
            return 0.0
        excess = self.requests - ACCEPTS_FACTOR * self.accepts
        return max(0.0, excess / (self.requests + 1))

    def scaled(self, factor: float) -> "ThrottleCounts":
        """Returns the counts multiplied by a factor."""
        return ThrottleCounts(self.requests * factor, self.accepts * factor)

    def plus(self, other: "ThrottleCounts") -> "ThrottleCounts":
        """Returns the sums of both counts."""
        return ThrottleCounts(
            self.requests + other.requests, self.accepts + other.accepts
        )


@dataclass(slots=True)
class _Window:
    """A sliding window made of the present period and the one before."""

    started_at: float
    current: ThrottleCounts = field(default_factory=ThrottleCounts)
    previous: ThrottleCounts = field(default_factory=ThrottleCounts)
    retry_after_ms: int = DEFAULT_RETRY_AFTER_MS
    logged_at: float = float("-inf")

    def advance(self, now: float) -> None:
        """Begins a new period if the present one has ended."""
        elapsed = now - self.started_at
        if elapsed < WINDOW_SECONDS:
            return
        is_next = elapsed < 2 * WINDOW_SECONDS
        self.previous = self.current if is_next else ThrottleCounts()
        self.current = ThrottleCounts()
        self.started_at = self.started_at + WINDOW_SECONDS if is_next else now

    def counts(self, now: float) -> ThrottleCounts:
        """Returns the counts within the window.

        The period before counts with the part of it that is in the window.
        """
        self.advance(now)
        weight = 1 - (now - self.started_at) / WINDOW_SECONDS
        return self.current.plus(self.previous.scaled(weight))

    def add(self, now: float, counts: ThrottleCounts) -> None:
        """Adds to the counts of the present period."""
        self.advance(now)
        self.current = self.current.plus(counts)


class Throttler:
    """Counts the operations of each workspace at one entry instance.

    An operation that is forwarded is counted with its outcome, so that those
    that run don't count as refused.
    """

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}

    def counts(self, now: float, workspace: str) -> ThrottleCounts:
        """Returns a workspace's counts within the window.

        Args:
            now: The time, in seconds.
            workspace: The workspace.
        """
        window = self._windows.get(workspace)
        return ThrottleCounts() if window is None else window.counts(now)

    def refuse(self, now: float, workspace: str, unit: float) -> int | None:
        """Decides on an operation that has not been forwarded.

        Args:
            now: The time, in seconds.
            workspace: The operation's workspace.
            unit: A random number from 0 to below 1.

        Returns:
            The retry hint in milliseconds if the operation is refused, which
            is then counted; ``None`` if it is to be forwarded.
        """
        if unit >= self.counts(now, workspace).refusal_probability:
            return None
        window = self._windows[workspace]
        window.add(now, ThrottleCounts(requests=1))
        return window.retry_after_ms

    def record(self, now: float, workspace: str, hint: int | None) -> None:
        """Counts an operation that was forwarded, once it is answered.

        Args:
            now: The time, in seconds.
            workspace: The operation's workspace.
            hint: The home's retry hint in milliseconds if it refused the
                operation as over the rate, else ``None``.
        """
        window = self._windows.setdefault(workspace, _Window(now))
        window.add(now, ThrottleCounts(1, 1 if hint is None else 0))
        if hint is not None:
            window.retry_after_ms = hint

    def takes_log_line(self, now: float, workspace: str) -> bool:
        """Returns whether a refusal is to be logged, and records that."""
        window = self._windows[workspace]
        if now - window.logged_at < LOG_INTERVAL_SECONDS:
            return False
        window.logged_at = now
        return True

    def keep(self, workspaces: frozenset[str]) -> None:
        """Drops the counts of workspaces that no longer exist."""
        self._windows = {
            name: window
            for name, window in self._windows.items()
            if name in workspaces
        }
