"""Which instance has which duty."""

from lagoonstair.membership._listing import ListingWatch
from lagoonstair.membership._ranking import (
    HOLDERS,
    OWNERS,
    Ranked,
    Ranking,
    rank,
)
from lagoonstair.membership._suspects import Suspects

__all__ = [
    "HOLDERS",
    "OWNERS",
    "ListingWatch",
    "Ranked",
    "Ranking",
    "Suspects",
    "rank",
]
