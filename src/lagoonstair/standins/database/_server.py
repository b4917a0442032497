"""Serves one member of a database group over HTTP/1.1 with JSON."""

import functools
import urllib.parse
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.endpoints._messages import (
    CALL_HEADER,
    INSTANCE_HEADER,
    REFUSED_STATUS,
    Acknowledged,
    Connect,
    Fence,
    Follow,
    Promote,
    Refusal,
    Rollback,
)
from lagoonstair.ports import (
    Commit,
    EndpointRefusal,
    EndpointRefusedError,
    Execute,
    Run,
)
from lagoonstair.standins.database._config import (
    DatabaseConfig,
    FaultControl,
)
from lagoonstair.standins.database._log import LogPage
from lagoonstair.standins.database._member import Member
from lagoonstair.standins.database._replication import Replication
from lagoonstair.standins.database._slots import Slots
from lagoonstair.wire import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)

MAX_BODY_BYTES = 8 * 1024 * 1024
"""The maximum size of a request body, in bytes."""

MAX_RECORDED_CALLS = 100_000
"""The maximum number of recorded calls; older ones are dropped."""

MAX_LOG_WAIT_SECONDS = 2.0
"""The longest that a log request may wait for new entries, in seconds."""

StatementCall = Connect | Run | Execute | Commit | Rollback
"""The calls of statement connections, which the counted faults apply to."""


class Received(msgspec.Struct, frozen=True, kw_only=True):
    """A recorded call, or the end of a connection.

    Attributes:
        connection: The number of the connection.
        target: The call's path and query, or ``closed`` for the end of the
            connection.
        headers: The call's headers.
        body: The call's body, decoded as UTF-8.
    """

    connection: int
    target: str
    headers: Mapping[str, str] = {}
    body: str = ""


class _NoAnswer(bytes):
    """A body that makes the HTTP server close the connection unanswered."""

    def __len__(self) -> int:
        raise trio.BrokenResourceError(
            "the answer is dropped by an injected fault"
        )


