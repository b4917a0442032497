"""The changes that can be made to a configuration."""

from dataclasses import dataclass
from itertools import chain
from typing import Annotated, Literal

from pydantic import Field

from lagoonstair.config._model import (
    STRICT,
    KeyId,
    KeyRole,
    Member,
    Name,
    Route,
    Sha256,
    Template,
    Workspace,
)


@dataclass(frozen=True, slots=True)
class PutRoute:
    """Creates or replaces a route."""

    __pydantic_config__ = STRICT

    route: Route
    kind: Literal["put_route"] = "put_route"


@dataclass(frozen=True, slots=True)
class RemoveRoute:
    """Removes a route."""

    __pydantic_config__ = STRICT

    name: Name
    kind: Literal["remove_route"] = "remove_route"


@dataclass(frozen=True, slots=True)
class PutTemplate:
    """Creates or replaces a template."""

    __pydantic_config__ = STRICT

    template: Template
    kind: Literal["put_template"] = "put_template"


@dataclass(frozen=True, slots=True)
class RemoveTemplate:
    """Removes a template."""

    __pydantic_config__ = STRICT

    name: Name
    kind: Literal["remove_template"] = "remove_template"


@dataclass(frozen=True, slots=True)
class PutWorkspace:
    """Creates or replaces a workspace."""

    __pydantic_config__ = STRICT

    workspace: Workspace
    kind: Literal["put_workspace"] = "put_workspace"


@dataclass(frozen=True, slots=True)
class RemoveWorkspace:
    """Removes a workspace and withdraws its keys."""

    __pydantic_config__ = STRICT

    name: Name
    kind: Literal["remove_workspace"] = "remove_workspace"


@dataclass(frozen=True, slots=True)
class IssueKey:
    """Issues a key, of which only the hash of the secret is recorded."""

    __pydantic_config__ = STRICT

    id: KeyId
    workspace: str
    sha256: Sha256
    role: KeyRole = KeyRole.CALLER
    kind: Literal["issue_key"] = "issue_key"


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Withdraws a key."""

    __pydantic_config__ = STRICT

    id: KeyId
    kind: Literal["withdraw_key"] = "withdraw_key"


@dataclass(frozen=True, slots=True)
class MemberJoined:
    """Adds a member; an earlier run of the same name has stopped."""

    __pydantic_config__ = STRICT

    member: Member
    kind: Literal["member_joined"] = "member_joined"


@dataclass(frozen=True, slots=True)
class MemberLeft:
    """Removes a member.

    Attributes:
        name: The instance's name.
        incarnation: The run that left; another run of the same name is not
            removed.
        stopped: Whether the run is known to answer no peer any more.
    """

    __pydantic_config__ = STRICT

    name: str
    incarnation: str
    stopped: bool = True
    kind: Literal["member_left"] = "member_left"


Step = (
    PutRoute
    | RemoveRoute
    | PutTemplate
    | RemoveTemplate
    | PutWorkspace
    | RemoveWorkspace
    | IssueKey
    | WithdrawKey
    | MemberJoined
    | MemberLeft
)
"""A change of one item."""


@dataclass(frozen=True, slots=True)
class Batch:
    """Several changes that take effect together or not at all."""

    __pydantic_config__ = STRICT

    steps: tuple[Annotated[Step, Field(discriminator="kind")], ...]
    kind: Literal["batch"] = "batch"


Change = Step | Batch
"""A change of one item or of several together."""


def steps_of(change: Change) -> tuple[Step, ...]:
    """Returns the changes of single items that make up a change."""
    return change.steps if isinstance(change, Batch) else (change,)


def item_of(step: Step) -> str:
    """Returns the path of a step's item, such as ``routes/lookup``."""
    match step:
        case PutRoute(route):
            return f"routes/{route.name}"
        case RemoveRoute(name):
            return f"routes/{name}"
        case PutTemplate(template):
            return f"templates/{template.name}"
        case RemoveTemplate(name):
            return f"templates/{name}"
        case PutWorkspace(workspace):
            return f"workspaces/{workspace.name}"
        case RemoveWorkspace(name):
            return f"workspaces/{name}"
        case IssueKey() | WithdrawKey():
            return f"keys/{step.id}"
        case MemberJoined(member):
            return f"members/{member.name}"
        case MemberLeft(name):
            return f"members/{name}"


def items_of(change: Change) -> frozenset[str]:
    """Returns the paths of the items that a change affects."""
    return frozenset(chain(map(item_of, steps_of(change))))
