"""Applies the home regions of routes and workspaces to their requests."""

from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.regions import (
    RegionMap,
    allowed_regions,
    has_home_regions,
    unknown_regions,
)
from lagoonstair.routing import Route, RoutingConfig
from lagoonstair.statements import ErrorCode, Failure

ELSEWHERE_MESSAGE = "no endpoint in the home regions can run it"

RETRY_MS = 3000
"""Retry hint, in milliseconds: neither primaries nor endpoints are moved for
home regions, so a change of the group is rare."""

ELSEWHERE_FAILURE = Failure(
    ErrorCode.BUSY, f"{ELSEWHERE_MESSAGE}; retry_after_ms={RETRY_MS}"
)
"""Answer to a statement whose only endpoints are in other regions; it has not
run."""


class RegionFilter:
    """Tells in which failure domains requests may run."""

    def __init__(self, regions: RegionMap, metrics: Metrics) -> None:
        """Creates a filter that knows no configuration yet.

        Args:
            regions: The regions of the failure domains.
            metrics: The metrics, for the count of refusals.
        """
        self._regions = regions
        self._metrics = metrics
        self._config: RoutingConfig | None = None
        self._has_constraints = False
        self._domains: dict[tuple[Route, str], frozenset[str] | None] = {}
        self._logged: set[tuple[str, str]] = set()

    def apply(self, config: RoutingConfig) -> None:
        """Applies a configuration, and logs what is wrong with its regions."""
        self._config = config
        self._has_constraints = has_home_regions(config)
        self._domains.clear()
        unknown = unknown_regions(config, self._regions)
        if unknown:
            log_event(
                "home regions unknown",
                config_version=config.version,
                regions=sorted(unknown),
            )

    def domains(self, route: Route, workspace: str) -> frozenset[str] | None:
        """Returns the failure domains in which a request may run.

        Args:
            route: The request's route. If the configuration has another one
                of this name by now, that one counts.
            workspace: The name of its workspace.

        Returns:
            The domains; ``None`` without a constraint.
        """
        if not self._has_constraints:
            return None
        key = route, workspace
        if key not in self._domains:
            self._domains[key] = self._find_domains(route, workspace)
        return self._domains[key]

    def permits(self, route: Route, workspace: str, domain: str) -> bool:
        """Returns whether a request may run in a failure domain."""
        domains = self.domains(route, workspace)
        return domains is None or domain in domains

    def refuse(self) -> Failure:
        """Counts a refusal, and returns the answer to the statement."""
        self._metrics.count("home_region_refusals")
        return ELSEWHERE_FAILURE

    def _find_domains(
        self, route: Route, workspace: str
    ) -> frozenset[str] | None:
        config = self._config
        if config is None:
            return None
        regions = allowed_regions(
            _current_route(config, route), config.workspaces.get(workspace)
        )
        if regions is None:
            return None
        pair = route.name, workspace
        if not regions and pair not in self._logged:
            self._logged.add(pair)
            log_event(
                "home regions disjoint",
                route=route.name,
                workspace=workspace,
                config_version=config.version,
            )
        return self._regions.domains_in(regions)


def _current_route(config: RoutingConfig, route: Route) -> Route:
    """Returns the configuration's route of the same name, if there is one."""
    routes = config.routes.values()
    if route in routes:
        return route
    return next((known for known in routes if known.name == route.name), route)
