"""Decisions on the endpoints of a group in evacuated domains."""

from collections.abc import Iterable
from typing import NamedTuple

from lagoonstair.evacuation._state import HARD_STOP_FRACTION, Evacuations

HANDOVER_WAIT_FRACTION = 0.45
"""Fraction of the time until the hard stop for which a handover may wait for
unresponsive instances; the promotion itself takes the rest."""


class HandoverState(NamedTuple):
    """What is known about the primary of a group.

    Attributes:
        is_evacuated: Whether the recorded primary's domain is evacuated.
        is_stopped: Whether the hard stop of that domain has passed.
        is_promoting: Whether a promotion of the group is in progress.
        has_candidate: Whether an endpoint outside evacuated domains can become
            primary.
    """

    is_evacuated: bool
    is_stopped: bool
    is_promoting: bool
    has_candidate: bool


def must_refuse(state: HandoverState, *, begins_transaction: bool) -> bool:
    """Returns whether a statement for the primary can't be served.

    Before the hard stop the primary serves statements, but no transaction
    begins there. Those wait for the next primary if there can be one.

    Args:
        state: What is known about the primary.
        begins_transaction: Whether a transaction would begin.
    """
    if not state.is_evacuated:
        # The entry of the recorded primary may be missing.
        return False
    if state.is_stopped:
        return not (state.is_promoting and state.has_candidate)
    return begins_transaction and not state.has_candidate


def is_excluded(
    evacuations: Evacuations, domain: str, *, is_primary: bool, now: float
) -> bool:
    """Returns whether an endpoint may not serve statements of callers.

    Args:
        evacuations: The evacuated domains.
        domain: The endpoint's failure domain.
        is_primary: Whether it is the recorded primary of its group, which
            serves until the hard stop.
        now: The current time, in seconds.
    """
    if not evacuations.is_evacuated(domain):
        return False
    return not is_primary or evacuations.is_stopped(domain, now)


def skipped_for_read(
    evacuations: Evacuations, domains: Iterable[str], now: float, draw: float
) -> frozenset[str]:
    """Returns the domains that a read skips while another one can serve it.

    They are those that have returned lately, so that their endpoints do not
    get the whole load at once.

    Args:
        evacuations: The evacuated domains.
        domains: The failure domains of a group's endpoints.
        now: The current time, in seconds.
        draw: A random number of at least 0 and below 1, drawn for this read.
    """
    return frozenset(
        domain
        for domain in domains
        if not evacuations.is_evacuated(domain)
        and draw >= evacuations.return_share(domain, now)
    )


def handover_wait(evacuations: Evacuations) -> float:
    """Returns how long a handover waits for unresponsive instances, in s."""
    bound = evacuations.bound or 0.0
    return bound * HARD_STOP_FRACTION * HANDOVER_WAIT_FRACTION
