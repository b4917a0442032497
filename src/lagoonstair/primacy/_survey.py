"""Pure decision on which logs hold every acknowledged commit.

In a group with synchronous replicas, each acknowledged commit is in the logs of
as many replicas as the configuration says, but nobody knows of which. A replica
is certain to hold all of them in either of two cases:

- it holds what the previous primary held, which committed all of them;
- it holds the longest log among so many replicas that fewer are left than hold
  each commit.

The logs must be read once no instance uses the previous primary any more: until
then further commits may be acknowledged.
"""

from collections.abc import Mapping
from typing import NamedTuple

from lagoonstair._types import Position


class LogSurvey(NamedTuple):
    """The logs of a group that is without a primary in use.

    Attributes:
        received: The end of the received log of each replica that answered,
            by name.
        registered: The number of replicas that are registered or have answered.
        departed_since: For each replica that was registered and has not
            answered, when it was last known to be, in seconds.
        synchronous: The number of replicas that hold each acknowledged commit;
            at least 1.
        previous: The end of the previous primary's log; ``None`` if unknown.
        observed_at: When a primary of the group was last asked for the end of
            its log, in seconds.
        observed: The end of the log that it reported then.
    """

    received: Mapping[str, Position]
    registered: int
    departed_since: tuple[float, ...]
    synchronous: int
    previous: Position | None = None
    observed_at: float = float("-inf")
    observed: Position | None = None

    @property
    def quorum(self) -> int:
        """The number of replicas that must answer."""
        departed = sum(map(self._may_matter, self.departed_since))
        replicas = self.registered + departed
        return max(1, replicas - self.synchronous + 1)

    def required_position(self) -> Position | None:
        """Returns a position that covers every acknowledged commit.

        Returns:
            The lowest position that is certain to; ``None`` if too little is
            known.
        """
        bounds = [] if self.previous is None else [self.previous]
        if len(self.received) >= self.quorum:
            bounds.append(max(self.received.values()))
        return min(bounds, default=None)

    def _may_matter(self, since: float) -> bool:
        """Returns whether a departed replica may hold what no other one holds.

        It does not if a log that is known now holds what the primary held
        after the replica had left.

        Args:
            since: When it left, in seconds.
        """
        longest = max(self.received.values(), default=None)
        return (
            self.observed is None
            or longest is None
            or self.observed_at <= since
            or longest < self.observed
        )
