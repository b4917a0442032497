"""Which log positions cover everything acknowledged before a time; pure."""

from collections import deque
from typing import NamedTuple

from lagoonstair._types import Position

KEEP_SECONDS = 6.0
"""Longer than any staleness that today's routes allow (2.5 s)."""

SPACING_SECONDS = 0.05
"""Entries closer together than this would not change a choice."""


class Observation(NamedTuple):
    """A position that the primary reported.

    Attributes:
        asked_at: When the statement that it answered was sent, in seconds:
            every commit acknowledged before is at or below the position.
        position: The position.
    """

    asked_at: float
    position: Position


class PositionHistory:
    """What a group's primaries reported of late.

    Only what an endpoint reported while it was known to be the primary may
    be noted. A promotion leaves older observations valid: they say nothing
    of commits acknowledged after they were asked for, and the commits that
    a promotion rolls back are owed to nobody.
    """

    def __init__(self) -> None:
        self._observations: deque[Observation] = deque()

    def record(self, asked_at: float, position: Position) -> None:
        """Takes what the primary reported to a statement sent at a time."""
        entries = self._observations
        if entries:
            last = entries[-1]
            if asked_at <= last.asked_at or position < last.position:
                return
            if (
                len(entries) > 1
                and last.asked_at - entries[-2].asked_at < SPACING_SECONDS
            ):
                entries.pop()
        entries.append(Observation(asked_at, position))
        while entries[0].asked_at < asked_at - KEEP_SECONDS:
            entries.popleft()

    def latest(self) -> Observation | None:
        """The newest observation."""
        return self._observations[-1] if self._observations else None

    def covering(self, since: float) -> Position | None:
        """The lowest position that covers all acknowledged before a time.

        The lowest suits a lagging replica best. ``None`` when no observation
        is young enough, so that only the primary can serve.
        """
        return next(
            (
                entry.position
                for entry in self._observations
                if entry.asked_at >= since
            ),
            None,
        )
