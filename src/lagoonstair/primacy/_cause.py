"""Pure decisions on a promotion: whether and by which instance.

None of these functions does I/O or reads a clock.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

UNREACHABLE_SECONDS = 0.8
"""Time (s) a primary must be unreachable before it is replaced. It exceeds the
delay of a lost packet and of a process suspended for a scheduling period of
0.1 s."""

PEER_UNREACHABLE_SECONDS = 0.3
"""Time (s) the primary must also have been unreachable from the peers. It is
shorter than the local limit, because peers start to probe only on request."""

MISSING_ENTRY_SECONDS = 2.5
"""Time (s) a primary's discovery entry must be missing before it is replaced.
After an outage of the store, the entries of live endpoints return within 2
s."""

PROMOTION_STAGGER_SECONDS = 0.35
"""Delay (s) between the promotion attempts of successive instances. It exceeds
the time until the other instances see a store transaction."""


class Cause(enum.Enum):
    """Reason for replacing a group's primary.

    Attributes:
        FAILING: Neither this instance nor any responsive peer reaches the
            primary.
        GONE: The primary's discovery entry is missing.
        LEAVING: The primary has announced its shutdown.
        EVACUATED: The primary's failure domain is evacuated, and an endpoint
            elsewhere can become primary.
        SUPERSEDED: The recorded primary does not lead, by the endpoints' own
            answers.
        STALLED: An earlier promotion of the group has not finished.
        UNKNOWN: The group has no record yet, and exactly one endpoint claims
            to be its primary.
    """

    FAILING = "failing"
    GONE = "gone"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    SUPERSEDED = "superseded"
    STALLED = "stalled"
    UNKNOWN = "unknown"


class PrimaryView(NamedTuple):
    """Local knowledge of a primary's health.

    Attributes:
        unreachable_for: Seconds for which this instance has been unable to
            reach the primary; 0 when it reaches it.
        peers_unreachable_for: The same duration as reported by each
            responsive peer; negative when the peer does not know.
        missing_for: Seconds for which the primary's discovery entry has been
            missing.
        leaving_for: Seconds since the primary announced its shutdown; 0 when
            it has not.
        all_reachable: Whether every registered instance responds.
        evacuated_for: Seconds since this instance learned that the primary's
            failure domain is evacuated; 0 when it is not, or when no endpoint
            elsewhere can become primary.
    """

    unreachable_for: float
    peers_unreachable_for: tuple[float, ...]
    missing_for: float
    leaving_for: float
    all_reachable: bool = True
    evacuated_for: float = 0.0


def promotion_cause(
    view: PrimaryView, *, max_wait: float, max_evacuation_wait: float = 0.0
) -> Cause | None:
    """Returns the reason to replace a primary, or ``None`` to keep it.

    A primary that at least one instance reaches does not count as failed;
    instances that are partitioned from it leave its statements to the others.
    A leaving or evacuated primary still serves for a while, so its replacement
    waits for unresponsive instances: with one of them, the promotion would have
    to wait until that instance's proofs expire, with no usable primary
    meanwhile.

    Args:
        view: Local knowledge of the primary's health.
        max_wait: Seconds for which a leaving primary may stay in use until
            all instances respond.
        max_evacuation_wait: The same for a primary in an evacuated domain.
    """
    is_leaving = view.leaving_for > 0
    if is_leaving and (view.all_reachable or view.leaving_for > max_wait):
        return Cause.LEAVING
    if view.evacuated_for > 0 and (
        view.all_reachable or view.evacuated_for > max_evacuation_wait
    ):
        return Cause.EVACUATED
    if view.missing_for >= MISSING_ENTRY_SECONDS:
        return Cause.GONE
    if view.unreachable_for < UNREACHABLE_SECONDS:
        return None
    if all(
        other >= PEER_UNREACHABLE_SECONDS
        for other in view.peers_unreachable_for
    ):
        return Cause.FAILING
    return None


def promotion_delay(name: str, alive: Iterable[str], holder: str) -> float:
    """Returns the delay in seconds before an instance starts a promotion.

    The current holder of the promotion duty comes first, so that the duty
    rarely changes hands. The other instances follow in order of name.

    Args:
        name: The instance that asks for its delay.
        alive: Names of the responsive voters.
        holder: The instance that holds the promotion duty.
    """
    order = sorted({*alive, name}, key=lambda other: (other != holder, other))
    return order.index(name) * PROMOTION_STAGGER_SECONDS
