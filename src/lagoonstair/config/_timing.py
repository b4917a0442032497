"""Intervals and timeouts of configuration synchronization."""

from dataclasses import dataclass

from lagoonstair.config._freshness import FRESHNESS_BOUND_SECONDS

PROOF_REFRESH_FRACTION = 0.25
"""Largest age at which a proof is refreshed, as a part of the bound."""

TICK_FRACTION = 0.125
"""Longest tick interval, as a part of the freshness bound."""

FLEET_HEAD_READS_PER_SECOND = 400.0
"""Upper bound on reads of the log head per second, over all instances."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SyncTiming:
    """Intervals and timeouts, in seconds.

    Attributes:
        freshness_bound: How long a freshness proof stays valid.
        min_poll_interval: Shortest interval between two reads of the log head.
        proof_refresh_age: Age of the proof from which peers are asked for a
            newer one.
        tick_interval: Interval between two ticks of the core and between two
            checks of the proof's age.
        call_timeout: Timeout of one call to a peer.
        store_timeout: Timeout of one attempt against the store.
        submit_timeout: Time within which a submitted change must be durable.
        accept_timeout: How long the response to a change waits for a majority
            to confirm it.
        settle_timeout: How long it then waits for the remaining members.
        retry_delay: Delay before the first retry; it doubles with each retry
            of a push.
        absence_timeout: How long a member must be missing from the platform's
            listing before it is removed.
    """

    freshness_bound: float = FRESHNESS_BOUND_SECONDS
    min_poll_interval: float = 1.0
    proof_refresh_age: float = 1.5
    tick_interval: float = 0.5
    call_timeout: float = 1.0
    store_timeout: float = 3.0
    submit_timeout: float = 8.0
    accept_timeout: float = 3.0
    settle_timeout: float = 0.5
    retry_delay: float = 0.1
    absence_timeout: float = 30.0

    @classmethod
    def from_freshness_bound(cls, bound: float, *, poll: float) -> "SyncTiming":
        """Derives timing that leaves time to ask peers within a bound.

        Args:
            bound: The freshness bound, in seconds.
            poll: The shortest interval between head reads, in seconds.
        """
        usual = cls()
        return cls(
            freshness_bound=bound,
            min_poll_interval=poll,
            proof_refresh_age=min(
                usual.proof_refresh_age, bound * PROOF_REFRESH_FRACTION
            ),
            tick_interval=min(usual.tick_interval, bound * TICK_FRACTION),
        )

    def head_read_interval(self, members: int) -> float:
        """Returns the seconds between two head reads by one instance."""
        return max(
            self.min_poll_interval, members / FLEET_HEAD_READS_PER_SECOND
        )
