"""Handles the operator API's requests on configuration and keys."""

import hmac
import re
import secrets
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec
import trio

from lagoonstair import keys
from lagoonstair.config._api_types import (
    ApplyResponse,
    ChangeResponse,
    InstanceBody,
    InstancesResponse,
    IssueResponse,
    ItemResponse,
    KeysResponse,
)
from lagoonstair.config._changes import Change, IssueKey, WithdrawKey
from lagoonstair.config._faults import Fault, InvalidInputError, render_value
from lagoonstair.config._model import KeyRole
from lagoonstair.config._operator_bodies import (
    SECTIONS,
    ItemPath,
    config_body,
    differing_items,
    error_body,
    item_body,
    key_body,
    not_found,
    parse_batch,
    put_step,
    remove_step,
)
from lagoonstair.config._parse import parse_json
from lagoonstair.config._submit import ChangeResult
from lagoonstair.config._sync import ConfigSync
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.wire import HttpRequest, HttpResponse

BEARER = "Bearer "
_OPERATION_ID = re.compile(r"[!-~]{1,128}")
_VERSION = re.compile(r'"?(\d{1,12})"?')
_SINGLE_PART_PATHS = frozenset({"config", "instances", "apply", "keys"})


class _ApiResponse(NamedTuple):
    """A response before its body is encoded."""

    status: int
    body: Any


class OperatorApi:
    """The operator API of the configuration."""

    def __init__(
        self,
        sync: ConfigSync,
        *,
        operator_keys_sha256: Iterable[str],
        random_bytes: Callable[[int], bytes] = secrets.token_bytes,
    ) -> None:
        """Prepares the handlers.

        Args:
            sync: The configuration.
            operator_keys_sha256: The SHA-256 of each whole operator key in the
                settings, in hexadecimal digits.
            random_bytes: The source of randomness for new keys.
        """
        self._sync = sync
        self._operator_keys = tuple(operator_keys_sha256)
        self._random_bytes = random_bytes

    async def handle(self, req: HttpRequest) -> HttpResponse | None:
        """Handles a request; returns ``None`` if the path isn't of this API."""
        parts = _path_parts(req)
        if not _is_known(parts):
            return None
        try:
            self.authenticate(req)
            response = await self._respond(req, parts)
        except LagoonstairError as exc:
            response = _ApiResponse(exc.response.status, error_body(exc))
        body = msgspec.json.encode(response.body)
        return HttpResponse(status=response.status, body=body)

    def authenticate(self, req: HttpRequest) -> None:
        """Checks that a request has an operator's key.

        Raises:
            LagoonstairError: ``UNAUTHENTICATED`` without a live key,
                ``BAD_REQUEST`` for a malformed key, ``FORBIDDEN`` for a
                caller's key, ``NOT_FRESH`` if this instance can't verify
                that the key is live.
        """
        header = req.headers.get("authorization", "")
        if not header.startswith(BEARER):
            raise LagoonstairError(
                ErrorKind.UNAUTHENTICATED, "an operator's key is needed"
            )
        key = header.removeprefix(BEARER)
        digest = keys.hash_secret(key)
        matches = [hmac.compare_digest(digest, k) for k in self._operator_keys]
        if any(matches):
            return
        cfg = self._sync.require_fresh(trio.current_time())
        if cfg.authenticate(key).role is not KeyRole.OPERATOR:
            raise LagoonstairError(
                ErrorKind.FORBIDDEN, "the key is not an operator's"
            )

    async def _respond(
        self, req: HttpRequest, parts: list[str]
    ) -> _ApiResponse:
        match req.method, parts:
            case "GET", ["config"]:
                return _ApiResponse(200, config_body(self._sync.current))
            case "GET", ["instances"]:
                return await self._instances()
            case "POST", ["apply"]:
                return await self._apply(req)
            case "GET", ["keys"]:
                return self._list_keys(req)
            case "POST", ["keys"]:
                return await self._issue(req)
            case "DELETE", ["keys", key_id]:
                return await self._change(req, WithdrawKey(key_id))
            case method, [section, name]:
                path = ItemPath(section, name)
                return await self._item(req, method, path)
            case _:
                raise _method_error(req)

    async def _item(
        self, req: HttpRequest, method: str, path: ItemPath
    ) -> _ApiResponse:
        match method:
            case "GET" if path.section in SECTIONS:
                return self._show(path)
            case "PUT" if path.section in SECTIONS:
                step = put_step(path, parse_json(req.body))
                return await self._change(req, step)
            case "DELETE" if path.section in SECTIONS:
                return await self._change(req, remove_step(path))
            case _:
                raise _method_error(req)

    def _show(self, path: ItemPath) -> _ApiResponse:
        cfg = self._sync.current
        item = getattr(cfg, path.section).get(path.name)
        if item is None:
            raise not_found("/".join(path))
        body = ItemResponse(
            version=cfg.version,
            changed=cfg.changed["/".join(path)],
            item=item_body(item),
        )
        return _ApiResponse(200, body)

    async def _change(self, req: HttpRequest, change: Change) -> _ApiResponse:
        result = await self._submit(req, change)
        return _ApiResponse(_status(result), _change_body(result))

    async def _submit(self, req: HttpRequest, change: Change) -> ChangeResult:
        return await self._sync.submit(
            change,
            expected_version=_expected_version(req),
            operation_id=_operation_id(req),
        )

    async def _apply(self, req: HttpRequest) -> _ApiResponse:
        batch = parse_batch(parse_json(req.body))
        cfg = self._sync.current
        changes = differing_items(cfg, cfg.apply(batch))
        if _query(req, "check") == "1":
            body = ApplyResponse(
                version=cfg.version,
                in_force=False,
                pending=[],
                checked_only=True,
                changes=changes,
            )
            return _ApiResponse(200, body)
        result = await self._submit(req, batch)
        body = ApplyResponse(
            **_change_body(result), checked_only=False, changes=changes
        )
        return _ApiResponse(_status(result), body)

    def _list_keys(self, req: HttpRequest) -> _ApiResponse:
        cfg = self._sync.current
        workspace = _query(req, "workspace")
        listed = [
            key_body(record)
            for record in cfg.keys.values()
            if workspace is None or record.workspace == workspace
        ]
        return _ApiResponse(200, KeysResponse(version=cfg.version, keys=listed))

    async def _issue(self, req: HttpRequest) -> _ApiResponse:
        body = parse_json(req.body)
        workspace, role = _parse_issue(body)
        key = keys.issue(self._random_bytes)
        change = IssueKey(key.id, workspace, key.sha256, role=role)
        result = await self._submit(req, change)
        if result.repeated:
            raise self._already_issued_error(result.version)
        response = IssueResponse(
            **_change_body(result), id=key.id, key=key.text
        )
        return _ApiResponse(_status(result), response)

    def _already_issued_error(self, version: int) -> LagoonstairError:
        key_ids = [
            record.id
            for record in self._sync.current.keys.values()
            if record.created_version == version
        ]
        return LagoonstairError(
            ErrorKind.CONFLICT,
            f"this operation issued key {', '.join(key_ids) or '(withdrawn)'}, "
            "which can't be shown again; withdraw it and issue another",
        )

    async def _instances(self) -> _ApiResponse:
        status = self._sync.status()
        reports = await self._sync.collect_reports()
        instances = [
            InstanceBody(
                name=name,
                answered=name in reports,
                version=reports[name].version if name in reports else None,
                proof_age=reports[name].proof_age if name in reports else None,
            )
            for name in sorted({*self._sync.current.members, *reports})
        ]
        body = InstancesResponse(
            version=status.version,
            accepted=status.accepted,
            last_change_seconds=status.last_change_seconds,
            waiting_for=status.waiting_for,
            instances=instances,
        )
        return _ApiResponse(200, body)


