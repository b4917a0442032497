"""Converts between the operator API's JSON and the configuration's values."""

import json
from collections.abc import Iterator, Mapping
from itertools import chain
from typing import Any, NamedTuple

from lagoonstair.config._api_types import (
    ConfigResponse,
    ErrorBody,
    ErrorEnvelope,
    FaultBody,
    KeyBody,
    MemberBody,
)
from lagoonstair.config._changes import (
    Batch,
    PutRoute,
    PutTemplate,
    PutWorkspace,
    RemoveRoute,
    RemoveTemplate,
    RemoveWorkspace,
    Step,
)
from lagoonstair.config._faults import Fault, InvalidInputError, render_value
from lagoonstair.config._model import (
    KeyRecord,
    Member,
    Route,
    Template,
    Workspace,
)
from lagoonstair.config._parse import encode, parse_value
from lagoonstair.config._state import Configuration
from lagoonstair.exceptions import ErrorKind, LagoonstairError, Outcome

SECTIONS = ("routes", "templates", "workspaces")
"""The kinds of item that operators edit, referenced kinds first."""


class ItemPath(NamedTuple):
    """Identifies one item.

    Attributes:
        section: One of ``SECTIONS``.
        name: The item's name.
    """

    section: str
    name: str


def put_step(path: ItemPath, body: Any) -> Step:
    """Parses the body of an item into the change that puts it.

    Raises:
        InvalidInputError: Lists all faults.
    """
    dotted_path = ".".join(path)
    if not isinstance(body, dict):
        raise InvalidInputError(
            [Fault(dotted_path, "an object", render_value(body))]
        )
    if "name" in body:
        fault = Fault(
            f"{dotted_path}.name", "no such field", render_value(body["name"])
        )
        raise InvalidInputError([fault])
    item = {**body, "name": path.name}
    match path.section:
        case "routes":
            return PutRoute(parse_value(Route, item, dotted_path))
        case "templates":
            return PutTemplate(parse_value(Template, item, dotted_path))
        case _:
            return PutWorkspace(parse_value(Workspace, item, dotted_path))


def remove_step(path: ItemPath) -> Step:
    """Returns the change that removes an item."""
    match path.section:
        case "routes":
            return RemoveRoute(path.name)
        case "templates":
            return RemoveTemplate(path.name)
        case _:
            return RemoveWorkspace(path.name)


def parse_batch(body: Mapping[str, Any]) -> Batch:
    """Parses the body of ``apply``, in which ``null`` removes an item.

    Raises:
        InvalidInputError: Lists all faults of all items.
    """
    faults: list[Fault] = []
    steps: list[Step] = []
    for path, item in _items_in(body, faults):
        try:
            steps.append(_step(path, item))
        except InvalidInputError as exc:
            faults += exc.faults
    if not steps and not faults:
        faults.append(Fault("body", "at least one item", "none"))
    if faults:
        raise InvalidInputError(faults)
    return Batch(tuple(steps))


def _step(path: ItemPath, item: Any) -> Step:
    return remove_step(path) if item is None else put_step(path, item)


def _items_in(
    body: Mapping[str, Any], faults: list[Fault]
) -> Iterator[tuple[ItemPath, Any]]:
    for section in body:
        if section not in SECTIONS:
            expected = f"one of {', '.join(SECTIONS)}"
            faults.append(Fault(section, expected, "another name"))
    for section in filter(body.__contains__, SECTIONS):
        items = body[section]
        if not isinstance(items, dict):
            faults.append(Fault(section, "an object", render_value(items)))
            continue
        for name, item in items.items():
            yield ItemPath(section, name), item


def differing_items(old: Configuration, new: Configuration) -> list[str]:
    """Returns the paths of operators' items that differ in two versions."""
    maps = [
        (section, getattr(old, section), getattr(new, section))
        for section in SECTIONS
    ]
    return [
        f"{section}/{name}"
        for section, before, after in maps
        for name in sorted(set(chain(before, after)))
        if before.get(name) != after.get(name)
    ]


def item_body(item: Route | Template | Workspace) -> Any:
    """Returns an item as JSON-like data without its name."""
    body = json.loads(encode(type(item), item))
    del body["name"]
    return body


def key_body(record: KeyRecord) -> KeyBody:
    """Returns a key's record as JSON-like data without the secret's hash."""
    return KeyBody(
        id=record.id,
        workspace=record.workspace,
        role=record.role.value,
        created_version=record.created_version,
    )


def _member_body(member: Member) -> MemberBody:
    return MemberBody(
        name=member.name,
        incarnation=member.incarnation,
        failure_domain=member.failure_domain,
        peers=str(member.peers),
    )


def _section_body(items: Mapping[str, Any]) -> Any:
    return {name: item_body(item) for name, item in items.items()}


def config_body(cfg: Configuration) -> ConfigResponse:
    """Returns the whole configuration as JSON-like data."""
    return ConfigResponse(
        version=cfg.version,
        routes=_section_body(cfg.routes),
        templates=_section_body(cfg.templates),
        workspaces=_section_body(cfg.workspaces),
        keys=list(map(key_body, cfg.keys.values())),
        members=list(map(_member_body, cfg.members.values())),
    )


def error_body(exc: LagoonstairError) -> ErrorEnvelope:
    """Returns an error as JSON-like data."""
    error = ErrorBody(
        kind=exc.kind.value,
        message=exc.message,
        retry=exc.response.retry.value,
    )
    if exc.retry_after is not None:
        error["retry_after"] = exc.retry_after
    if isinstance(exc, InvalidInputError):
        error["faults"] = [
            FaultBody(path=path, expected=expected, found=found)
            for path, expected, found in exc.faults
        ]
    unknown = exc.response.outcome is Outcome.UNKNOWN
    return ErrorEnvelope(
        outcome="unknown" if unknown else "not_run", error=error
    )


def not_found(path: str) -> LagoonstairError:
    """Returns the error for an item that doesn't exist."""
    return LagoonstairError(ErrorKind.NOT_FOUND, f"no {path}")
