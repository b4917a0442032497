"""Assignment of duties to instances."""

from lagoonstair.membership._listing import ListingWatch
from lagoonstair.membership._ranking import (
    OWNERS_PER_GROUP,
    SHARE_HOLDERS_PER_WORKSPACE,
    RankedInstance,
    Ranking,
    rank_instances,
)
from lagoonstair.membership._suspects import Suspects

__all__ = [
    "OWNERS_PER_GROUP",
    "SHARE_HOLDERS_PER_WORKSPACE",
    "ListingWatch",
    "RankedInstance",
    "Ranking",
    "Suspects",
    "rank_instances",
]
