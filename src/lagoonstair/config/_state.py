"""The configuration at one version."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import TypeVar

from lagoonstair import keys
from lagoonstair.config._changes import (
    Change,
    IssueKey,
    MemberJoined,
    MemberLeft,
    PutRoute,
    PutTemplate,
    PutWorkspace,
    RemoveRoute,
    RemoveTemplate,
    RemoveWorkspace,
    Step,
    WithdrawKey,
    items_of,
    steps_of,
)
from lagoonstair.config._faults import Fault, InvalidInputError
from lagoonstair.config._model import (
    KeyRecord,
    KeyRole,
    Member,
    Route,
    Template,
    Workspace,
)
from lagoonstair.config._policy import (
    Limits,
    Policy,
    policies_of,
    resolve_limits,
)
from lagoonstair.exceptions import ErrorKind, LagoonstairError

_DUMMY_SHA256 = "0" * 64
"""Hash compared for an unknown key, so that the time doesn't reveal it.

No secret has this hash.
"""

ItemT = TypeVar("ItemT")


@dataclass(frozen=True, slots=True, kw_only=True)
class Resolved:
    """The policies that result from templates and parameters.

    Attributes:
        limits: The limits of each workspace, by name.
        policies: The policies, by workspace and route.
    """

    limits: Mapping[str, Limits] = field(default_factory=dict)
    policies: Mapping[tuple[str, str], Policy] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Everything that operators and instances have set, at one version.

    Attributes:
        version: The number of changes; 0 is the empty configuration.
        routes: The routes by name.
        templates: The templates by name.
        workspaces: The workspaces by name.
        keys: The live keys by id.
        members: The joined instances by name.
        changed: The version that last changed each item, by the item's path.
        resolved: The policies that result from templates and parameters.
    """

    version: int = 0
    routes: Mapping[str, Route] = field(default_factory=dict)
    templates: Mapping[str, Template] = field(default_factory=dict)
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)
    keys: Mapping[str, KeyRecord] = field(default_factory=dict)
    members: Mapping[str, Member] = field(default_factory=dict)
    changed: Mapping[str, int] = field(default_factory=dict)
    resolved: Resolved = field(default_factory=Resolved)

    def apply(self, change: Change) -> "Configuration":
        """Returns the next version of the configuration, after a change.

        Raises:
            InvalidInputError: Lists all faults.
        """
        version = self.version + 1
        draft = self
        for step in steps_of(change):
            draft = _apply_step(draft, step, version)
        changed = dict.fromkeys(items_of(change), version)
        draft = replace(
            draft, version=version, changed={**self.changed, **changed}
        )
        return draft if _has_same_definitions(self, draft) else resolve(draft)

    def policy(self, workspace: str, route: str) -> Policy:
        """Returns the policy of a route of a workspace.

        Raises:
            LagoonstairError: ``NOT_FOUND``; there is no such workspace, or
                its template lacks the route.
        """
        policy = self.resolved.policies.get((workspace, route))
        if policy is None:
            raise LagoonstairError(
                ErrorKind.NOT_FOUND,
                f"workspace {workspace!r} has no route {route!r}",
            )
        return policy

    def limits(self, workspace: str) -> Limits:
        """Returns the limits of a workspace.

        Raises:
            LagoonstairError: ``NOT_FOUND``; there is no such workspace.
        """
        limits = self.resolved.limits.get(workspace)
        if limits is None:
            raise LagoonstairError(
                ErrorKind.NOT_FOUND, f"no workspace {workspace!r}"
            )
        return limits

    def authenticate(self, key: str) -> KeyRecord:
        """Returns the record of a live key, in constant time.

        Raises:
            LagoonstairError: ``UNAUTHENTICATED``, with the same message for
                every reason; ``BAD_REQUEST`` for a malformed key.
        """
        key_id, secret = keys.parse(key)
        record = self.keys.get(key_id)
        sha256 = _DUMMY_SHA256 if record is None else record.sha256
        matches = keys.digest_matches(secret, sha256)
        if record is None or not matches:
            raise LagoonstairError(
                ErrorKind.UNAUTHENTICATED, "the key is not valid"
            )
        return record

    def key_is_live(self, key_id: str) -> bool:
        """Returns whether a key has been issued and not withdrawn."""
        return key_id in self.keys


def _has_same_definitions(old: Configuration, new: Configuration) -> bool:
    return (
        old.routes is new.routes
        and old.templates is new.templates
        and old.workspaces is new.workspaces
    )


