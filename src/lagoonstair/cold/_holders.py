"""Decides when a share of a new rate may be used at once."""

PROPAGATION_SECONDS = 2.0
"""Time in seconds within which all connected instances learn of a change of
the homes: four rounds of gossip."""


class HolderHistory:
    """The set of the homes, and since when this instance has known it."""

    def __init__(self) -> None:
        self._names: frozenset[str] = frozenset()
        self._since = 0.0

    def update(self, now: float, names: frozenset[str]) -> None:
        """Notes the homes as they are known now.

        Args:
            now: The time, in seconds.
            names: The names of the homes.
        """
        if names != self._names:
            self._names = names
            self._since = now

    def is_settled(self, now: float, started_before: float) -> bool:
        """Returns whether the set was the same everywhere at a start.

        If so, each holder can use its share of a rate that begins with the
        start at once: no other set of holders, and no earlier process of this
        instance, can have used the rate.

        Args:
            now: The time, in seconds.
            started_before: How long ago the rate has begun, in seconds.
        """
        known_for = now - self._since
        return known_for > PROPAGATION_SECONDS + started_before
