"""Log positions that cover every commit acknowledged before a given time."""

from collections import deque
from typing import NamedTuple

from lagoonstair._types import Position

RETENTION_SECONDS = 6.0
"""How long observations are kept, in seconds.

Sized for routes that allow a staleness of up to 2.5 s, which it exceeds."""

MIN_SPACING_SECONDS = 0.05
"""Minimum distance between kept observations, in seconds.

Observations closer together would not change the choice of an endpoint."""


class Observation(NamedTuple):
    """A position that the primary reported.

    Attributes:
        asked_at: When the statement that it answered was sent, in seconds.
            Every commit acknowledged earlier is at or below the position.
        position: The position.
    """

    asked_at: float
    position: Position


class PositionHistory:
    """The recent positions reported by a group's primaries.

    Only positions that an endpoint reported while it was known to be the
    primary may be recorded. Older observations remain valid after a
    promotion: they make no statement about commits acknowledged after they
    were requested, and commits that a promotion rolls back need not be
    covered.
    """

    def __init__(self) -> None:
        self._observations: deque[Observation] = deque()

    def record(self, asked_at: float, position: Position) -> None:
        """Records the position in the primary's answer to a statement.

        Args:
            asked_at: When the statement was sent, in seconds.
            position: The position that the primary reported.
        """
        entries = self._observations
        if entries:
            last = entries[-1]
            if asked_at <= last.asked_at or position < last.position:
                return
            if (
                len(entries) > 1
                and last.asked_at - entries[-2].asked_at < MIN_SPACING_SECONDS
            ):
                entries.pop()
        entries.append(Observation(asked_at, position))
        while entries[0].asked_at < asked_at - RETENTION_SECONDS:
            entries.popleft()

    def latest(self) -> Observation | None:
        """Returns the newest observation."""
        return self._observations[-1] if self._observations else None

    def covering(self, since: float) -> Position | None:
        """Returns the lowest position that covers all commits before a time.

        A commit counts by the time of its acknowledgement. The lowest position
        admits the most replicas, as they may lag. The result is ``None`` if no
        observation is recent enough; then only the primary can serve the read.
        """
        return next(
            (
                entry.position
                for entry in self._observations
                if entry.asked_at >= since
            ),
            None,
        )
