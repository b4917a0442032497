"""The times by which a configuration is kept alike."""

from dataclasses import dataclass

from lagoonstair.config._freshness import FRESHNESS_BOUND_SECONDS

PROOF_REFRESH_FRACTION = 0.25
TICK_FRACTION = 0.125

FLEET_HEAD_READS_PER_SECOND = 400.0
"""Reads of the head by all instances together."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SyncTiming:
    """Times in seconds.

    Attributes:
        bound: For how long a proof holds.
        poll: Between two reads of the head, at least.
        ask_after: Age of the proof at which peers are asked.
        tick: Between two looks at the own state.
        call: Within which a peer must answer.
        store: Within which the store must answer once.
        submit: Within which a change must be durable.
        accept: For how long the answer to a change waits for a majority.
        settle: For how long it then waits for the other members.
        retry: Before the first repeat of what failed; it doubles.
        reap_after: For how long the list must lack a member that is removed.
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
        """Makes times that leave room to ask peers within a bound."""
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
        """Seconds between two reads of the head by one instance."""
        return max(
            self.min_poll_interval, members / FLEET_HEAD_READS_PER_SECOND
        )