class Database:
    """A server for one member of a database group.

    Attributes:
        member: The member's state machine.
        faults: The member's fault injection.
        received: The recorded calls, if the settings ask for recording.
        open_connections: The numbers of the open statement connections.
        arrived: The number of calls that have arrived, whether they ran or
            not; calls that open a connection aren't counted.
    """

    def __init__(self, cfg: DatabaseConfig) -> None:
        self._cfg = cfg
        self._members = dict(cfg.members)
        self.member = Member(cfg)
        self.faults = FaultControl()
        self.received: deque[Received] = deque(maxlen=MAX_RECORDED_CALLS)
        self.open_connections: set[int] = set()
        self.arrived = 0
        self._call_arrived = trio.Event()
        self._connection_closed = trio.Event()
        self._slots = Slots(cfg.slots, self.member.in_transaction)
        self._replication = Replication(self.member, self.faults, self._members)
        self._log_changed = trio.Event()
        self._previous_response: HttpResponse | None = None

    @property
    def slots_used(self) -> int:
        """The number of slots that are held."""
        return self._slots.used

    @classmethod
    def from_config(cls, cfg: DatabaseConfig) -> "Database":
        """Creates a member from its settings."""
        return cls(cfg)

    def set_member_addresses(self, members: Mapping[str, Address]) -> None:
        """Adds addresses of the group's members and restarts replication."""
        self._members.update(members)
        self._replication.restart()

    async def wait_arrived(self, count: int) -> None:
        """Waits until at least ``count`` calls have arrived."""
        while self.arrived < count:
            await self._call_arrived.wait()

    async def wait_idle(self) -> None:
        """Waits until no statement connection is open."""
        while self.open_connections:
            await self._connection_closed.wait()

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled.

        Args:
            host: The IP address to listen on.
            port: The TCP port to listen on; 0 takes a free one.
            task_status: Reports the bound port once the server listens.
        """
        server = HttpServer(
            self._handle,
            limits=HttpLimits(
                body_bytes=MAX_BODY_BYTES, idle_timeout=float("inf")
            ),
            on_close=self._on_connection_closed,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._replication.run)
            bound = await nursery.start(server.serve, host, port)
            task_status.started(bound)

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        path, _, query = req.target.partition("?")
        try:
            if path.startswith("/admin/"):
                return self._handle_admin_call(path, req.body)
            return await self._dispatch(path, query, req)
        except EndpointRefusedError as exc:
            return self._refusal(req, 0, exc)
        except (msgspec.MsgspecError, ValueError) as exc:
            bad = EndpointRefusedError(EndpointRefusal.BAD_REQUEST, str(exc))
            return self._refusal(req, 0, bad)

    async def _dispatch(
        self, path: str, query: str, req: HttpRequest
    ) -> HttpResponse:
        if path != "/v1/connect":
            self.arrived += 1
            self._call_arrived.set()
            self._call_arrived = trio.Event()
        caller = req.headers.get(INSTANCE_HEADER, "")
        await self.faults.wait_reachable(caller)
        self._record(req)
        if message := STATEMENT_CALLS.get(path):
            resp = await self._handle_statement_call(message, req)
        else:
            resp = await self._handle_control_call(path, query, req)
        await self.faults.wait_reachable(caller)
        return resp

    async def _handle_control_call(
        self, path: str, query: str, req: HttpRequest
    ) -> HttpResponse:
        match path:
            case "/v1/status":
                status = msgspec.structs.replace(
                    self.member.status(),
                    contact_age=self._replication.contact_age(),
                )
                return _answer(req, status)
            case "/v1/fence":
                fence = msgspec.json.decode(req.body, type=Fence)
                granted = self.member.fence(fence.term, fence.candidate)
                self._after_control_call()
                return _answer(req, granted)
            case "/v1/promote":
                promote = msgspec.json.decode(req.body, type=Promote)
                status = self.member.promote(promote.term, promote.candidate)
                self._after_control_call()
                return _answer(req, status)
            case "/v1/follow":
                follow = msgspec.json.decode(req.body, type=Follow)
                status = self.member.follow(follow.term, follow.primary)
                self._after_control_call()
                return _answer(req, status)
            case "/v1/log":
                return _answer(req, await self._handle_log_call(query))
            case _:
                return HttpResponse(status=404, body=b"{}")

    async def _handle_log_call(self, query: str) -> LogPage:
        args = dict(urllib.parse.parse_qsl(query))
        if "term" not in args:
            return self.member.page(0, whole=True)
        after = int(args.get("after", "0"))
        wait = min(float(args.get("wait", "0")), MAX_LOG_WAIT_SECONDS)
        term = int(args["term"])
        with trio.move_on_after(wait):
            self.member.check_replica(term)
            while self.member.last.offset <= after:
                await self._log_changed.wait()
                self.member.check_replica(term)
        self.member.check_replica(term)
        return self.member.page(after)

    async def _handle_statement_call(
        self, message: type[StatementCall], req: HttpRequest
    ) -> HttpResponse:
        faults = self.faults
        call = msgspec.json.decode(req.body, type=message)
        opening = isinstance(call, Connect)
        if not opening and faults.consume("drop_before"):
            return HttpResponse(status=200, body=_NoAnswer())
        try:
            body = await self._perform(call, req.connection)
            resp = _answer(req, body)
        except EndpointRefusedError as exc:
            resp = self._refusal(req, call.call_id, exc)
        if opening:
            return resp
        if faults.consume("hold_after"):
            await faults.wait_released()
        return self._apply_answer_faults(resp)

    def _apply_answer_faults(self, resp: HttpResponse) -> HttpResponse:
        faults = self.faults
        previous, self._previous_response = self._previous_response, resp
        if faults.consume("drop_after"):
            return HttpResponse(status=200, body=_NoAnswer())
        if previous is not None and faults.consume("crossed"):
            return previous
        if faults.consume("truncated"):
            half = resp.body[: len(resp.body) // 2]
            return HttpResponse(status=resp.status, body=half)
        return resp

    async def _perform(self, call: StatementCall, conn_id: int) -> Any:
        await self._claim_connection(conn_id)
        match call:
            case Connect():
                return Acknowledged(call.call_id)
            case Rollback():
                self.member.rollback(conn_id)
                self._slots.release(conn_id)
                return Acknowledged(call.call_id)
            case Run():
                if self.member.in_transaction(conn_id):
                    raise EndpointRefusedError(
                        EndpointRefusal.BAD_REQUEST,
                        "a transaction is open",
                    )
                work = functools.partial(self.member.run, call)
            case Execute():
                work = functools.partial(self.member.execute, conn_id, call)
            case Commit():
                work = functools.partial(self.member.commit, conn_id, call)
        return await self._run_in_slot(conn_id, work)

    async def _run_in_slot(self, conn_id: int, work: Callable[[], Any]) -> Any:
        async with self._slots.use(conn_id):
            seconds = self._cfg.service_seconds + self.faults.faults.slow
            if seconds:
                await trio.sleep(seconds)
            answer = work()
        self._notify()
        return answer

    async def _claim_connection(self, conn_id: int) -> None:
        if conn_id in self.open_connections:
            return
        if len(self.open_connections) >= self._cfg.connections:
            raise EndpointRefusedError(
                EndpointRefusal.BUSY,
                "no connection is left",
            )
        self.open_connections.add(conn_id)
        await trio.sleep(self._cfg.connect_seconds)

    def _on_connection_closed(self, conn_id: int) -> None:
        self.member.rollback(conn_id)
        self._slots.release(conn_id)
        self.open_connections.discard(conn_id)
        self._connection_closed.set()
        self._connection_closed = trio.Event()
        if self._cfg.record:
            self.received.append(Received(connection=conn_id, target="closed"))

    def _after_control_call(self) -> None:
        self._slots.release_ended()
        self._replication.restart_if_changed()
        self._notify()

    def _notify(self) -> None:
        self._log_changed.set()
        self._log_changed = trio.Event()

    def _record(self, req: HttpRequest) -> None:
        if self._cfg.record:
            self.received.append(
                Received(
                    connection=req.connection,
                    target=req.target,
                    headers=req.headers,
                    body=req.body.decode("utf-8", "replace"),
                )
            )

    def _refusal(
        self, req: HttpRequest, call_id: int, exc: EndpointRefusedError
    ) -> HttpResponse:
        body = Refusal(
            call_id=call_id,
            refusal=exc.refusal,
            message=exc.message,
            term=self.member.term,
        )
        return _answer(req, body, status=REFUSED_STATUS)

    def _handle_admin_call(self, path: str, body: bytes) -> HttpResponse:
        match path:
            case "/admin/faults":
                changes = msgspec.json.decode(body, type=dict[str, Any])
                content: Any = self.faults.change(changes)
            case "/admin/members":
                self.set_member_addresses(
                    msgspec.json.decode(body, type=dict[str, Address])
                )
                content = self._members
            case "/admin/received":
                content = list(self.received)
            case "/admin/usage":
                content = {
                    "connections": len(self.open_connections),
                    "slots": self._slots.used,
                }
            case _:
                return HttpResponse(status=404, body=b"{}")
        return HttpResponse(status=200, body=msgspec.json.encode(content))


STATEMENT_CALLS: dict[str, type[StatementCall]] = {
    "/v1/connect": Connect,
    "/v1/run": Run,
    "/v1/execute": Execute,
    "/v1/commit": Commit,
    "/v1/rollback": Rollback,
}
"""The message class of each statement call, by path."""


def _answer(req: HttpRequest, body: Any, *, status: int = 200) -> HttpResponse:
    call_id = req.headers.get(CALL_HEADER)
    headers = () if call_id is None else ((CALL_HEADER, call_id),)
    return HttpResponse(
        status=status, body=msgspec.json.encode(body), headers=headers
    )
