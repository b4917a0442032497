"""The times by which a configuration is kept alike."""

from dataclasses import dataclass

from lagoonstair.config._freshness import FRESHNESS_BOUND

ASK_PART = 0.25
TICK_PART = 0.125

POLL_READS_PER_SECOND = 400.0
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

    bound: float = FRESHNESS_BOUND
    poll: float = 1.0
    ask_after: float = 1.5
    tick: float = 0.5
    call: float = 1.0
    store: float = 3.0
    submit: float = 8.0
    accept: float = 3.0
    settle: float = 0.5
    retry: float = 0.1
    reap_after: float = 30.0

    @classmethod
    def from_bound(cls, bound: float, *, poll: float) -> "SyncTiming":
        """Makes times that leave room to ask peers within a bound."""
        usual = cls()
        return cls(
            bound=bound,
            poll=poll,
            ask_after=min(usual.ask_after, bound * ASK_PART),
            tick=min(usual.tick, bound * TICK_PART),
        )

    def poll_interval(self, members: int) -> float:
        """Seconds between two reads of the head by one instance."""
        return max(self.poll, members / POLL_READS_PER_SECOND)
