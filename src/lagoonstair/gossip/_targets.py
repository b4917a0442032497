"""Chooses the voter that an instance asks in a round, without I/O."""

from collections.abc import Sequence
from typing import NamedTuple

SAME_DOMAIN_WEIGHT = 6
"""Extra turns of each voter in the same failure domain in a rotation of asked
voters, in which every voter has one turn. Traffic between failure domains is
charged for. A voter that answers, but has not heard of the store for a while,
has no extra turns."""


class VoterView(NamedTuple):
    """What an instance knows about a voter.

    Attributes:
        name: The voter's name.
        is_same_domain: Whether it is in the instance's failure domain.
        is_far: Whether it is in another region.
        missed_rounds: The consecutive rounds that it has not answered.
        is_behind: Whether its knowledge was outdated when it last answered.
        asked_at: When it was sent the last request that it answered, in
            seconds.
    """

    name: str
    is_same_domain: bool
    is_far: bool
    missed_rounds: int
    is_behind: bool
    asked_at: float

    @property
    def is_current(self) -> bool:
        """Whether it answers and is not behind."""
        return not self.missed_rounds and not self.is_behind


def choose_voter(
    voters: Sequence[VoterView], turn: int, *, renews_contact: bool
) -> str | None:
    """Returns the voter that a non-voter asks in a regular round.

    The voters of other regions are left out while one of the own region is
    current. They are then asked only to renew the contact with a majority,
    without which the instance may not spend a newly held share of a rate.

    Args:
        voters: All voters.
        turn: The number of the round.
        renews_contact: Whether the contact with a majority of the voters
            needs to be renewed.
    """
    near = [voter for voter in voters if not voter.is_far]
    if len(near) < len(voters) and any(voter.is_current for voter in near):
        if renews_contact:
            return min(voters, key=_contact_order).name
        voters = near
    preferred = [
        voter for voter in voters if voter.is_same_domain and voter.is_current
    ]
    rotation = [*preferred * SAME_DOMAIN_WEIGHT, *voters]
    return rotation[turn % len(rotation)].name if rotation else None


def _contact_order(voter: VoterView) -> tuple[int, float]:
    """Sorts voters that answer first, the longest unasked one first."""
    return voter.missed_rounds, voter.asked_at
