"""JSON request and response bodies of the operator API.

Each request needs ``Authorization: Bearer <operator key>``. A change may have
``If-Match: <version>`` (the version that the edit is based on) and
``Idempotency-Key: <operation id>`` (a repeat with the same id has no further
effect and gets the first one's version). The status of a change is 200 if it
is in force, and 202 if it is durable but not yet known to be in force.

==================================  ===================  ===================
request                             body                 response
==================================  ===================  ===================
GET /v1/config                                           ConfigResponse
GET /v1/instances                                        InstancesResponse
GET /v1/{section}/{name}                                 ItemResponse
PUT /v1/routes/{name}               RouteBody            ChangeResponse
PUT /v1/templates/{name}            TemplateBody         ChangeResponse
PUT /v1/workspaces/{name}           WorkspaceBody        ChangeResponse
DELETE /v1/{section}/{name}                              ChangeResponse
POST /v1/apply                      ApplyBody            ApplyResponse
POST /v1/apply?check=1              ApplyBody            ApplyResponse
GET /v1/keys?workspace={name}                            KeysResponse
POST /v1/keys                       IssueKeyBody         IssueResponse
DELETE /v1/keys/{id}                                     ChangeResponse
==================================  ===================  ===================

``section`` is ``routes``, ``templates`` or ``workspaces``. The body of every
error is ``ErrorEnvelope``, and its status is that of the error's kind. A
repeated ``POST /v1/keys`` is an error, since a key can't be shown again.
"""

from typing import Literal, NotRequired, TypedDict


class ParamBody(TypedDict):
    """A reference to a number that each workspace sets."""

    param: str


NumberBody = float | ParamBody


class RouteBody(TypedDict):
    """A route without its name."""

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
    """A template without its name; ``max_age`` is in seconds."""

    routes: list[str]
    rate: NumberBody
    burst: NumberBody
    max_age: NotRequired[NumberBody]
    objectives: NotRequired[ObjectivesBody]


class WorkspaceBody(TypedDict):
    """A workspace without its name."""

    template: str
    group: str
    params: NotRequired[dict[str, float]]


class ApplyBody(TypedDict, total=False):
    """Changes that take effect together; ``null`` removes an item."""

    routes: dict[str, RouteBody | None]
    templates: dict[str, TemplateBody | None]
    workspaces: dict[str, WorkspaceBody | None]


class IssueKeyBody(TypedDict):
    """The key to issue; an operator's key has no workspace."""

    workspace: NotRequired[str]
    role: NotRequired[Literal["caller", "operator"]]


class KeyBody(TypedDict):
    """A key without its secret."""

    id: str
    workspace: str
    role: Literal["caller", "operator"]
    created_version: int


class MemberBody(TypedDict):
    """An instance that has joined; ``peers`` has the form ``host:port``."""

    name: str
    incarnation: str
    failure_domain: str
    peers: str


class ChangeResponse(TypedDict):
    """The result of a change.

    ``pending`` lists the instances that have not confirmed the version.
    """

    version: int
    in_force: bool
    pending: list[str]


class ApplyResponse(ChangeResponse):
    """The result of ``apply``, or of its check against ``version``."""

    checked_only: bool
    changes: list[str]


class IssueResponse(ChangeResponse):
    """The result of issuing a key, which is shown only in this response."""

    id: str
    key: str


class ItemResponse(TypedDict):
    """One item, the version read, and the version that last changed it."""

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
    """One instance's state; ``None`` if the instance did not reply."""

    name: str
    answered: bool
    version: int | None
    proof_age: float | None


class InstancesResponse(TypedDict):
    """The version in force on each instance.

    ``last_change_seconds`` is the time from the submission of the latest
    change on this instance until every joined instance had it in force.
    """

    version: int
    accepted: int
    last_change_seconds: float | None
    waiting_for: str | None
    instances: list[InstanceBody]


class FaultBody(TypedDict):
    """One fault in an input."""

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
    """The body of every error response."""

    outcome: Literal["not_run", "unknown"]
    error: ErrorBody
