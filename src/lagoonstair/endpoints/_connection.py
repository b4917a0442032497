"""Statement calls to an endpoint on one connection."""

import secrets
from collections.abc import Callable
from typing import NoReturn, Protocol, TypeVar

import msgspec

from lagoonstair.endpoints._messages import (
    INSTANCE_HEADER,
    REFUSED_STATUS,
    Acknowledged,
    Connect,
    Refusal,
    Rollback,
)
from lagoonstair.endpoints._socket import Socket
from lagoonstair.ports import (
    Commit,
    EndpointRefusedError,
    Execute,
    ResultUnknownError,
    Run,
    RunAnswer,
)
from lagoonstair.wire import ClientResponse

CALL_ID_BITS = 52
"""Number of random bits of a call id.

JSON readers that hold numbers as doubles represent such an id exactly.
"""


class _HasCallId(Protocol):
    @property
    def call_id(self) -> int: ...


AnswerT = TypeVar("AnswerT", bound=_HasCallId)
StatementCall = Connect | Run | Execute | Commit | Rollback

_encoder = msgspec.json.Encoder()
_run_answer_decoder = msgspec.json.Decoder(RunAnswer)
_acknowledged_decoder = msgspec.json.Decoder(Acknowledged)
_refusal_decoder = msgspec.json.Decoder(Refusal)


def random_call_id() -> int:
    """Returns a call id that is unlikely to be used by any other call.

    That includes the calls of other instances.
    """
    return secrets.randbits(CALL_ID_BITS)


class HttpEndpointConnection:
    """One connection to an endpoint for statement calls.

    Each call is sent with a call id that the connection generates, because
    the ids of two callers may be equal. The answer is returned with the
    caller's id.

    Args:
        socket: The HTTP connection.
        instance_name: The name under which the instance identifies itself.
        make_id: Generates the call ids.
    """

    def __init__(
        self,
        socket: Socket,
        instance_name: str,
        *,
        make_id: Callable[[], int] = random_call_id,
    ) -> None:
        self._socket = socket
        self._headers = [(INSTANCE_HEADER, instance_name)]
        self._make_id = make_id

    async def claim(self) -> None:
        """Reserves the connection at the endpoint.

        The endpoint performs its own work to open a connection now and not
        with the first statement.

        Raises:
            EndpointRefusedError: The endpoint has no connection left.
            EndpointUnreachableError: Nothing was sent.
            ResultUnknownError: There was no valid answer.
        """
        await self._call(
            "connect", Connect(self._make_id()), _acknowledged_decoder
        )

    async def run(self, call: Run) -> RunAnswer:
        """Runs statements as a single transaction."""
        return await self._call_with_results("run", call, len(call.statements))

    async def execute(self, call: Execute) -> RunAnswer:
        """Runs statements in the open transaction."""
        return await self._call_with_results(
            "execute", call, len(call.statements)
        )

    async def commit(self, call: Commit) -> RunAnswer:
        """Commits the open transaction."""
        return await self._call_with_results("commit", call, None)

    async def rollback(self) -> None:
        """Rolls the open transaction back."""
        await self._call(
            "rollback", Rollback(self._make_id()), _acknowledged_decoder
        )

    def close(self) -> None:
        """Closes the connection at once."""
        self._socket.close()

    async def _call_with_results(
        self, path: str, call: Run | Execute | Commit, count: int | None
    ) -> RunAnswer:
        sent = msgspec.structs.replace(call, call_id=self._make_id())
        answer = await self._call(path, sent, _run_answer_decoder)
        if count is not None and len(answer.results) != count:
            self._fail(
                f"received {len(answer.results)} results for {count} statements"
            )
        return msgspec.structs.replace(answer, call_id=call.call_id)

    async def _call(
        self,
        path: str,
        call: StatementCall,
        decoder: msgspec.json.Decoder[AnswerT],
    ) -> AnswerT:
        http = await self._socket.call(
            f"/v1/{path}", _encoder.encode(call), self._headers
        )
        try:
            return self._decode_answer(http, call.call_id, decoder)
        except msgspec.MsgspecError as exc:
            self._socket.close()
            raise ResultUnknownError(f"malformed answer: {exc}") from exc

    def _decode_answer(
        self,
        http: ClientResponse,
        call_id: int,
        decoder: msgspec.json.Decoder[AnswerT],
    ) -> AnswerT:
        if http.status == REFUSED_STATUS:
            refusal = _refusal_decoder.decode(http.body)
            if refusal.call_id != call_id:
                self._fail("the refusal belongs to another call")
            raise EndpointRefusedError(
                refusal.refusal, refusal.message, term=refusal.term
            )
        if http.status != 200:
            self._fail(f"unexpected HTTP status {http.status}")
        answer = decoder.decode(http.body)
        if answer.call_id != call_id:
            self._fail("the answer belongs to another call")
        return answer

    def _fail(self, message: str) -> NoReturn:
        self._socket.close()
        raise ResultUnknownError(message)
