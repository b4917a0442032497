"""Which instance has which duty."""

from lagoonstair.membership._ranking import (
    HOLDERS,
    OWNERS,
    Ranked,
    Ranking,
    rank,
)
from lagoonstair.membership._suspects import Suspects

__all__ = ["HOLDERS", "OWNERS", "Ranked", "Ranking", "Suspects", "rank"]
