"""Majorities that must have a version in force before it is accepted.

A stale instance trusts a majority of the members known to it, which may be the
members of any version since the last accepted one. Accepting a version
therefore requires a majority of each of those member sets. A member that has
stopped can no longer confirm an older version to a stale instance, so it
counts as having the version in force.
"""

from collections.abc import Iterable, Set
from itertools import pairwise
from typing import NamedTuple

from lagoonstair.config._model import MemberId


class Electorate(NamedTuple):
    """The voting members from one version until the next electorate starts.

    Attributes:
        since: The first version with these members.
        members: The joined members, each identified by name and incarnation.
    """

    since: int
    members: frozenset[MemberId]


EMPTY_ELECTORATES = (Electorate(0, frozenset()),)
"""The electorates of the empty configuration, which has no members."""


def is_majority(some: Set[MemberId], members: Set[MemberId]) -> bool:
    """Returns whether ``some`` contains more than half of ``members``."""
    return 2 * len(some & members) > len(members)


def prune_electorates(
    electorates: tuple[Electorate, ...], accepted: int
) -> tuple[Electorate, ...]:
    """Drops the electorates that an accepted version has made irrelevant.

    An electorate is dropped if the next one starts at or before the accepted
    version. The latest electorate is always kept.
    """
    kept = [
        older
        for older, newer in pairwise(electorates)
        if newer.since > accepted
    ]
    return (*kept, electorates[-1])


def has_all_majorities(
    electorates: Iterable[Electorate],
    version: int,
    confirmed: Set[MemberId],
) -> bool:
    """Returns whether a majority of each electorate confirms a version.

    Args:
        electorates: The electorates since the last accepted version.
        version: The version to be accepted.
        confirmed: The members that have the version in force or have stopped.
    """
    return all(
        is_majority(confirmed, electorate.members) or not electorate.members
        for electorate in electorates
        if electorate.since <= version
    )
