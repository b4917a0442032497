"""How long endpoints stay slow after their start."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from lagoonstair.routing import Endpoint, GroupConfig

MAX_COLD_SECONDS = 600.0
"""Longest cold time, in seconds, of a group whose configuration gives none."""

WARM_REPORT_SECONDS = 10.0
"""Time in seconds for which peers are told that an endpoint is warm before its
time; several rounds of gossip."""


class ColdReport(NamedTuple):
    """What an instance tells its peers of an endpoint that has just started.

    Attributes:
        endpoint: The endpoint's name.
        started: The start time of its process, as it reports it.
        sequence: The number of the entry that this is based on.
        left: How much longer the endpoint stays cold, in seconds.
    """

    endpoint: str
    started: int
    sequence: int
    left: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ColdStart:
    """The newest known entry of a process that is, or was, cold.

    Attributes:
        endpoint: The endpoint.
        sequence: The number of the entry.
        read_at: When it was read, in seconds.
        left: How much longer the endpoint stays cold as of then, in seconds.
    """

    endpoint: Endpoint
    sequence: int
    read_at: float
    left: float

    def ends_at(self, group: GroupConfig) -> float:
        """Returns when the endpoint is warm, in seconds."""
        longest = group.cold_seconds or MAX_COLD_SECONDS
        return self.read_at + min(self.left, longest)


class ColdStarts:
    """The endpoints that are, or were lately, slow after their start."""

    def __init__(self) -> None:
        self._starts: dict[str, ColdStart] = {}

    def observe(
        self, endpoint: Endpoint, *, sequence: int, left: float, read_at: float
    ) -> bool:
        """Notes an entry; one that is older than the known one is ignored.

        Args:
            endpoint: The endpoint.
            sequence: The number of the entry.
            left: How much longer it stays cold, in seconds; not a number or
                negative counts as 0.
            read_at: When the entry was read, in seconds.

        Returns:
            Whether anything has changed.
        """
        left = left if left > 0 else 0.0
        known = self._starts.get(endpoint.name)
        if known is not None and known.endpoint.started == endpoint.started:
            # Without a start time, the numbers of two processes are alike.
            if endpoint.started and sequence <= known.sequence:
                return False
            if not left and not known.left:
                return False
        elif not left:
            return self._starts.pop(endpoint.name, None) is not None
        self._starts[endpoint.name] = ColdStart(
            endpoint=endpoint, sequence=sequence, read_at=read_at, left=left
        )
        return True

    def drop(self, name: str) -> None:
        """Forgets an endpoint that is gone."""
        self._starts.pop(name, None)

    def prune(self, now: float) -> None:
        """Forgets the endpoints that have been warm for long."""
        for name, start in [*self._starts.items()]:
            warm_for = now - start.read_at - min(start.left, MAX_COLD_SECONDS)
            if warm_for > WARM_REPORT_SECONDS:
                del self._starts[name]

    def cold(self, now: float, group: GroupConfig) -> Iterator[ColdStart]:
        """Yields the endpoints of a group that are cold."""
        for start in self._starts.values():
            if start.endpoint.group == group.name and now < start.ends_at(
                group
            ):
                yield start

    def reports(self, now: float) -> tuple[ColdReport, ...]:
        """Returns what peers are told."""
        return tuple(
            ColdReport(
                name,
                start.endpoint.started,
                start.sequence,
                round(
                    max(0.0, min(start.left, MAX_COLD_SECONDS))
                    - max(0.0, now - start.read_at),
                    3,
                ),
            )
            for name, start in self._starts.items()
        )


def has_valid_time(endpoint: Endpoint, group: GroupConfig | None) -> bool:
    """Returns whether an entry's cold time is a possible one.

    Args:
        endpoint: The endpoint.
        group: Its group's configuration, if it is known.
    """
    left = endpoint.cold_left
    return 0 <= left <= ((group and group.cold_seconds) or MAX_COLD_SECONDS)
