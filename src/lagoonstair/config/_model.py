"""The data classes of the configuration's items and their value types."""

import enum
from dataclasses import dataclass, field
from typing import Annotated, Any, NamedTuple

from pydantic import ConfigDict, Discriminator, Field, Tag

from lagoonstair._types import Address

MAX_RATE = 1_000_000.0
"""Largest allowed rate, in requests per second."""
MAX_BURST = 1_000_000.0
"""Largest allowed burst, in requests."""
MAX_AGE_SECONDS = 86_400.0
"""Largest allowed staleness bound of a read, in seconds."""
MAX_LATENCY_SECONDS = 600.0
"""Largest allowed latency objective, in seconds."""
MAX_STATEMENT_CHARACTERS = 16_384
"""Longest allowed SQL statement, in characters."""

STRICT = ConfigDict(extra="forbid", strict=True)


class RouteKind(enum.StrEnum):
    """Whether a route may change data."""

    READ = "read"
    WRITE = "write"


class KeyRole(enum.StrEnum):
    """The role that a key authenticates."""

    CALLER = "caller"
    OPERATOR = "operator"


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Sql = Annotated[str, Field(min_length=1, max_length=MAX_STATEMENT_CHARACTERS)]
Sha256 = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
KeyId = Annotated[str, Field(pattern=r"^[0-9a-f]{16}$")]

Rate = Annotated[float, Field(gt=0, le=MAX_RATE, allow_inf_nan=False)]
Burst = Annotated[float, Field(ge=1, le=MAX_BURST, allow_inf_nan=False)]
Age = Annotated[float, Field(ge=0, le=MAX_AGE_SECONDS, allow_inf_nan=False)]
Fraction = Annotated[float, Field(gt=0, lt=1, allow_inf_nan=False)]
Latency = Annotated[
    float, Field(gt=0, le=MAX_LATENCY_SECONDS, allow_inf_nan=False)
]
Number = Annotated[float, Field(allow_inf_nan=False)]


@dataclass(frozen=True, slots=True)
class Param:
    """A reference to a number that each workspace sets.

    Attributes:
        param: The name of the workspace's parameter.
    """

    __pydantic_config__ = STRICT

    param: Name


def _union_tag(value: Any) -> str:
    return "param" if isinstance(value, dict | Param) else "number"


_PARAM = Annotated[Param, Tag("param")]
_NUMBER_OR_PARAM = Discriminator(_union_tag)
RateOrParam = Annotated[
    Annotated[Rate, Tag("number")] | _PARAM, _NUMBER_OR_PARAM
]
BurstOrParam = Annotated[
    Annotated[Burst, Tag("number")] | _PARAM, _NUMBER_OR_PARAM
]
AgeOrParam = Annotated[Annotated[Age, Tag("number")] | _PARAM, _NUMBER_OR_PARAM]
FractionOrParam = Annotated[
    Annotated[Fraction, Tag("number")] | _PARAM, _NUMBER_OR_PARAM
]
LatencyOrParam = Annotated[
    Annotated[Latency, Tag("number")] | _PARAM, _NUMBER_OR_PARAM
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A named sequence of statements that a workspace may run.

    Attributes:
        name: The route's name.
        kind: Whether the route may change data.
        statements: SQL with named parameters; the proxy binds ``:workspace``.
        idempotent: Whether running the route twice has the effect of once.
        open: Whether the route needs no key.
    """

    __pydantic_config__ = STRICT

    name: Name
    kind: RouteKind
    statements: Annotated[tuple[Sql, ...], Field(min_length=1)]
    idempotent: bool = False
    open: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Objectives:
    """Service-level objectives.

    Attributes:
        served: The target fraction of requests that are served.
        latency: The latency objective of a request, in seconds.
        within_latency: The target fraction of requests answered within
            ``latency``.
    """

    __pydantic_config__ = STRICT

    served: FractionOrParam = 0.999
    latency: LatencyOrParam = 0.25
    within_latency: FractionOrParam = 0.99


@dataclass(frozen=True, slots=True, kw_only=True)
class Template:
    """The routes, limits and objectives of a kind of workspace.

    Attributes:
        name: The template's name.
        routes: The names of its routes.
        max_age: The staleness bound of a read, in seconds.
        rate: The limit of requests per second, over all instances.
        burst: The limit of requests at once, over all instances.
        objectives: The service-level objectives.
    """

    __pydantic_config__ = STRICT

    name: Name
    routes: tuple[Name, ...]
    max_age: AgeOrParam = 0.0
    rate: RateOrParam
    burst: BurstOrParam
    objectives: Objectives = field(default_factory=Objectives)


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A workspace.

    Attributes:
        name: The workspace's name.
        template: The name of its template.
        group: The name of the database group that holds its data.
        params: The values of its template's parameters, by name.
    """

    __pydantic_config__ = STRICT

    name: Name
    template: Name
    group: Name
    params: dict[Name, Number] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRecord:
    """The stored record of a key, without its secret.

    Attributes:
        id: The key's public part.
        workspace: The name of the workspace; empty for an operator's key.
        sha256: The SHA-256 of the secret, in hexadecimal digits.
        created_version: The configuration version that issued the key.
        role: Whether it is a caller's or an operator's key.
    """

    __pydantic_config__ = STRICT

    id: KeyId
    workspace: str
    sha256: Sha256
    created_version: int
    role: KeyRole = KeyRole.CALLER


class MemberId(NamedTuple):
    """Identifies one run of an instance.

    Attributes:
        name: The instance's name.
        incarnation: Distinguishes the runs of an instance.
    """

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """An instance that has joined.

    Attributes:
        name: The instance's name.
        incarnation: Distinguishes the runs of an instance.
        failure_domain: The failure domain of the instance.
        peers: The address at which it listens for other instances.
    """

    __pydantic_config__ = STRICT

    name: str
    incarnation: str
    failure_domain: str
    peers: Address

    @property
    def id(self) -> MemberId:
        """The member's name and incarnation."""
        return MemberId(self.name, self.incarnation)
