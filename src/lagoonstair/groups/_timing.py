"""Intervals and bounds of a group's watch."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Durations in seconds, and counts.

    Attributes:
        probe_interval: Between two probe rounds of the active watcher.
        standby_interval: Between two probe rounds of a standby.
        jitter: Greatest part of an interval by which it is varied.
        probe_timeout: After which a probe without an answer has failed.
        dead_after: Least silence of a member that counts as dead.
        dead_failures: Least consecutive failed probes of a dead member.
        stall_limit: A longer gap between two ticks means that the watcher
            itself was paused, and its silence tells nothing of the members.
        opinion_timeout: How long to wait for other watchers' views.
        opinion_margin: How much later another watcher must have heard the
            primary for its word to stop a promotion.
        orphan_after: How long a term without a primary is left to whoever
            fenced it.
        isolated_after: How long replicas may be without contact to a primary
            that answers its watchers but can't have its writes confirmed.
        fence_grace: How long a promotion that has a majority waits for the
            other members that are alive.
        call_timeout: Bound of one fence, promote or follow call.
        promote_attempts: How often a promote call is sent.
        backoff: Least time between two promotions by one watcher.
        drain: How long a leaving primary may finish open work.
        confirm_interval: Between two confirmation rounds.
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
