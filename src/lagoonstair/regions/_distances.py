"""Measured distances between regions, without I/O."""

from collections import deque
from typing import NamedTuple

from lagoonstair.regions._map import RegionMap

DEFAULT_ROUND_TRIP_SECONDS = 0.016
"""Assumed round trip (s) to a region until one is measured: twice the 8 ms one
way of the sites where the system runs."""

WINDOW_SECONDS = 30.0
"""Time (s) for which a round trip counts. The shortest one within it leaves out
waits in queues, and a changed path is noticed after that time."""


class _Sample(NamedTuple):
    """A round trip and when it ended, in seconds."""

    at: float
    round_trip: float


class RegionDistances:
    """The shortest recent round trip from one region to each other one.

    After a region has not answered for ``WINDOW_SECONDS``, the last known value
    remains.
    """

    def __init__(self, regions: RegionMap, failure_domain: str) -> None:
        """Creates distances of which none is measured yet.

        Args:
            regions: The regions of the failure domains.
            failure_domain: The domain from which the distances are measured.
        """
        self._regions = regions
        self._failure_domain = failure_domain
        self._samples: dict[str, deque[_Sample]] = {}

    def is_far(self, failure_domain: str) -> bool:
        """Returns whether a failure domain is in another region.

        Without several regions, none is.
        """
        return self._regions.has_several and not self._regions.is_same(
            failure_domain, self._failure_domain
        )

    def record(
        self, now: float, failure_domain: str, round_trip: float
    ) -> None:
        """Records the round trip (s) of a call to a failure domain.

        Calls within the own region are ignored.
        """
        if not self.is_far(failure_domain):
            return
        region = self._regions.region(failure_domain)
        samples = self._samples.setdefault(region, deque())
        # A longer and older round trip can't become the shortest again.
        while samples and samples[-1].round_trip >= round_trip:
            samples.pop()
        samples.append(_Sample(now, round_trip))
        _drop_old(samples, now)

    def round_trip(self, now: float, failure_domain: str) -> float:
        """Returns the round trip (s) to the region of a failure domain.

        It is 0 for the own region.
        """
        if not self.is_far(failure_domain):
            return 0.0
        samples = self._samples.get(self._regions.region(failure_domain))
        if not samples:
            return DEFAULT_ROUND_TRIP_SECONDS
        _drop_old(samples, now)
        return samples[0].round_trip


def _drop_old(samples: deque[_Sample], now: float) -> None:
    """Drops samples that are too old, except for the last one."""
    while len(samples) > 1 and samples[0].at < now - WINDOW_SECONDS:
        samples.popleft()
