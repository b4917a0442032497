"""Which endpoint runs a read; pure."""

from collections.abc import Iterable
from typing import NamedTuple

from lagoonstair._types import Position
from lagoonstair.routing._model import Endpoint

OPEN_SECONDS = 0.012
"""What a new connection costs its endpoint (the users' site files)."""

DOMAIN_SECONDS = 0.002
"""A round trip to another failure domain, and the bytes it moves."""

PRIMARY_SHARE = 1.3
"""How much dearer a primary's slot is: only it can run writes."""

LAG_RETRY_SECONDS = 0.25
"""When a replica that lagged is asked again, at the latest."""

LAGGING_SECONDS = 0.5
"""What asking a replica costs whose log most likely lacks the position."""


class EndpointLoad(NamedTuple):
    """What an instance knows of an endpoint.

    Attributes:
        endpoint: The endpoint.
        in_flight: Statements of this instance that run there or wait for it.
        latency: Seconds that a statement took there of late.
        has_idle_connection: Whether an idle connection of the workspace is
            there.
        position: The end of its log when it last answered.
        answered_at: When that was, in seconds.
        suspect: Whether its last connection or statement failed.
    """

    endpoint: Endpoint
    in_flight: int
    latency: float
    has_idle_connection: bool
    position: Position | None
    answered_at: float
    suspect: bool


class Candidate(NamedTuple):
    """An endpoint that may run a read.

    Attributes:
        endpoint: The endpoint.
        min_position: What its log must hold; ``None`` on the primary.
        cost: Seconds that the read is expected to take.
    """

    endpoint: Endpoint
    min_position: Position | None
    cost: float


def order_for_read(
    loads: Iterable[EndpointLoad],
    *,
    now: float,
    primary: str | None,
    min_position: Position | None,
    failure_domain: str,
) -> list[Candidate]:
    """Orders the endpoints that may run a read, the cheapest first.

    Args:
        loads: The group's endpoints.
        now: The time, in seconds.
        primary: The endpoint that is proved to be the primary, if any.
        min_position: The position that a replica's log must hold; without it
            only the primary may serve.
        failure_domain: Where this instance runs.
    """
    candidates = []
    for load in loads:
        is_primary = load.endpoint.name == primary
        if not is_primary and (min_position is None or load.endpoint.leaving):
            continue
        cost = _cost(load, failure_domain)
        if is_primary:
            cost *= PRIMARY_SHARE
        elif _likely_lags(load, now, min_position):
            cost += LAGGING_SECONDS
        position = None if is_primary else min_position
        candidates.append(Candidate(load.endpoint, position, cost))
    return sorted(candidates, key=lambda candidate: candidate.cost)


def _cost(load: EndpointLoad, failure_domain: str) -> float:
    cost = load.latency * (1 + load.in_flight / load.endpoint.slots)
    if not load.has_idle_connection:
        cost += OPEN_SECONDS
    if load.endpoint.failure_domain != failure_domain:
        cost += DOMAIN_SECONDS
    if load.suspect:
        cost += LAGGING_SECONDS
    return cost


def _likely_lags(
    load: EndpointLoad, now: float, min_position: Position | None
) -> bool:
    if (
        load.position is None
        or min_position is None
        or load.position >= min_position
    ):
        return False
    return now - load.answered_at < LAG_RETRY_SECONDS
