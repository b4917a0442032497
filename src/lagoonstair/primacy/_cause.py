"""Whether a primary is to be replaced, by whom and by which endpoint; pure."""

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lagoonstair._types import Position

UNREACHABLE_SECONDS = 0.8
"""How long a primary must be out of reach; a slow process that is stopped
for a scheduling period of 0.1 s, or a lost packet, takes less."""

PEER_UNREACHABLE_SECONDS = 0.3
"""How long others must have failed too; they begin to try when asked."""

MISSING_ENTRY_SECONDS = 2.5
"""How long an entry must be missing; after an outage of the store the entries
of living endpoints are back within two seconds."""

PROMOTION_STAGGER_SECONDS = 0.35
"""How much later each next instance begins a promotion than the one before;
more than a transaction takes to be seen by the others."""


class Cause(enum.Enum):
    """Why a primary is replaced."""

    FAILING = "failing"
    GONE = "gone"
    LEAVING = "leaving"
    STALLED = "stalled"
    UNKNOWN = "unknown"


class PrimaryView(NamedTuple):
    """What is known of a primary.

    Attributes:
        failing: Seconds for which this instance has not reached it; 0 when
            it does.
        others: The same, as others in touch said; below 0 when unknown.
        missing: Seconds for which its entry has been missing.
        leaving_for: Seconds since it said that it shuts down; 0 if it has
            not.
        all_heard: Whether every registered instance is in touch.
    """

    unreachable_for: float
    peers_unreachable_for: tuple[float, ...]
    missing_for: float
    leaving_for: float
    all_reachable: bool = True


def promotion_cause(view: PrimaryView, *, max_wait: float) -> Cause | None:
    """Why the primary is to be replaced, if it is.

    A primary that any instance reaches is not failing: those that are cut
    off from it leave its work to the others. One that leaves goes on serving
    for a while; as long as an instance is silent, a promotion would have to
    wait for its proofs to run out, with no primary in use.

    Args:
        view: What is known of the primary.
        max_wait: For how many seconds a leaving primary may be left in use
            until all instances are in touch.
    """
    leaves = view.leaving_for > 0
    if leaves and (view.all_reachable or view.leaving_for > max_wait):
        return Cause.LEAVING
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


def choose_target(
    received: Mapping[str, Position], *, excluded: Iterable[str]
) -> str | None:
    """The endpoint that takes over: the one with the longest log."""
    names = sorted(received.keys() - set(excluded))
    return max(names, key=lambda name: received[name], default=None)


def promotion_delay(name: str, alive: Iterable[str], holder: str) -> float:
    """After how many seconds an instance begins a promotion.

    The holder of the duty comes first, so that it changes seldom.
    """
    order = sorted({*alive, name}, key=lambda other: (other != holder, other))
    return order.index(name) * PROMOTION_STAGGER_SECONDS
