"""HTTP interface for callers."""

import uuid
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import unquote

import msgspec
import trio
import xxhash

from lagoonstair.config import (
    Configuration,
    KeyRole,
    Policy,
    authorize,
)
from lagoonstair.exceptions import ErrorKind, LagoonstairError, Outcome
from lagoonstair.service._caller_messages import (
    BEGIN,
    RouteRequest,
    ServedBy,
    SuccessBody,
    decode_end_request,
    decode_route_request,
    encode_failure,
    encode_success,
)
from lagoonstair.service._config_view import ConfigView
from lagoonstair.service._dispatch import Dispatcher
from lagoonstair.service._messages import (
    EndTransaction,
    ExecutionResult,
    Forward,
)
from lagoonstair.service._started import InFlightWork
from lagoonstair.sessions import SessionState, TokenCodec, TransactionToken
from lagoonstair.wire import HttpRequest, HttpResponse

HEALTH = HttpResponse(status=200, body=b'{"status":"ok"}')
"""Response to a health check while requests are accepted."""

BEARER = "bearer "
"""Scheme of the Authorization header, in lower case."""


class Observation(NamedTuple):
    """The measurement of one request.

    Attributes:
        workspace: The workspace that the request names.
        kind: The kind of error; ``None`` if the request was answered.
        latency: Time from the request's arrival to its response, in seconds.
        on_replica: Whether a replica served the request.
    """

    workspace: str
    kind: ErrorKind | None
    latency: float
    on_replica: bool


class _HandledRequest(NamedTuple):
    """A response, with what the measurement of its request needs."""

    resp: HttpResponse
    kind: ErrorKind | None
    on_replica: bool