def _path_parts(req: HttpRequest) -> list[str]:
    """Returns the path's segments after ``/v1/``; empty for another path."""
    path = urlsplit(req.target).path
    root, _, rest = path.removeprefix("/").partition("/")
    return [unquote(part) for part in rest.split("/")] if root == "v1" else []


def _is_known(parts: list[str]) -> bool:
    match parts:
        case [single]:
            return single in _SINGLE_PART_PATHS
        case [section, name]:
            return section in (*SECTIONS, "keys") and name != ""
        case _:
            return False


def _query(req: HttpRequest, name: str) -> str | None:
    values = parse_qs(urlsplit(req.target).query).get(name)
    return values[0] if values else None


def _method_error(req: HttpRequest) -> LagoonstairError:
    fault = Fault("method", "one that this path has", render_value(req.method))
    return InvalidInputError([fault])


def _expected_version(req: HttpRequest) -> int | None:
    text = req.headers.get("if-match")
    if text is None:
        return None
    match = _VERSION.fullmatch(text)
    if match is None:
        raise InvalidInputError(
            [Fault("If-Match", "a version", render_value(text))]
        )
    return int(match[1])


def _operation_id(req: HttpRequest) -> str | None:
    text = req.headers.get("idempotency-key")
    if text is not None and _OPERATION_ID.fullmatch(text) is None:
        expected = "1 to 128 visible ASCII characters"
        raise InvalidInputError(
            [Fault("Idempotency-Key", expected, render_value(text))]
        )
    return text


def _parse_issue(body: dict[str, Any]) -> tuple[str, KeyRole]:
    role = body.get("role", KeyRole.CALLER.value)
    workspace = body.get("workspace", "")
    faults = [
        Fault(field, "no such field", render_value(body[field]))
        for field in sorted(set(body) - {"role", "workspace"})
    ]
    if role not in list(KeyRole):
        faults.append(Fault("role", "caller or operator", render_value(role)))
    if not isinstance(workspace, str):
        faults.append(Fault("workspace", "a name", render_value(workspace)))
    if faults:
        raise InvalidInputError(faults)
    return workspace, KeyRole(role)


def _status(result: ChangeResult) -> int:
    return 200 if result.in_force else 202


def _change_body(result: ChangeResult) -> ChangeResponse:
    return ChangeResponse(
        version=result.version,
        in_force=result.in_force,
        pending=list(result.pending),
    )
