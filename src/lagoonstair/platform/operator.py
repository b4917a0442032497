"""Decoding of the operator's rows as stored in the metadata store."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from lagoonstair.platform import lines
from lagoonstair.platform.decoding import (
    Number,
    UnreadableError,
    decode_json,
)
from lagoonstair.platform.store import StoredRow
from lagoonstair.routing import (
    Consistency,
    GroupConfig,
    Route,
    RoutingConfig,
    Workspace,
)

TABLE = "op"
"""The store table that holds the operator's configuration."""

KEY = "config"
"""The key of the configuration in that table."""

EVACUATION_PREFIX = "evacuate/"
"""Prefix of the key of a row that evacuates a failure domain; the domain's name
follows."""

CONSISTENCY = {
    "primary": Consistency.PRIMARY,
    "bounded": Consistency.BOUNDED,
    "read_your_writes": Consistency.SESSION,
}
"""The consistency of reads by the name that a route's configuration uses."""


class _WireRoute(msgspec.Struct):
    name: str
    database: str
    service: str
    route_type: str
    timeout_ms: float = 1000
    target_latency_ms: float = 1000
    priority: int = 2
    max_staleness_ms: float = 0
    # The wire name of ``allows_anonymous``: the route needs no key.
    public: bool = False


class _WireService(msgspec.Struct):
    name: str
    max_conns: int = 30
    sync_replicas: int = 0


class _WireLimits(msgspec.Struct):
    tx_idle_ms: float = 3000


class _WireTenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    rate_per_s: float = 0
    burst: float = 0


class _WireConfig(msgspec.Struct):
    version: Number
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    tenants: list[_WireTenant] = []


class EvacuationRows(NamedTuple):
    """The rows of a table's answer that concern evacuations.

    Attributes:
        present: The domains that the rows evacuate.
        absent: The domains whose row was removed or is unreadable.
        unreadable: The key of each unreadable row and why it is.
    """

    present: frozenset[str]
    absent: frozenset[str]
    unreadable: dict[str, str]


class BadConfigError(Exception):
    """The stored configuration cannot be decoded."""


def decode_config(value: bytes) -> RoutingConfig:
    """Decodes the operator's configuration from JSON.

    Raises:
        BadConfigError: The JSON or a field is invalid; the message names the
            field.
    """
    try:
        wire = decode_json(value, _WireConfig)
        # The workspace's name is told to the endpoints as a field of a line.
        tenants = [row for row in wire.tenants if lines.is_field(row.name)]
        return RoutingConfig(
            version=wire.version,
            # Here ``database`` is the name that callers request, not an
            # endpoint.
            routes={row.database: _route(row) for row in wire.routes},
            groups={
                row.name: GroupConfig(
                    name=row.name,
                    max_connections=row.max_conns,
                    synchronous_replicas=row.sync_replicas,
                )
                for row in wire.services
            },
            workspaces={
                row.name: Workspace(
                    name=row.name,
                    rate=row.rate_per_s,
                    burst=row.burst,
                )
                for row in tenants
            },
            keys={key: row.name for row in tenants for key in row.api_keys},
            transaction_idle=wire.limits.tx_idle_ms / 1000,
        )
    except (UnreadableError, KeyError) as exc:
        raise BadConfigError(str(exc)) from exc


def decode_evacuations(rows: Iterable[StoredRow]) -> EvacuationRows:
    """Decodes the rows that evacuate failure domains; skips all others."""
    present = set()
    absent = set()
    unreadable = {}
    for row in rows:
        if not row.key.startswith(EVACUATION_PREFIX):
            continue
        domain = row.key.removeprefix(EVACUATION_PREFIX)
        cause = _evacuation_fault(domain, row.value)
        if cause:
            unreadable[row.key] = cause
        if cause or row.value is None:
            absent.add(domain)
        else:
            present.add(domain)
    return EvacuationRows(frozenset(present), frozenset(absent), unreadable)


def _evacuation_fault(domain: str, value: bytes | None) -> str:
    """Returns why a row evacuates nothing; empty if it does or is removed."""
    if value is None:
        return ""
    if not domain:
        return "the domain is empty"
    try:
        decode_json(value, dict[str, Any])
    except UnreadableError as exc:
        return str(exc)
    return ""


def _route(row: _WireRoute) -> Route:
    return Route(
        name=row.name,
        group=row.service,
        consistency=CONSISTENCY[row.route_type],
        timeout=row.timeout_ms / 1000,
        target_latency=row.target_latency_ms / 1000,
        priority=row.priority,
        max_staleness=row.max_staleness_ms / 1000,
        allows_anonymous=row.public,
    )
