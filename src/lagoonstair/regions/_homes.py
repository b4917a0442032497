"""Decides in which regions the requests of a route and workspace may run."""

from collections.abc import Iterator

from lagoonstair.regions._map import RegionMap
from lagoonstair.routing import Route, RoutingConfig, Workspace


def allowed_regions(
    route: Route | None, workspace: Workspace | None
) -> frozenset[str] | None:
    """Returns the regions in which a request may run.

    Args:
        route: The request's route; ``None`` if the configuration lacks it.
        workspace: Its workspace; ``None`` if the configuration lacks it.

    Returns:
        The home regions. If both the route and the workspace have some, these
        are the regions that both name, possibly none. ``None`` without a
        constraint.
    """
    constraints = [
        owner.home_regions
        for owner in (route, workspace)
        if owner is not None and owner.home_regions
    ]
    return frozenset.intersection(*constraints) if constraints else None


def unknown_regions(
    config: RoutingConfig, regions: RegionMap
) -> frozenset[str]:
    """Returns the home regions that no failure domain is in."""
    return frozenset().union(*_named_regions(config)) - regions.names


def has_home_regions(config: RoutingConfig) -> bool:
    """Returns whether any route or workspace has home regions."""
    return any(_named_regions(config))


def _named_regions(config: RoutingConfig) -> Iterator[frozenset[str]]:
    owners: tuple[Route | Workspace, ...] = (
        *config.routes.values(),
        *config.workspaces.values(),
    )
    return (owner.home_regions for owner in owners)
