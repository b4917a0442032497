"""Assignment of groups and workspaces to the joined instances."""

from collections.abc import Callable

from lagoonstair._types import Address
from lagoonstair.config import Configuration
from lagoonstair.membership import RankedInstance, Ranking


class MemberDirectory:
    """Ranks the instances that have joined the configuration.

    The ranking is cached until the set of joined instances changes.

    Args:
        current: Returns the configuration in force.
    """

    def __init__(self, current: Callable[[], Configuration]) -> None:
        self._current = current
        self._ranked: frozenset[RankedInstance] = frozenset()
        self._ranking = Ranking(())

    def owners(self, group: str) -> tuple[str, ...]:
        """Returns the owner of a group, followed by its standbys in order."""
        return self._latest().owners(group)

    def holders(self, workspace: str) -> tuple[str, ...]:
        """Returns the holders of a workspace's limit shares, in order."""
        return self._latest().holders(workspace)

    def address(self, name: str) -> Address | None:
        """Returns the peer address of an instance, or None if not joined."""
        member = self._current().members.get(name)
        return None if member is None else member.peers

    def _latest(self) -> Ranking:
        """Returns the ranking of the instances that are joined now."""
        members = self._current().members
        ranked = frozenset(
            RankedInstance(member.name, member.failure_domain)
            for member in members.values()
        )
        if ranked != self._ranked:
            self._ranked = ranked
            self._ranking = Ranking(ranked)
        return self._ranking
