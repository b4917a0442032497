"""Control calls to one endpoint, and opening connections for statements."""

from typing import TypeVar

import msgspec

from lagoonstair._types import Address
from lagoonstair.endpoints._connection import (
    HttpEndpointConnection,
    random_call_id,
)
from lagoonstair.endpoints._messages import (
    CALL_HEADER,
    INSTANCE_HEADER,
    REFUSED_STATUS,
    Fence,
    Follow,
    Promote,
    Refusal,
)
from lagoonstair.endpoints._socket import Socket
from lagoonstair.ports import (
    EndpointRefusedError,
    EndpointStatus,
    EndpointUnreachableError,
    FenceAnswer,
    ResultUnknownError,
)
from lagoonstair.wire import ClientResponse

MAX_IDLE_CONTROL_CONNECTIONS = 2
"""Number of idle connections for control calls kept per endpoint."""

AnswerT = TypeVar("AnswerT")


class HttpEndpoint:
    """Client of one database that speaks HTTP/1.1 with JSON.

    Args:
        address: The address on which the endpoint listens.
        instance_name: The name under which the instance identifies itself.
    """

    def __init__(self, address: Address, instance_name: str) -> None:
        self._address = address
        self._instance_name = instance_name
        self._idle: list[Socket] = []

    async def connect(self) -> HttpEndpointConnection:
        """Opens a connection for statements.

        Raises:
            EndpointUnreachableError: The connection could not be opened.
            EndpointRefusedError: The endpoint has no connection left.
        """
        socket = await Socket.open(self._address)
        conn = HttpEndpointConnection(socket, self._instance_name)
        try:
            await conn.claim()
        except ResultUnknownError as exc:
            conn.close()
            raise EndpointUnreachableError(str(exc)) from exc
        except BaseException:
            conn.close()
            raise
        return conn

    async def status(self) -> EndpointStatus:
        """Returns the term, role and position of the member."""
        return await self._call_control("status", b"", EndpointStatus)

    async def fence(self, term: int, candidate: str) -> FenceAnswer:
        """Asks the member to grant ``term`` to ``candidate`` exclusively."""
        body = msgspec.json.encode(Fence(term, candidate))
        return await self._call_control("fence", body, FenceAnswer)

    async def promote(self, term: int, candidate: str) -> EndpointStatus:
        """Makes the member the primary of ``term``."""
        body = msgspec.json.encode(Promote(term, candidate))
        return await self._call_control("promote", body, EndpointStatus)

    async def follow(self, term: int, primary: str) -> EndpointStatus:
        """Tells the member which endpoint is the primary of ``term``."""
        body = msgspec.json.encode(Follow(term, primary))
        return await self._call_control("follow", body, EndpointStatus)

    def close(self) -> None:
        """Closes the idle connections for control calls."""
        while self._idle:
            self._idle.pop().close()

    async def _call_control(
        self, path: str, body: bytes, answer: type[AnswerT]
    ) -> AnswerT:
        socket = await self._take_socket()
        call_id = str(random_call_id())
        headers = [
            (INSTANCE_HEADER, self._instance_name),
            (CALL_HEADER, call_id),
        ]
        http = await socket.call(f"/v1/{path}", body, headers)
        try:
            return _decode(http, call_id, answer)
        except ResultUnknownError:
            socket.close()
            raise
        finally:
            self._return_socket(socket)

    async def _take_socket(self) -> Socket:
        while self._idle:
            socket = self._idle.pop()
            if socket.reusable:
                return socket
            socket.close()
        return await Socket.open(self._address)

    def _return_socket(self, socket: Socket) -> None:
        if len(self._idle) < MAX_IDLE_CONTROL_CONNECTIONS and socket.reusable:
            self._idle.append(socket)
        else:
            socket.close()


def _decode(
    http: ClientResponse, call_id: str, answer: type[AnswerT]
) -> AnswerT:
    if http.headers.get(CALL_HEADER) != call_id:
        raise ResultUnknownError("the answer belongs to another call")
    try:
        if http.status == REFUSED_STATUS:
            refusal = msgspec.json.decode(http.body, type=Refusal)
            raise EndpointRefusedError(
                refusal.refusal, refusal.message, term=refusal.term
            )
        if http.status == 200:
            return msgspec.json.decode(http.body, type=answer)
    except msgspec.MsgspecError as exc:
        raise ResultUnknownError(f"malformed answer: {exc}") from exc
    raise ResultUnknownError(f"unexpected HTTP status {http.status}")
