"""Replicated database groups: monitoring, failover and read routing.

A group is one primary and its replicas. Each promotion starts a new term, a
number that only grows, so that a replaced primary can be recognized.
"""

from lagoonstair.groups._age import FreshnessProof
from lagoonstair.groups._choose import (
    NoTargetReason,
    ReadPlan,
    ReadTarget,
    rank_read_targets,
)
from lagoonstair.groups._confirm import (
    Confirmation,
    assess_confirmation,
    quorum_size,
)
from lagoonstair.groups._health import Liveness
from lagoonstair.groups._history import (
    is_discarded,
    log_contains,
    truncate_to_log,
)
from lagoonstair.groups._messages import GroupView, GroupViewAsk
from lagoonstair.groups._state import GroupState, MemberState
from lagoonstair.groups._timing import Timing
from lagoonstair.groups._watch import GroupWatch, MakeEndpoint, RequestView

__all__ = [
    "Confirmation",
    "FreshnessProof",
    "GroupState",
    "GroupView",
    "GroupViewAsk",
    "GroupWatch",
    "Liveness",
    "MakeEndpoint",
    "MemberState",
    "NoTargetReason",
    "ReadPlan",
    "ReadTarget",
    "RequestView",
    "Timing",
    "assess_confirmation",
    "is_discarded",
    "log_contains",
    "quorum_size",
    "rank_read_targets",
    "truncate_to_log",
]
