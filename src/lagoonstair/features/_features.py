"""Decides which optional features are on, without I/O."""

from collections.abc import Mapping
from typing import NamedTuple

from lagoonstair.regions import RegionMap


class ColdLimits(NamedTuple):
    """How far an endpoint that has just started may exceed its start-up rate.

    Attributes:
        excess: Factor on the start-up rate that its group's configuration
            gives.
        slack: Number of requests in any second that are tolerated beyond that.
    """

    excess: float
    slack: float


class Features(NamedTuple):
    """The optional features of a deployment.

    A feature that the settings do not call for changes nothing.

    Attributes:
        evacuation_bound: Time in seconds from the acknowledgement of a failure
            domain's evacuation until no request may reach its endpoints;
            ``None`` if domains can't be evacuated.
        cold_limits: The limits of endpoints that have just started; ``None``
            without such limits.
        regions: The regions of the failure domains.
        overload_control: Whether callers compete for too little capacity, so
            that the urgency of work and the retries of callers decide what is
            served.
    """

    evacuation_bound: float | None = None
    cold_limits: ColdLimits | None = None
    regions: RegionMap = RegionMap({})
    overload_control: bool = False

    @classmethod
    def from_settings(
        cls,
        *,
        evacuate_ms: float | None,
        cold_excess: float | None,
        cold_slack: float | None,
        regions: Mapping[str, str],
        overload_control: bool,
    ) -> "Features":
        """Derives the features from an instance's settings.

        Args:
            evacuate_ms: The bound of an evacuation, in milliseconds.
            cold_excess: Factor on the start-up rate of an endpoint.
            cold_slack: Requests in any second that are tolerated beyond that.
            regions: The region of each failure domain.
            overload_control: Whether the deployment asks for it.
        """
        cold_limits = None
        if cold_excess is not None and cold_slack is not None:
            cold_limits = ColdLimits(cold_excess, cold_slack)
        return cls(
            evacuation_bound=(
                None if evacuate_ms is None else evacuate_ms / 1000
            ),
            cold_limits=cold_limits,
            regions=RegionMap(regions),
            overload_control=overload_control,
        )

    @property
    def is_regional(self) -> bool:
        """Whether the instances are spread over several regions."""
        return self.regions.has_several

    @property
    def sheds_unreachable(self) -> bool:
        """Whether an instance turns away callers that it can't serve.

        Where room is short or far away, a caller's few attempts should not be
        spent on instances that are cut off from what would serve them.
        """
        return self.overload_control or self.is_regional

    def describe(self) -> dict[str, object]:
        """Returns the features as fields of a log event."""
        return {
            "evacuation_bound": self.evacuation_bound,
            "cold_limits": self.cold_limits is not None,
            "regions": len(self.regions.names),
            "overload_control": self.overload_control,
            "sheds_unreachable": self.sheds_unreachable,
        }
