"""The values that a configuration is made of."""

import enum
from dataclasses import dataclass, field
from typing import Annotated, Any, NamedTuple

from pydantic import ConfigDict, Discriminator, Field, Tag

from lagoonstair._types import Address

MAX_RATE = 1_000_000.0
"""The greatest rate, in requests per second."""
MAX_BURST = 1_000_000.0
"""The greatest burst, in requests."""
MAX_AGE_SECONDS = 86_400.0
"""The greatest age of a read, in seconds."""
MAX_LATENCY_SECONDS = 600.0
"""The greatest latency objective, in seconds."""
MAX_STATEMENT_CHARACTERS = 16_384
"""The longest SQL statement, in characters."""

STRICT = ConfigDict(extra="forbid", strict=True)


class RouteKind(enum.StrEnum):
    """Whether a route may change data."""

    READ = "read"
    WRITE = "write"


class KeyRole(enum.StrEnum):
    """Whose key it is."""

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
    """Stands for a number that each workspace sets.

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
    """Named statements that a workspace may run.

    Attributes:
        name: The route's name.
        kind: Whether it may change data.
        statements: SQL with named parameters; the proxy binds ``:workspace``.
        idempotent: Whether running it twice does no harm.
        open: Whether it needs no key.
    """

    __pydantic_config__ = STRICT

    name: Name
    kind: RouteKind
    statements: Annotated[tuple[Sql, ...], Field(min_length=1)]
    idempotent: bool = False
    open: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Objectives:
    """The service level that is promised.

    Attributes:
        served: The fraction of requests to be served.
        latency: Seconds within which a request is to be answered.
        within_latency: The fraction of requests answered within ``latency``.
    """

    __pydantic_config__ = STRICT

    served: FractionOrParam = 0.999
    latency: LatencyOrParam = 0.25
    within_latency: FractionOrParam = 0.99


@dataclass(frozen=True, slots=True, kw_only=True)
class Template:
    """What a kind of workspace may do.

    Attributes:
        name: The template's name.
        routes: The names of its routes.
        max_age: The greatest age of a read, in seconds.
        rate: Requests per second, over all instances.
        burst: Requests at once, over all instances.
        objectives: The service level that is promised.
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
    """One workspace.

    Attributes:
        name: The workspace's name.
        template: The name of its template.
        group: The database group that holds its data.
        params: The values of its template's parameters.
    """

    __pydantic_config__ = STRICT

    name: Name
    template: Name
    group: Name
    params: dict[Name, Number] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRecord:
    """What is kept of a key.

    Attributes:
        id: The key's public part.
        workspace: Whose key it is; empty for an operator's.
        sha256: The hash of the secret, in hexadecimal digits.
        created_version: The configuration version that issued it.
        role: Whether it is a caller's or an operator's.
    """

    __pydantic_config__ = STRICT

    id: KeyId
    workspace: str
    sha256: Sha256
    created_version: int
    role: KeyRole = KeyRole.CALLER


class MemberId(NamedTuple):
    """One run of one instance.

    Attributes:
        name: The instance's name.
        incarnation: Tells the runs of an instance apart.
    """

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """An instance that has joined.

    Attributes:
        name: The instance's name.
        incarnation: Tells the runs of an instance apart.
        failure_domain: The failure domain it runs in.
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
