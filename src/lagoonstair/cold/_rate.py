"""The rate at which an endpoint that has just started may be used."""

from typing import NamedTuple

from lagoonstair.features import ColdLimits
from lagoonstair.routing import Endpoint, GroupConfig

MIN_BURST = 1.0
"""Least burst, in requests: a bucket below one token admits nothing."""


class ColdRate(NamedTuple):
    """A rate and the burst on top of it.

    In any second, at most the sum of both is admitted.

    Attributes:
        rate: Requests per second.
        burst: Requests.
    """

    rate: float
    burst: float


def cold_rate(group: GroupConfig, limits: ColdLimits) -> ColdRate | None:
    """Returns the rate of a group's endpoints that have just started.

    Args:
        group: The group.
        limits: The limits of the deployment.

    Returns:
        The rate; ``None`` if the group has no limit.
    """
    if group.cold_rate <= 0:
        return None
    bound = group.cold_rate * limits.excess + limits.slack
    return ColdRate(group.cold_rate, max(MIN_BURST, bound - group.cold_rate))


def share_key(endpoint: Endpoint) -> str:
    """Returns the key of an endpoint's rate; each of its processes has one."""
    return f"endpoint:{endpoint.name}:{endpoint.started}"
