"""Takes callers' requests and answers them."""

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
BEARER = "bearer "


class Observation(NamedTuple):
    """One request, for the report.

    Attributes:
        workspace: The workspace, or empty when it is not known.
        kind: The error's kind; ``None`` when it was answered.
        latency: Seconds from its arrival to its answer.
        on_replica: Whether a replica served it.
    """

    workspace: str
    kind: ErrorKind | None
    latency: float
    on_replica: bool


class _Done(NamedTuple):
    """An answer and how it came about."""

    resp: HttpResponse
    kind: ErrorKind | None
    on_replica: bool


class CallerHandler:
    """Answers callers on one instance."""

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
        """Sets the collaborators.

        Args:
            config: The configuration in force.
            dispatcher: Sends requests to owners.
            tokens: Signs session and transaction tokens.
            in_flight: Counts started requests.
            deadline: Seconds that a request may take in all.
            observe: Gets one observation per request.
        """
        self._config = config
        self._dispatcher = dispatcher
        self._tokens = tokens
        self._in_flight = in_flight
        self._deadline = deadline
        self._observe = observe

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answers one request."""
        parts = [unquote(part) for part in req.target.split("?")[0].split("/")]
        match (req.method, parts):
            case ("GET", ["", "health"]):
                return self._health()
            case ("POST", ["", "v1", "workspaces", workspace, "routes", route]):
                return await self._counted(
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
                return await self._counted(
                    workspace,
                    self._end(req, workspace, token, commit=how == "commit"),
                )
        return encode_failure(
            LagoonstairError(
                ErrorKind.NOT_FOUND, f"nothing at {req.method} {req.target}"
            )
        )

    def _health(self) -> HttpResponse:
        """Tells the balancer whether this instance may get requests."""
        try:
            self._admit()
        except LagoonstairError as exc:
            return encode_failure(exc)
        return HEALTH

    async def _counted(
        self, workspace: str, work: Awaitable[_Done]
    ) -> HttpResponse:
        """Counts a started request and notes how it ended."""
        began = trio.current_time()
        with self._in_flight.track():
            done = await work
        self._observe(
            Observation(
                workspace=workspace,
                kind=done.kind,
                latency=trio.current_time() - began,
                on_replica=done.on_replica,
            )
        )
        return done.resp

    async def _run(self, req: HttpRequest, workspace: str, route: str) -> _Done:
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
                named = self._transaction(body.transaction, workspace)
                done = await self._dispatcher.forward_to(named.owner, forward)
            else:
                done = await self._dispatcher.forward(policy.group, forward)
        except LagoonstairError as exc:
            return self._failed(exc, request_id, session)
        return self._answered(session, done, request_id)

    async def _end(
        self, req: HttpRequest, workspace: str, token: str, *, commit: bool
    ) -> _Done:
        request_id = None
        session = None
        try:
            cfg = self._admit(draining_too=True)
            key_id = require_caller(cfg, workspace, bearer_key(req))
            body = decode_end_request(req)
            session = self._tokens.decode_session(body.session, workspace)
            named = self._transaction(token, workspace)
            request_id = body.request_id or named.transaction_id
            end = EndTransaction(
                workspace=workspace,
                group=named.group,
                key_id=key_id,
                transaction_id=named.transaction_id,
                mark=session.mark(named.group),
                commit=commit,
                request_id=request_id,
                digest=digest_of("commit", workspace, named.transaction_id),
                config_version=cfg.version,
                time_left=self._deadline,
            )
            done = await self._dispatcher.end(named.owner, end)
        except LagoonstairError as exc:
            return self._failed(exc, request_id, session)
        return self._answered(session, done, request_id)

    def _admit(self, *, draining_too: bool = False) -> Configuration:
        """Returns the configuration, if new work may start by it."""
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
            named = self._transaction(body.transaction, policy.workspace)
            if named.group != policy.group:
                raise LagoonstairError(
                    ErrorKind.TRANSACTION_GONE,
                    "the workspace has moved to another group",
                )
            transaction_id = named.transaction_id
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

    def _transaction(
        self, token: str | None, workspace: str
    ) -> TransactionToken:
        return self._tokens.decode_transaction(token or "", workspace)

    def _answered(
        self, session: SessionState, done: ExecutionResult, request_id: str
    ) -> _Done:
        state = session.with_mark(done.group, done.mark)
        transaction = None
        if done.transaction_id is not None:
            transaction = self._tokens.encode_transaction(
                TransactionToken(
                    workspace=session.workspace,
                    group=done.group,
                    owner=done.instance,
                    transaction_id=done.transaction_id,
                )
            )
        body = SuccessBody(
            outcome=Outcome.ANSWERED,
            results=done.results,
            session=self._tokens.encode_session(state),
            served_by=ServedBy(
                instance=done.instance,
                endpoint=done.endpoint,
                term=done.position.term,
                offset=done.position.offset,
            ),
            request_id=request_id,
            transaction=transaction,
            duplicate=done.duplicate,
        )
        return _Done(encode_success(body), None, done.on_replica)

    def _failed(
        self,
        exc: LagoonstairError,
        request_id: str | None,
        session: SessionState | None,
    ) -> _Done:
        token = None
        if exc.kind is ErrorKind.SESSION_LOST and session is not None:
            fresh = SessionState(workspace=session.workspace)
            token = self._tokens.encode_session(fresh)
        resp = encode_failure(exc, request_id=request_id, session=token)
        return _Done(resp, exc.kind, False)


def require_caller(
    cfg: Configuration, workspace: str, key: str | None
) -> str | None:
    """Checks that a key is one of the workspace, if there is a key.

    A transaction that was opened on an open route has no key; the owner
    compares the key with the one that opened the transaction.
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
    """The key in the request's Authorization header, if any."""
    value = req.headers.get("authorization")
    if value is None or not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip()


def new_request_id() -> str:
    """Makes an id for a request that came without one."""
    return uuid.uuid4().hex


def digest_of(*parts: Any) -> str:
    """Digests what is asked, to tell two requests with one id apart."""
    text = msgspec.msgpack.encode(parts, order="deterministic")
    return xxhash.xxh3_128_hexdigest(text)