class CallerHandler:
    """Handles the callers' HTTP requests to one instance."""

    def __init__(
        self,
        *,
        config: ConfigView,
        dispatcher: Dispatcher,
        tokens: TokenCodec,
        in_flight: InFlightWork,
        deadline: float,
        observe: Callable[[Observation], None],
    ) -> None:
        """Initializes the handler.

        Args:
            config: The configuration in force.
            dispatcher: Forwards requests to the owners of groups.
            tokens: Encodes and verifies session and transaction tokens.
            in_flight: Counts the requests in progress.
            deadline: Time limit of a request, in seconds.
            observe: Called with the measurement of each request.
        """
        self._config = config
        self._dispatcher = dispatcher
        self._tokens = tokens
        self._in_flight = in_flight
        self._deadline = deadline
        self._observe = observe

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answers a request of a caller or a health check."""
        parts = [unquote(part) for part in req.target.split("?")[0].split("/")]
        match (req.method, parts):
            case ("GET", ["", "health"]):
                return self._health()
            case ("POST", ["", "v1", "workspaces", workspace, "routes", route]):
                return await self._measured(
                    workspace, self._run(req, workspace, route)
                )
            case (
                "POST",
                [
                    "",
                    "v1",
                    "workspaces",
                    workspace,
                    "transactions",
                    token,
                    "commit" | "rollback" as how,
                ],
            ):
                return await self._measured(
                    workspace,
                    self._end(req, workspace, token, commit=how == "commit"),
                )
        return encode_failure(
            LagoonstairError(
                ErrorKind.NOT_FOUND, f"nothing at {req.method} {req.target}"
            )
        )

    def _health(self) -> HttpResponse:
        """Tells a load balancer whether this instance accepts requests."""
        try:
            self._admit()
        except LagoonstairError as exc:
            return encode_failure(exc)
        return HEALTH

    async def _measured(
        self, workspace: str, work: Awaitable[_HandledRequest]
    ) -> HttpResponse:
        """Counts a request while it is in progress and records its result."""
        started_at = trio.current_time()
        with self._in_flight.track():
            handled = await work
        self._observe(
            Observation(
                workspace=workspace,
                kind=handled.kind,
                latency=trio.current_time() - started_at,
                on_replica=handled.on_replica,
            )
        )
        return handled.resp

    async def _run(
        self, req: HttpRequest, workspace: str, route: str
    ) -> _HandledRequest:
        request_id = None
        session = None
        try:
            cfg = self._admit()
            policy, key_id = authorize(cfg, workspace, route, bearer_key(req))
            body = decode_route_request(req)
            session = self._tokens.decode_session(body.session, workspace)
            request_id = body.request_id or new_request_id()
            forward = self._forward(
                cfg, policy, key_id, body, session, request_id
            )
            if forward.transaction_id is not None:
                opened = self._decode_transaction(body.transaction, workspace)
                result = await self._dispatcher.forward_to(
                    opened.owner, forward
                )
            else:
                result = await self._dispatcher.forward(policy.group, forward)
        except LagoonstairError as exc:
            return self._failed(exc, request_id, session)
        return self._answered(session, result, request_id)

    async def _end(
        self, req: HttpRequest, workspace: str, token: str, *, commit: bool
    ) -> _HandledRequest:
        request_id = None
        session = None
        try:
            cfg = self._admit(draining_too=True)
            key_id = require_caller(cfg, workspace, bearer_key(req))
            body = decode_end_request(req)
            session = self._tokens.decode_session(body.session, workspace)
            opened = self._decode_transaction(token, workspace)
            request_id = body.request_id or opened.transaction_id
            end = EndTransaction(
                workspace=workspace,
                group=opened.group,
                key_id=key_id,
                transaction_id=opened.transaction_id,
                mark=session.mark(opened.group),
                commit=commit,
                request_id=request_id,
                digest=digest_of("commit", workspace, opened.transaction_id),
                config_version=cfg.version,
                time_left=self._deadline,
            )
            result = await self._dispatcher.end(opened.owner, end)
        except LagoonstairError as exc:
            return self._failed(exc, request_id, session)
        return self._answered(session, result, request_id)

    def _admit(self, *, draining_too: bool = False) -> Configuration:
        """Returns the configuration if a request may start.

        Args:
            draining_too: Whether the request may start during a shutdown.

        Raises:
            LagoonstairError: ``DRAINING`` or ``NOT_FRESH``; it may not.
        """
        if not draining_too:
            self._in_flight.require_accepting()
        return self._config.require_fresh(trio.current_time())

    def _forward(
        self,
        cfg: Configuration,
        policy: Policy,
        key_id: str | None,
        body: RouteRequest,
        session: SessionState,
        request_id: str,
    ) -> Forward:
        begin = body.transaction == BEGIN
        transaction_id = None
        if body.transaction is not None and not begin:
            opened = self._decode_transaction(
                body.transaction, policy.workspace
            )
            if opened.group != policy.group:
                raise LagoonstairError(
                    ErrorKind.TRANSACTION_GONE,
                    "the workspace has moved to another group",
                )
            transaction_id = opened.transaction_id
        return Forward(
            workspace=policy.workspace,
            route=policy.route,
            key_id=key_id,
            params=body.params,
            request_id=request_id,
            digest=digest_of(policy.route, policy.workspace, body.params),
            mark=session.mark(policy.group),
            config_version=cfg.version,
            time_left=self._deadline,
            begin=begin,
            transaction_id=transaction_id,
        )

    def _decode_transaction(
        self, token: str | None, workspace: str
    ) -> TransactionToken:
        return self._tokens.decode_transaction(token or "", workspace)

    def _answered(
        self, session: SessionState, result: ExecutionResult, request_id: str
    ) -> _HandledRequest:
        state = session.with_mark(result.group, result.mark)
        transaction = None
        if result.transaction_id is not None:
            transaction = self._tokens.encode_transaction(
                TransactionToken(
                    workspace=session.workspace,
                    group=result.group,
                    owner=result.instance,
                    transaction_id=result.transaction_id,
                )
            )
        body = SuccessBody(
            outcome=Outcome.ANSWERED,
            results=result.results,
            session=self._tokens.encode_session(state),
            served_by=ServedBy(
                instance=result.instance,
                endpoint=result.endpoint,
                term=result.position.term,
                offset=result.position.offset,
            ),
            request_id=request_id,
            transaction=transaction,
            duplicate=result.duplicate,
        )
        return _HandledRequest(encode_success(body), None, result.on_replica)

    def _failed(
        self,
        exc: LagoonstairError,
        request_id: str | None,
        session: SessionState | None,
    ) -> _HandledRequest:
        token = None
        if exc.kind is ErrorKind.SESSION_LOST and session is not None:
            fresh = SessionState(workspace=session.workspace)
            token = self._tokens.encode_session(fresh)
        resp = encode_failure(exc, request_id=request_id, session=token)
        return _HandledRequest(resp, exc.kind, False)


def require_caller(
    cfg: Configuration, workspace: str, key: str | None
) -> str | None:
    """Checks that a caller's key, if any, belongs to the workspace.

    A transaction that was opened on an open route has no key. The owner
    compares the key with the one that opened the transaction.

    Args:
        cfg: The configuration in force.
        workspace: The workspace of the request.
        key: The caller's key, or ``None`` without one.

    Returns:
        The ID of the key, or ``None`` without one.

    Raises:
        LagoonstairError: The key is invalid or belongs elsewhere.
    """
    if key is None:
        return None
    record = cfg.authenticate(key)
    if record.role is not KeyRole.CALLER or record.workspace != workspace:
        raise LagoonstairError(
            ErrorKind.FORBIDDEN, "the key is not one of this workspace"
        )
    return record.id


def bearer_key(req: HttpRequest) -> str | None:
    """Returns the bearer key in the Authorization header, if any."""
    value = req.headers.get("authorization")
    if value is None or not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip()


def new_request_id() -> str:
    """Generates an ID for a request that was sent without one."""
    return uuid.uuid4().hex


def digest_of(*parts: Any) -> str:
    """Returns a digest that distinguishes requests with the same ID.

    Args:
        parts: The content of the request; must be encodable as MessagePack.
    """
    text = msgspec.msgpack.encode(parts, order="deterministic")
    return xxhash.xxh3_128_hexdigest(text)
