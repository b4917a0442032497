"""Resolves templates and parameters into each workspace's policies."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from lagoonstair.config._faults import Fault, InvalidInputError
from lagoonstair.config._model import (
    STRICT,
    Age,
    Burst,
    Fraction,
    Latency,
    Param,
    Rate,
    Route,
    RouteKind,
    Template,
    Workspace,
)
from lagoonstair.config._parse import parse_value


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """The resolved limits and objectives of a workspace.

    Attributes:
        max_age: The staleness bound of a read, in seconds.
        rate: The limit of requests per second, over all instances.
        burst: The limit of requests at once, over all instances.
        served: The target fraction of requests that are served.
        latency: The latency objective of a request, in seconds.
        within_latency: The target fraction of requests answered within
            ``latency``.
    """

    __pydantic_config__ = STRICT

    max_age: Age
    rate: Rate
    burst: Burst
    served: Fraction
    latency: Latency
    within_latency: Fraction


class Policy(NamedTuple):
    """The resolved rules of one route of one workspace.

    Attributes:
        workspace: The workspace's name.
        route: The route's name.
        group: The name of the database group with the workspace's data.
        statements: SQL with named parameters.
        kind: Whether the route may change data.
        idempotent: Whether running the route twice has the effect of once.
        open: Whether the route needs no key.
        max_age: The staleness bound of a read, in seconds.
        rate: The workspace's limit of requests per second, over all
            instances.
        burst: The workspace's limit of requests at once, over all instances.
    """

    workspace: str
    route: str
    group: str
    statements: tuple[str, ...]
    kind: RouteKind
    idempotent: bool
    open: bool
    max_age: float
    rate: float
    burst: float


def resolve_limits(
    template: Template, workspace: Workspace
) -> tuple[Limits | None, list[Fault]]:
    """Resolves a template's numbers with a workspace's parameters.

    Returns:
        The limits, or ``None`` and the faults.
    """
    numbers = {
        "max_age": template.max_age,
        "rate": template.rate,
        "burst": template.burst,
        "served": template.objectives.served,
        "latency": template.objectives.latency,
        "within_latency": template.objectives.within_latency,
    }
    param_names = {
        field: number.param
        for field, number in numbers.items()
        if isinstance(number, Param)
    }
    path = f"workspaces.{workspace.name}.params"
    faults = list(_param_faults(path, template, workspace, param_names))
    if faults:
        return None, faults
    resolved = {
        field: workspace.params[number.param]
        if isinstance(number, Param)
        else number
        for field, number in numbers.items()
    }
    try:
        return parse_value(Limits, resolved, path), []
    except InvalidInputError as exc:
        return None, [
            fault._replace(path=f"{path}.{param_names.get(field, field)}")
            for fault in exc.faults
            for field in [fault.path.rpartition(".")[2]]
        ]


def _param_faults(
    path: str,
    template: Template,
    workspace: Workspace,
    param_names: Mapping[str, str],
) -> Iterator[Fault]:
    for param in sorted(set(param_names.values()) - set(workspace.params)):
        expected = f"a number, which template {template.name} asks for"
        yield Fault(f"{path}.{param}", expected, "nothing")
    for param in sorted(set(workspace.params) - set(param_names.values())):
        expected = f"no such parameter in template {template.name}"
        found = str(workspace.params[param])
        yield Fault(f"{path}.{param}", expected, found)


def policies_of(
    workspace: Workspace,
    template: Template,
    routes: Mapping[str, Route],
    limits: Limits,
) -> Iterator[Policy]:
    """Yields the policy of each route of a workspace."""
    for route in map(routes.__getitem__, template.routes):
        yield Policy(
            workspace=workspace.name,
            route=route.name,
            group=workspace.group,
            statements=route.statements,
            kind=route.kind,
            idempotent=route.idempotent,
            open=route.open,
            max_age=limits.max_age,
            rate=limits.rate,
            burst=limits.burst,
        )
