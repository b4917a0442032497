"""Database groups: terms, health, promotion, confirmation and routing."""

from lagoonstair.groups._age import AgeProof
from lagoonstair.groups._choose import (
    Obstacle,
    ReadPlan,
    ReadTarget,
    choose,
)
from lagoonstair.groups._confirm import Confirmation, confirmation, majority
from lagoonstair.groups._health import Verdict
from lagoonstair.groups._history import contains, cut_back, is_lost
from lagoonstair.groups._messages import GroupView, GroupViewAsk
from lagoonstair.groups._state import GroupState, MemberState
from lagoonstair.groups._timing import Timing
from lagoonstair.groups._watch import AskPeer, Connect, GroupWatch

__all__ = [
    "AgeProof",
    "AskPeer",
    "Confirmation",
    "Connect",
    "GroupState",
    "GroupView",
    "GroupViewAsk",
    "GroupWatch",
    "MemberState",
    "Obstacle",
    "ReadPlan",
    "ReadTarget",
    "Timing",
    "Verdict",
    "choose",
    "confirmation",
    "contains",
    "cut_back",
    "is_lost",
    "majority",
]
