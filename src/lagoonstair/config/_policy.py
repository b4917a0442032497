"""Resolves templates and parameters into what holds for a workspace."""

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
    """The numbers that hold for a workspace.

    Attributes:
        max_age: The greatest age of a read, in seconds.
        rate: Requests per second, over all instances.
        burst: Requests at once, over all instances.
        served: The fraction of requests to be served.
        latency: Seconds within which a request is to be answered.
        within_latency: The fraction of requests answered within ``latency``.
    """

    __pydantic_config__ = STRICT

    max_age: Age
    rate: Rate
    burst: Burst
    served: Fraction
    latency: Latency
    within_latency: Fraction


class Policy(NamedTuple):
    """What holds for one route of one workspace.

    Attributes:
        workspace: The workspace's name.
        route: The route's name.
        group: The database group that holds the workspace's data.
        statements: SQL with named parameters.
        kind: Whether the route may change data.
        idempotent: Whether running it twice does no harm.
        open: Whether it needs no key.
        max_age: The greatest age of a read, in seconds.
        rate: The workspace's requests per second, over all instances.
        burst: The workspace's requests at once, over all instances.
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
    """Fills a template's parameters in; returns the faults beside it."""
    numbers = {
        "max_age": template.max_age,
        "rate": template.rate,
        "burst": template.burst,
        "served": template.objectives.served,
        "latency": template.objectives.latency,
        "within_latency": template.objectives.within_latency,
    }
    named = {
        field: number.param
        for field, number in numbers.items()
        if isinstance(number, Param)
    }
    path = f"workspaces.{workspace.name}.params"
    faults = list(_param_faults(path, template, workspace, named))
    if faults:
        return None, faults
    filled = {
        field: workspace.params[number.param]
        if isinstance(number, Param)
        else number
        for field, number in numbers.items()
    }
    try:
        return parse_value(Limits, filled, path), []
    except InvalidInputError as exc:
        return None, [
            fault._replace(path=f"{path}.{named.get(field, field)}")
            for fault in exc.faults
            for field in [fault.path.rpartition(".")[2]]
        ]


def _param_faults(
    path: str,
    template: Template,
    workspace: Workspace,
    named: Mapping[str, str],
) -> Iterator[Fault]:
    for param in sorted(set(named.values()) - set(workspace.params)):
        expected = f"a number, which template {template.name} asks for"
        yield Fault(f"{path}.{param}", expected, "nothing")
    for param in sorted(set(workspace.params) - set(named.values())):
        expected = f"no such parameter in template {template.name}"
        found = str(workspace.params[param])
        yield Fault(f"{path}.{param}", expected, found)


def policies_of(
    workspace: Workspace,
    template: Template,
    routes: Mapping[str, Route],
    limits: Limits,
) -> Iterator[Policy]:
    """Returns the policy of each route of a workspace."""
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
