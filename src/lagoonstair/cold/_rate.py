"""The rate at which an endpoint that has just started may be used."""

from typing import NamedTuple

from lagoonstair.features import ColdLimits
from lagoonstair.routing import Endpoint, GroupConfig

MIN_BURST = 1.0
"""Least burst, in requests: a bucket below one token admits nothing."""

MIN_RATE = 1e-6
"""Least rate, in requests a second: one micro-token, the unit of the limits. At
a rate of 0, no time until a token could be told."""

MAX_AMOUNT = 1e9
"""Greatest rate and burst, in requests; more is no limit. Far larger amounts
have no finite number of micro-tokens, and the rates of all workspaces are
applied together with these."""


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
    rate = min(max(MIN_RATE, group.cold_rate), MAX_AMOUNT)
    rest = rate * limits.excess + limits.slack - rate
    return ColdRate(rate, min(max(MIN_BURST, rest), MAX_AMOUNT))


def share_key(endpoint: Endpoint) -> str:
    """Returns the key of an endpoint's rate; each of its processes has one."""
    return f"endpoint:{endpoint.name}:{endpoint.started}"
