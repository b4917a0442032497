"""The exact shapes of the operators' requests and answers, as JSON.

Each request brings ``Authorization: Bearer <operator key>``. A change may
bring ``If-Match: <version>`` (the version whose content the edit is based on)
and ``Idempotency-Key: <operation id>`` (a repeat with the same id gets the
first one's answer). A change answers 200 once it is in force, and 202 when it
is durable but not yet known to be in force.

==================================  ===================  ===================
request                             body                 answer
==================================  ===================  ===================
GET /v1/config                                           ConfigAnswer
GET /v1/instances                                        InstancesAnswer
GET /v1/{section}/{name}                                 ItemAnswer
PUT /v1/routes/{name}               RouteBody            ChangeAnswer
PUT /v1/templates/{name}            TemplateBody         ChangeAnswer
PUT /v1/workspaces/{name}           WorkspaceBody        ChangeAnswer
DELETE /v1/{section}/{name}                              ChangeAnswer
POST /v1/apply                      ApplyBody            ApplyAnswer
POST /v1/apply?check=1              ApplyBody            ApplyAnswer
GET /v1/keys?workspace={name}                            KeysAnswer
POST /v1/keys                       IssueBody            IssueAnswer
DELETE /v1/keys/{id}                                     ChangeAnswer
==================================  ===================  ===================

``section`` is ``routes``, ``templates`` or ``workspaces``. Every error answers
``ErrorAnswer`` with the status of its kind.
"""

from typing import Literal, NotRequired, TypedDict


class ParamBody(TypedDict):
    """Stands for a number that each workspace sets."""

    param: str


NumberBody = float | ParamBody


class RouteBody(TypedDict):
    """A route, without its name."""

    kind: Literal["read", "write"]
    statements: list[str]
    idempotent: NotRequired[bool]
    open: NotRequired[bool]


class ObjectivesBody(TypedDict, total=False):
    """Service-level objectives; ``latency`` is in seconds."""

    served: NumberBody
    latency: NumberBody
    within_latency: NumberBody


class TemplateBody(TypedDict):
    """A template, without its name; ``max_age`` is in seconds."""

    routes: list[str]
    rate: NumberBody
    burst: NumberBody
    max_age: NotRequired[NumberBody]
    objectives: NotRequired[ObjectivesBody]


class WorkspaceBody(TypedDict):
    """A workspace, without its name."""

    template: str
    group: str
    params: NotRequired[dict[str, float]]


class ApplyBody(TypedDict, total=False):
    """Changes that take effect together; ``None`` removes an item."""

    routes: dict[str, RouteBody | None]
    templates: dict[str, TemplateBody | None]
    workspaces: dict[str, WorkspaceBody | None]


class IssueBody(TypedDict):
    """Whose key to issue; an operator's key names no workspace."""

    workspace: NotRequired[str]
    role: NotRequired[Literal["caller", "operator"]]


class KeyBody(TypedDict):
    """What is shown of a key."""

    id: str
    workspace: str
    role: Literal["caller", "operator"]
    created_version: int


class MemberBody(TypedDict):
    """An instance that has joined; ``peers`` is ``host:port``."""

    name: str
    incarnation: str
    failure_domain: str
    peers: str


class ChangeResponse(TypedDict):
    """The answer to a change.

    ``pending`` names the instances that have not confirmed the version.
    """

    version: int
    in_force: bool
    pending: list[str]


class ApplyResponse(ChangeResponse):
    """The answer to ``apply``; a check answers the version it checked."""

    checked_only: bool
    changes: list[str]


class IssueResponse(ChangeResponse):
    """The answer to an issue; the key is shown this once."""

    id: str
    key: str


class ItemResponse(TypedDict):
    """One item, the version shown, and the version that last changed it."""

    version: int
    changed: int
    item: RouteBody | TemplateBody | WorkspaceBody


class KeysResponse(TypedDict):
    """The live keys."""

    version: int
    keys: list[KeyBody]


class ConfigResponse(TypedDict):
    """The whole configuration."""

    version: int
    routes: dict[str, RouteBody]
    templates: dict[str, TemplateBody]
    workspaces: dict[str, WorkspaceBody]
    keys: list[KeyBody]
    members: list[MemberBody]


class InstanceBody(TypedDict):
    """One instance's state; ``None`` where it did not answer."""

    name: str
    answered: bool
    version: int | None
    proof_age: float | None


class InstancesResponse(TypedDict):
    """The version in force on each instance.

    ``last_change_seconds`` is the time from the latest change submitted here
    until every joined instance had it in force.
    """

    version: int
    accepted: int
    last_change_seconds: float | None
    waiting_for: str | None
    instances: list[InstanceBody]


class FaultBody(TypedDict):
    """One fault of an input."""

    path: str
    expected: str
    found: str


class ErrorBody(TypedDict):
    """An error; ``retry_after`` is in seconds."""

    kind: str
    message: str
    retry: Literal["never", "later", "same_request_id"]
    retry_after: NotRequired[float]
    faults: NotRequired[list[FaultBody]]


class ErrorEnvelope(TypedDict):
    """The answer to a request that failed."""

    outcome: Literal["not_run", "unknown"]
    error: ErrorBody