def _with_item(
    items: Mapping[str, ItemT], name: str, item: ItemT
) -> dict[str, ItemT]:
    return {**items, name: item}


def _without_item(
    items: Mapping[str, ItemT], name: str, kind: str
) -> dict[str, ItemT]:
    if name not in items:
        fault = Fault(f"{kind}.{name}", f"one of the {kind}", "no such item")
        raise InvalidInputError([fault])
    return {key: item for key, item in items.items() if key != name}


def _apply_step(cfg: Configuration, step: Step, version: int) -> Configuration:
    match step:
        case PutRoute(route):
            return replace(
                cfg, routes=_with_item(cfg.routes, route.name, route)
            )
        case RemoveRoute(name):
            return replace(
                cfg, routes=_without_item(cfg.routes, name, "routes")
            )
        case PutTemplate(template):
            templates = _with_item(cfg.templates, template.name, template)
            return replace(cfg, templates=templates)
        case RemoveTemplate(name):
            templates = _without_item(cfg.templates, name, "templates")
            return replace(cfg, templates=templates)
        case PutWorkspace(workspace):
            workspaces = _with_item(cfg.workspaces, workspace.name, workspace)
            return replace(cfg, workspaces=workspaces)
        case RemoveWorkspace(name):
            return _remove_workspace(cfg, name)
        case IssueKey():
            return _issue_key(cfg, step, version)
        case WithdrawKey(key_id):
            return replace(cfg, keys=_without_item(cfg.keys, key_id, "keys"))
        case MemberJoined(member):
            members = _with_item(cfg.members, member.name, member)
            return replace(cfg, members=members)
        case MemberLeft():
            return _remove_member(cfg, step)


def _remove_workspace(cfg: Configuration, name: str) -> Configuration:
    live = {
        key_id: record
        for key_id, record in cfg.keys.items()
        if record.workspace != name
    }
    workspaces = _without_item(cfg.workspaces, name, "workspaces")
    return replace(cfg, workspaces=workspaces, keys=live)


def _remove_member(cfg: Configuration, left: MemberLeft) -> Configuration:
    member = cfg.members.get(left.name)
    if member is None or member.incarnation != left.incarnation:
        return cfg
    return replace(
        cfg, members=_without_item(cfg.members, left.name, "members")
    )


def _issue_key(
    cfg: Configuration, step: IssueKey, version: int
) -> Configuration:
    path = f"keys.{step.id}"
    faults = []
    if f"keys/{step.id}" in cfg.changed:
        faults.append(Fault(path, "an id never used", "an id in use before"))
    if step.role is KeyRole.OPERATOR and step.workspace:
        expected = "no workspace for an operator's key"
        faults.append(Fault(f"{path}.workspace", expected, step.workspace))
    if step.role is KeyRole.CALLER and step.workspace not in cfg.workspaces:
        found = repr(step.workspace)
        faults.append(Fault(f"{path}.workspace", "a workspace", found))
    if faults:
        raise InvalidInputError(faults)
    record = KeyRecord(
        id=step.id,
        workspace=step.workspace,
        sha256=step.sha256,
        created_version=version,
        role=step.role,
    )
    return replace(cfg, keys=_with_item(cfg.keys, step.id, record))


def resolve(cfg: Configuration) -> Configuration:
    """Checks all references and numbers, and fills ``resolved``.

    Raises:
        InvalidInputError: Lists all faults.
    """
    faults = [
        Fault(f"templates.{template.name}.routes.{i}", "a route", repr(route))
        for template in cfg.templates.values()
        for i, route in enumerate(template.routes)
        if route not in cfg.routes
    ]
    limits: dict[str, Limits] = {}
    for workspace in cfg.workspaces.values():
        template = cfg.templates.get(workspace.template)
        if template is None:
            path = f"workspaces.{workspace.name}.template"
            faults.append(Fault(path, "a template", repr(workspace.template)))
            continue
        workspace_limits, limit_faults = resolve_limits(template, workspace)
        faults += limit_faults
        if workspace_limits is not None:
            limits[workspace.name] = workspace_limits
    if faults:
        raise InvalidInputError(faults)
    return replace(cfg, resolved=_resolved(cfg, limits))


def _resolved(cfg: Configuration, limits: dict[str, Limits]) -> Resolved:
    policies = {
        (workspace.name, policy.route): policy
        for workspace in cfg.workspaces.values()
        for policy in policies_of(
            workspace,
            cfg.templates[workspace.template],
            cfg.routes,
            limits[workspace.name],
        )
    }
    return Resolved(limits=limits, policies=policies)
