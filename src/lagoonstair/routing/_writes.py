"""The log positions of a session's acknowledged writes."""

import math
from typing import NamedTuple

from lagoonstair._types import Position

MAX_GROUPS = 8
"""Maximum number of groups whose position a session keeps. A session writes to
another group only when its route is moved."""


class _Write(NamedTuple):
    """The last acknowledged write to a group; times are in seconds."""

    position: Position
    acknowledged_at: float


class SessionWrites:
    """The last acknowledged write of a session in each group.

    Only a bounded number of positions is kept. Of the other writes, it is known
    when the last one was acknowledged: a position of a group's log that covers
    everything up to then covers them too.
    """

    __slots__ = ("_last", "_untracked_at")

    def __init__(self) -> None:
        self._last: dict[str, _Write] = {}
        self._untracked_at = -math.inf

    def record(
        self, group: str, position: Position | None, acknowledged_at: float
    ) -> None:
        """Records a write.

        Args:
            group: The group that it wrote to.
            position: The end of the group's log with the write; ``None`` if
                the endpoint did not report it.
            acknowledged_at: When it was acknowledged, in seconds.
        """
        self._last.pop(group, None)
        if position is None:
            self._untracked_at = acknowledged_at
            return
        self._last[group] = _Write(position, acknowledged_at)
        if len(self._last) > MAX_GROUPS:
            oldest = self._last.pop(next(iter(self._last)))
            self._untracked_at = max(self._untracked_at, oldest.acknowledged_at)

    def required_position(
        self, group: str, covering: Position, since: float
    ) -> Position | None:
        """Returns the position that a replica's log must contain for a read.

        Args:
            group: The group that the read runs in.
            covering: A position that covers all commits acknowledged before
                ``since``.
            since: That time, in seconds.

        Returns:
            The position; ``None`` if only the primary certainly contains all
            writes of the session.
        """
        write = self._last.get(group)
        if write is not None:
            return max(covering, write.position)
        return covering if self._untracked_at < since else None
