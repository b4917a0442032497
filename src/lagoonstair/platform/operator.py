"""Decoding of the operator's rows as stored in the metadata store."""

import contextlib
import math
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


MAX_AMOUNT = 1e9
"""Greatest rate and burst that is used; more is no limit. Far larger amounts
have no finite number of millionths, in which all rates are computed."""

UNREADABLE_REGION = ""
"""Stands for home regions that can't be read; no failure domain is in it."""


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
    # Raw fields are decoded apart, so that an invalid one costs nothing else.
    home_regions: msgspec.Raw = msgspec.Raw(b"null")


class _WireService(msgspec.Struct):
    name: str
    max_conns: int = 30
    sync_replicas: int = 0
    cold_start_s: msgspec.Raw = msgspec.Raw(b"0")
    cold_per_s: msgspec.Raw = msgspec.Raw(b"0")


class _WireLimits(msgspec.Struct):
    tx_idle_ms: float = 3000


class _WireTenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    rate_per_s: float = 0
    burst: float = 0
    home_regions: msgspec.Raw = msgspec.Raw(b"null")


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
        faults: list[str] = []
        return RoutingConfig(
            version=wire.version,
            # Here ``database`` is the name that callers request, not an
            # endpoint.
            routes={row.database: _route(row, faults) for row in wire.routes},
            groups={
                row.name: GroupConfig(
                    name=row.name,
                    max_connections=row.max_conns,
                    synchronous_replicas=row.sync_replicas,
                    cold_seconds=_amount(
                        row.cold_start_s, f"{row.name}.cold_start_s", faults
                    ),
                    cold_rate=_amount(
                        row.cold_per_s, f"{row.name}.cold_per_s", faults
                    ),
                )
                for row in wire.services
            },
            workspaces={
                row.name: Workspace(
                    name=row.name,
                    rate=min(row.rate_per_s, MAX_AMOUNT),
                    burst=min(row.burst, MAX_AMOUNT),
                    home_regions=_regions(row.home_regions, row.name, faults),
                )
                for row in tenants
            },
            keys={key: row.name for row in tenants for key in row.api_keys},
            transaction_idle=wire.limits.tx_idle_ms / 1000,
            # The rows above have been decoded by now.
            faults=tuple(faults),
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


def _route(row: _WireRoute, faults: list[str]) -> Route:
    return Route(
        name=row.name,
        group=row.service,
        consistency=CONSISTENCY[row.route_type],
        timeout=row.timeout_ms / 1000,
        target_latency=row.target_latency_ms / 1000,
        priority=row.priority,
        max_staleness=row.max_staleness_ms / 1000,
        allows_anonymous=row.public,
        home_regions=_regions(row.home_regions, row.name, faults),
    )


def _amount(value: msgspec.Raw, name: str, faults: list[str]) -> float:
    """Returns a finite number that is not negative; 0 if it is invalid."""
    try:
        amount = float(bytes(value))
    except ValueError:
        amount = math.nan
    if math.isfinite(amount) and amount >= 0:
        return amount
    faults.append(f"{name} is no amount")
    return 0.0


def _regions(
    value: msgspec.Raw, owner: str, faults: list[str]
) -> frozenset[str]:
    """Returns the names of home regions; empty without a constraint.

    A name that can't be read allows nothing. If it were dropped, a constraint
    that the operator has meant would not apply.
    """
    names: object = UNREADABLE_REGION
    with contextlib.suppress(UnreadableError):
        names = decode_json(bytes(value), object)
    if names is None:
        return frozenset()
    if isinstance(names, list):
        regions = frozenset(name for name in names if isinstance(name, str))
        if all(isinstance(name, str) for name in names):
            return regions
    else:
        regions = frozenset()
    faults.append(f"{owner}.home_regions is no list of names")
    return regions or frozenset({UNREADABLE_REGION})
