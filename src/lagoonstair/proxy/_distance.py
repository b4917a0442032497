"""Measures the distances to the other regions; publishes them and the homes."""

import re

import trio

from lagoonstair.homes import HomeAssignment
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._registry import Registry
from lagoonstair.regions import RegionDistances, RegionMap

NOT_IN_METRIC_NAMES = re.compile(r"[^A-Za-z0-9_]")
"""Characters of a region's name that a metric's name can't have."""


class DistanceMeter:
    """The measured distances from this instance to the other regions.

    In a single region nothing is measured, and every distance is 0.
    """

    def __init__(
        self, regions: RegionMap, failure_domain: str, metrics: Metrics
    ) -> None:
        """Creates a meter without measured distances.

        Args:
            regions: The regions of the failure domains.
            failure_domain: The domain that this instance runs in.
            metrics: Receives one gauge for each measured region.
        """
        self._regions = regions
        self._distances = RegionDistances(regions, failure_domain)
        self._metrics = metrics

    def is_far(self, failure_domain: str) -> bool:
        """Returns whether a failure domain is in another region."""
        return self._distances.is_far(failure_domain)

    def round_trip(self, failure_domain: str) -> float:
        """Returns the round trip (s) to a domain's region; 0 for the own."""
        return self._distances.round_trip(trio.current_time(), failure_domain)

    def record(self, failure_domain: str, seconds: float) -> None:
        """Records how long a call to an instance in a domain took."""
        if not self._distances.is_far(failure_domain):
            return
        now = trio.current_time()
        self._distances.record(now, failure_domain, seconds)
        region = NOT_IN_METRIC_NAMES.sub(
            "_", self._regions.region(failure_domain)
        )
        self._metrics.set(
            f"region_round_trip_seconds_{region}",
            round(self._distances.round_trip(now, failure_domain), 4),
        )


class HolderDistances:
    """The distances to the instances that hold shares of rates."""

    def __init__(
        self, meter: DistanceMeter, registry: Registry, metrics: Metrics
    ) -> None:
        self._meter = meter
        self._registry = registry
        self._metrics = metrics

    def round_trip(self, name: str) -> float:
        """Returns the round trip (s) to an instance's region; 0 for the own.

        An instance that is not registered counts as near, since it is not
        asked.
        """
        member = self._registry.members.get(name)
        if member is None:
            return 0.0
        return self._meter.round_trip(member.failure_domain)

    def note_ask(self, name: str, seconds: float | None) -> None:
        """Records a request for tokens.

        Args:
            name: The instance that was asked.
            seconds: The time until its answer; ``None`` without an answer.
        """
        if seconds is None:
            self._metrics.count("asks_lost")
            return
        member = self._registry.members.get(name)
        if member is not None:
            self._meter.record(member.failure_domain, seconds)


def log_homes(
    previous: HomeAssignment, homes: HomeAssignment, regions: RegionMap
) -> None:
    """Logs new homes by region, if there are several regions."""
    if regions.has_several and homes.names != previous.names:
        log_event(
            "homes chosen",
            homes=homes.count_by_region(),
            direct=homes.is_direct,
        )
