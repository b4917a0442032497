"""Ranks duties over the joined instances and finds their addresses."""

from collections.abc import Callable

from lagoonstair._types import Address
from lagoonstair.config import Configuration
from lagoonstair.membership import RankedInstance, Ranking


class MemberDirectory:
    """The duties of the instances that have joined the configuration."""

    def __init__(self, current: Callable[[], Configuration]) -> None:
        """Takes a callable that returns the configuration in force."""
        self._current = current
        self._ranked: frozenset[RankedInstance] = frozenset()
        self._ranking = Ranking(())

    def owners(self, group: str) -> tuple[str, ...]:
        """The owner of a group and its standbys, in order."""
        return self._latest().owners(group)

    def holders(self, workspace: str) -> tuple[str, ...]:
        """The holders of a workspace's shares, in order."""
        return self._latest().holders(workspace)

    def address(self, name: str) -> Address | None:
        """Where a joined instance listens for its peers."""
        member = self._current().members.get(name)
        return None if member is None else member.peers

    def _latest(self) -> Ranking:
        members = self._current().members
        ranked = frozenset(
            RankedInstance(member.name, member.failure_domain)
            for member in members.values()
        )
        if ranked != self._ranked:
            self._ranked = ranked
            self._ranking = Ranking(ranked)
        return self._ranking
