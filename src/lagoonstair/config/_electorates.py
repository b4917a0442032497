"""Which instances must have a version in force before it is accepted.

A stale instance trusts a majority of the members that it knows, which may be
those of any version since the last accepted one. An accept therefore needs a
majority of each of those sets. A member that has stopped answers nobody, so
for this it counts as one that has the version in force.
"""

from collections.abc import Iterable, Set
from itertools import pairwise
from typing import NamedTuple

from lagoonstair.config._model import MemberId


class Electorate(NamedTuple):
    """The joined members from one version on, until the next electorate.

    Attributes:
        since: The first version with these members.
        members: The members.
    """

    since: int
    members: frozenset[MemberId]


EMPTY_ELECTORATES = (Electorate(0, frozenset()),)
"""The electorates of the empty configuration."""


def is_majority(some: Set[MemberId], members: Set[MemberId]) -> bool:
    """Tells whether ``some`` contains more than half of ``members``."""
    return 2 * len(some & members) > len(members)


def prune_electorates(
    electorates: tuple[Electorate, ...], accepted: int
) -> tuple[Electorate, ...]:
    """Drops the electorates that ended before the accepted version."""
    kept = [
        older
        for older, newer in pairwise(electorates)
        if newer.since > accepted
    ]
    return (*kept, electorates[-1])


def has_all_majorities(
    electorates: Iterable[Electorate],
    version: int,
    done: Set[MemberId],
) -> bool:
    """Tells whether a version is in force at all the majorities needed.

    Args:
        electorates: Those since the last accepted version.
        version: The version to be accepted.
        done: The members that have it in force, or have stopped.
    """
    return all(
        is_majority(done, electorate.members) or not electorate.members
        for electorate in electorates
        if electorate.since <= version
    )
