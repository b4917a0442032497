"""Rendezvous hashing of duties over the instances."""

import itertools
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

OWNERS = 3
"""How many instances watch a group: the owner and its standbys."""

HOLDERS = 7
"""How many instances hold a share of a workspace's rate."""


class Ranked(NamedTuple):
    """An instance that can be given duties.

    Attributes:
        name: The instance's name.
        failure_domain: The failure domain it runs in.
    """

    name: str
    failure_domain: str


def rank(duty: str, instances: Iterable[Ranked]) -> tuple[str, ...]:
    """Orders instances for a duty, the first being responsible.

    The order alternates failure domains: every domain's best instance comes
    before any domain's second. One instance's coming or leaving moves only
    the duties that it gains or had.

    Args:
        duty: The name of the duty.
        instances: The instances to order.

    Returns:
        The names of all instances, in order.
    """
    scored = sorted(
        (_score(duty, instance.name), instance) for instance in instances
    )
    seen: dict[str, int] = {}
    rows = []
    for score, instance in scored:
        row = seen.get(instance.failure_domain, 0)
        seen[instance.failure_domain] = row + 1
        rows.append((row, score, instance.name))
    return tuple(name for _, _, name in sorted(rows))


class Ranking:
    """Ranks duties over one set of instances and remembers the results."""

    def __init__(self, instances: Iterable[Ranked]) -> None:
        self._instances = tuple(sorted(instances))
        self._owners: dict[str, tuple[str, ...]] = {}
        self._holders: dict[str, tuple[str, ...]] = {}

    def owners(self, group: str) -> tuple[str, ...]:
        """The owner of a group and its standbys, in order."""
        found = self._owners.get(group)
        if found is None:
            found = self._first(f"group:{group}", OWNERS)
            self._owners[group] = found
        return found

    def holders(self, workspace: str) -> tuple[str, ...]:
        """The holders of a workspace's shares, in order."""
        found = self._holders.get(workspace)
        if found is None:
            found = self._first(f"workspace:{workspace}", HOLDERS)
            self._holders[workspace] = found
        return found

    def _first(self, duty: str, count: int) -> tuple[str, ...]:
        return tuple(itertools.islice(rank(duty, self._instances), count))


def _score(duty: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{duty}\0{name}".encode())
