"""Rendezvous hashing of duties over the instances."""

import heapq
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

OWNERS_PER_GROUP = 3
"""How many instances watch a group: the owner and its standbys."""

SHARE_HOLDERS_PER_WORKSPACE = 7
"""How many instances hold a share of a workspace's rate."""


Domains = tuple[tuple[bytes, ...], ...]
"""The encoded names of the instances of each failure domain."""


class RankedInstance(NamedTuple):
    """An instance that can be given duties.

    Attributes:
        name: The instance's name.
        failure_domain: The failure domain it runs in.
    """

    name: str
    failure_domain: str


def rank_instances(
    duty: str, instances: Iterable[RankedInstance], count: int | None = None
) -> tuple[str, ...]:
    """Orders instances for a duty, the first being responsible.

    The order alternates failure domains: every domain's best instance comes
    before any domain's second. One instance's coming or leaving moves only
    the duties that it gains or had.

    Args:
        duty: The name of the duty.
        instances: The instances to order.
        count: How many to return; all without it.

    Returns:
        The names of the instances, in order.
    """
    return _rank(duty, _by_domain(instances), count)


def _by_domain(instances: Iterable[RankedInstance]) -> Domains:
    domains: dict[str, list[bytes]] = {}
    for instance in instances:
        names = domains.setdefault(instance.failure_domain, [])
        names.append(instance.name.encode())
    return tuple(tuple(names) for names in domains.values())


def _rank(duty: str, domains: Domains, count: int | None) -> tuple[str, ...]:
    seed = xxhash.xxh64_intdigest(duty.encode())
    score = xxhash.xxh64_intdigest
    rows = []
    for names in domains:
        scored = [(score(name, seed), name) for name in names]
        best = heapq.nsmallest(count or len(scored), scored)
        rows += [(row, *scored_name) for row, scored_name in enumerate(best)]
    rows.sort()
    return tuple(name.decode() for _, _, name in rows[:count])


class Ranking:
    """Ranks duties over one set of instances and remembers the results."""

    def __init__(self, instances: Iterable[RankedInstance]) -> None:
        self._domains = _by_domain(instances)
        self._owners: dict[str, tuple[str, ...]] = {}
        self._holders: dict[str, tuple[str, ...]] = {}

    def owners(self, group: str) -> tuple[str, ...]:
        """The owner of a group and its standbys, in order."""
        found = self._owners.get(group)
        if found is None:
            found = _rank(f"group:{group}", self._domains, OWNERS_PER_GROUP)
            self._owners[group] = found
        return found

    def holders(self, workspace: str) -> tuple[str, ...]:
        """The holders of a workspace's shares, in order."""
        found = self._holders.get(workspace)
        if found is None:
            found = _rank(
                f"workspace:{workspace}",
                self._domains,
                SHARE_HOLDERS_PER_WORKSPACE,
            )
            self._holders[workspace] = found
        return found
