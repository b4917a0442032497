"""Selects the endpoints that may run a read, without I/O."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from lagoonstair._types import Position
from lagoonstair.routing._model import Endpoint

CONNECT_COST_SECONDS = 0.012
"""Cost of opening a connection, in seconds, as given in the description of the
sites where the system runs."""

CROSS_DOMAIN_COST_SECONDS = 0.002
"""Cost, in seconds, of a round trip to another failure domain and its data. It
is the same for another region: with the round trip of 16 ms in its place, the
one replica in a region got nearly all reads of that region, and refused many as
busy."""

PRIMARY_COST_FACTOR = 1.3
"""Cost of a primary's slot relative to a replica's. Only the primary can run
writes."""

LAG_RECHECK_SECONDS = 0.25
"""Maximum time, in seconds, until a replica that lagged is tried again."""

LAG_PENALTY_SECONDS = 0.5
"""Cost, in seconds, of a replica whose log most likely lacks the position.

Also the cost of a suspect endpoint; see ``EndpointLoad.suspect``."""


class EndpointLoad(NamedTuple):
    """What an instance knows about the load of an endpoint.

    Attributes:
        endpoint: The endpoint.
        in_flight: Statements of this instance that run or wait there.
        latency: Recent latency of a statement there, in seconds.
        has_idle_connection: Whether the workspace has an idle connection to
            it.
        position: The end of its log as of its last answer.
        answered_at: The time of that answer, in seconds.
        suspect: Whether it is unreachable, or a connection or statement failed
            within the last second, even if it has answered since.
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
        min_position: The position that its log must contain; ``None`` for the
            primary.
        cost: Expected duration of the read, in seconds, weighted by
            preference.
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
    excluded: Collection[str] = (),
) -> list[Candidate]:
    """Sorts the endpoints that may run a read by ascending cost.

    Args:
        loads: The group's endpoints.
        now: The time, in seconds.
        primary: The endpoint that is proved to be the primary, if any.
        min_position: The position that a replica's log must contain. Without
            it, only the primary may serve the read.
        failure_domain: The failure domain of this instance.
        excluded: Names of endpoints that may not serve the read.
    """
    candidates = []
    for load in loads:
        if load.endpoint.name in excluded:
            continue
        is_primary = load.endpoint.name == primary
        if not is_primary and (min_position is None or load.endpoint.leaving):
            continue
        cost = _cost(load, failure_domain)
        if is_primary:
            cost *= PRIMARY_COST_FACTOR
        elif _likely_lags(load, now, min_position):
            cost += LAG_PENALTY_SECONDS
        position = None if is_primary else min_position
        candidates.append(Candidate(load.endpoint, position, cost))
    return sorted(candidates, key=lambda candidate: candidate.cost)


def _cost(load: EndpointLoad, failure_domain: str) -> float:
    cost = load.latency * (1 + load.in_flight / load.endpoint.slots)
    if not load.has_idle_connection:
        cost += CONNECT_COST_SECONDS
    if load.endpoint.failure_domain != failure_domain:
        cost += CROSS_DOMAIN_COST_SECONDS
    if load.suspect:
        cost += LAG_PENALTY_SECONDS
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
    return now - load.answered_at < LAG_RECHECK_SECONDS
