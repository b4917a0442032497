"""What an instance remembers of the former endpoints and settings of groups."""

from collections.abc import Mapping
from typing import NamedTuple

import trio

from lagoonstair.routing import Endpoint, GroupConfig

MEMORY_SECONDS = 20.0
"""Time (s) for which a departed endpoint, and a former number of synchronous
replicas, count. Entries lapse after some seconds of silence; a database that
crashed is back with its log within ten."""


class Departure(NamedTuple):
    """A process of an endpoint that is not registered any more.

    Attributes:
        endpoint: The endpoint as it was last registered.
        since: When its entry was first missed, in seconds.
    """

    endpoint: Endpoint
    since: float


class Departures:
    """The endpoints that have left the registered ones lately.

    Each may live on, cut off from the store, and hold commits.
    """

    def __init__(self) -> None:
        self._departures: dict[tuple[str, int], Departure] = {}

    def note(self, endpoint: Endpoint, since: float | None) -> None:
        """Remembers an endpoint.

        Args:
            endpoint: The endpoint as it was last registered.
            since: When its entry was first missed, in seconds; ``None`` if it
                has not been missed until now.
        """
        now = trio.current_time()
        self._departures = {
            key: departure
            for key, departure in self._departures.items()
            if now - departure.since < MEMORY_SECONDS
        }
        self._departures[endpoint.name, endpoint.started] = Departure(
            endpoint, now if since is None else since
        )

    def forget(self, endpoint: Endpoint) -> None:
        """Forgets an endpoint whose process is registered again."""
        self._departures.pop((endpoint.name, endpoint.started), None)

    def of_group(self, group: str) -> list[Departure]:
        """Returns the departures from a group."""
        oldest = trio.current_time() - MEMORY_SECONDS
        return [
            departure
            for departure in self._departures.values()
            if departure.endpoint.group == group and departure.since > oldest
        ]


class SynchronousReplicas:
    """The number of replicas that hold each acknowledged commit, by group.

    Commits that were acknowledged before a change of the configuration count
    too.
    """

    def __init__(self) -> None:
        self._current: dict[str, int] = {}
        self._former: dict[str, tuple[int, float]] = {}

    def apply(self, groups: Mapping[str, GroupConfig]) -> None:
        """Applies the groups of a new configuration."""
        current = {
            name: max(0, group.synchronous_replicas)
            for name, group in groups.items()
        }
        for name in self._current:
            former = self.count(name)
            if former and former != current.get(name, 0):
                self._former[name] = former, trio.current_time()
        self._current = current

    def count(self, group: str) -> int:
        """Returns the number for a group.

        Returns:
            The number; 0 if a commit may be on the primary alone.
        """
        counts = [self._current.get(group, 0)]
        former, changed_at = self._former.get(group, (0, 0.0))
        if former and trio.current_time() - changed_at < MEMORY_SECONDS:
            counts.append(former)
        return min(filter(None, counts), default=0)
