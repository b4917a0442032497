"""Whether an instance is cut off from all homes and voters, without I/O."""

import math

CONTACT_SECONDS = 1.0
"""Time in seconds without an answer of any home and of any voter after which an
instance counts as isolated: two rounds of gossip without an answer."""

MAX_PAUSE_SECONDS = 0.5
"""Time in seconds between two checks beyond which the process itself was
suspended or slow, so that missing answers show nothing."""


class Contact:
    """Follows one instance's contact with homes and voters.

    Before a home has answered once, the instance is not isolated: after a
    restart of all instances the homes may only be starting.

    Attributes:
        is_isolated: Whether the instance is isolated, as of the last check.
    """

    def __init__(self) -> None:
        self.is_isolated = False
        self._has_reached_home = False
        self._checked_at = -math.inf
        self._watching_since = -math.inf

    def check(self, now: float, *, home_at: float, hears_voter: bool) -> bool:
        """Decides anew whether the instance is isolated.

        Args:
            now: The time, in seconds.
            home_at: When a home last answered, in seconds; negative infinity
                if none has.
            hears_voter: Whether a voter has answered a request of the last
                ``CONTACT_SECONDS``.

        Returns:
            Whether that has changed.
        """
        if now - self._checked_at > MAX_PAUSE_SECONDS:
            self._watching_since = now
        self._checked_at = now
        self._has_reached_home |= home_at > -math.inf
        was_isolated = self.is_isolated
        if hears_voter or now - home_at <= CONTACT_SECONDS:
            self.is_isolated = False
        elif now - self._watching_since > CONTACT_SECONDS:
            self.is_isolated = self._has_reached_home
        return self.is_isolated is not was_isolated
