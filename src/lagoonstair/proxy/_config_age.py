"""How current an instance's knowledge of the configuration is."""

DEFAULT_BOUND_SECONDS = 3.0
"""Time (s) from the acknowledgement of a configuration until it must be in
force, unless the settings give another."""

READ_FRACTION = 0.2
"""Fraction of the bound after which the first voter reads the configuration.
The others get its knowledge by gossip."""

TAKEOVER_FRACTION = 0.45
"""Fraction of the bound after which any voter reads the configuration. The rest
is left for a failed read and for two rounds of gossip."""

BEHIND_FRACTION = 0.7
"""Fraction of the bound beyond which knowledge counts as outdated."""

UNKNOWN_AGE_SECONDS = 1e6
"""Age (s) that stands for no knowledge, or for an answer that tells none."""


class ConfigAge:
    """Tracks until when no configuration newer than the local one existed.

    A feed without changes does not show that there were none: its connection
    may be dead. Only a read of the store does, here or at a peer that tells
    when it was. All times are in seconds on the local monotonic clock.

    Attributes:
        read_at: The newest time for which the local configuration is known to
            be the newest; negative infinity if there is none.
    """

    def __init__(self, bound: float = DEFAULT_BOUND_SECONDS) -> None:
        """Creates the state of an instance that knows no configuration.

        Args:
            bound: Time in seconds from the acknowledgement of a configuration
                until it must be in force.
        """
        self._bound = bound
        self._behind_peers: set[str] = set()
        self.read_at = float("-inf")

    def note_read(self, asked_at: float) -> None:
        """Records a read of the store whose result is in force here.

        Args:
            asked_at: When the store was asked.
        """
        self.read_at = max(self.read_at, asked_at)

    def note_peer(self, name: str, asked_at: float, age: float) -> None:
        """Records an answer of a peer whose configuration is in force here.

        Args:
            name: The name of the peer.
            asked_at: When the peer was asked.
            age: The age of the peer's knowledge when it answered.
        """
        if age >= UNKNOWN_AGE_SECONDS:
            return
        self.note_read(asked_at - age)
        if age > self._bound * BEHIND_FRACTION:
            self._behind_peers.add(name)
        else:
            self._behind_peers.discard(name)

    def age(self, now: float) -> float:
        """Returns the age of the local knowledge, in seconds."""
        return min(now - self.read_at, UNKNOWN_AGE_SECONDS)

    def is_current(self, now: float) -> bool:
        """Returns whether the local knowledge is not outdated."""
        return self.age(now) <= self._bound * BEHIND_FRACTION

    def is_peer_behind(self, name: str) -> bool:
        """Returns whether a peer's knowledge was outdated when it answered."""
        return name in self._behind_peers

    def is_read_due(
        self, now: float, *, rank: int | None, jitter: float
    ) -> bool:
        """Returns whether this instance should read the configuration.

        Args:
            now: The current time.
            rank: The instance's place among the voters; ``None`` if it is not
                a voter and leaves the reads to them.
            jitter: The part of the limit to apply, so that not all voters read
                at once when the first one is gone.
        """
        match rank:
            case None:
                return not self.is_current(now)
            case 0:
                return self.age(now) > self._bound * READ_FRACTION
            case _:
                limit = self._bound * TAKEOVER_FRACTION * jitter
                return self.age(now) > limit
