"""Intervals and limits for the monitoring of a group."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Intervals, timeouts and limits; all durations are in seconds.

    Attributes:
        probe_interval: The time between two probe rounds of the owner.
        standby_interval: The time between two probe rounds of a standby.
        jitter: The maximum random variation of an interval, as a fraction of
            the interval.
        probe_timeout: The time after which an unanswered probe has failed.
        dead_after: The minimum silence after which a member counts as dead.
        dead_failures: The minimum number of consecutive failed probes after
            which a member counts as dead.
        stall_limit: The maximum time between two ticks. A longer gap means
            that the watcher itself was paused, so that missing answers prove
            nothing about the members.
        peer_view_timeout: The maximum time to wait for the views of other
            watchers.
        silence_margin: How much more recently another watcher must have heard
            the primary for its view to prevent a promotion.
        orphan_after: How long a term without a primary is left to the watcher
            that fenced it.
        isolated_after: How long replicas may be without contact to a primary
            that answers its watchers but can't have its writes confirmed.
        fence_grace: How long a promotion that has a majority waits for the
            other members that are alive.
        call_timeout: The maximum duration of a fence, promote or follow call.
        promote_attempts: The maximum number of promote calls per promotion.
        backoff: The minimum time between two promotions by one watcher.
        drain: The time that a leaving primary has to finish open work.
        confirm_interval: The time between two confirmation rounds.
    """

    probe_interval: float = 0.25
    standby_interval: float = 0.35
    jitter: float = 0.2
    probe_timeout: float = 1.0
    dead_after: float = 1.5
    dead_failures: int = 3
    stall_limit: float = 1.0
    peer_view_timeout: float = 0.3
    silence_margin: float = 0.6
    orphan_after: float = 1.2
    isolated_after: float = 4.0
    fence_grace: float = 0.2
    call_timeout: float = 0.5
    promote_attempts: int = 3
    backoff: float = 0.5
    drain: float = 1.0
    confirm_interval: float = 0.01
