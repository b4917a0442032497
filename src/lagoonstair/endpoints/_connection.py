"""Statement calls on one connection."""

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
from lagoonstair.wire import HttpAnswer

CALL_ID_BITS = 52
"""Keeps an id exact in readers that hold numbers as doubles."""


class _Matched(Protocol):
    @property
    def call_id(self) -> int: ...


MatchedT = TypeVar("MatchedT", bound=_Matched)
StatementCall = Connect | Run | Execute | Commit | Rollback

_encoder = msgspec.json.Encoder()
_run_answers = msgspec.json.Decoder(RunAnswer)
_done_answers = msgspec.json.Decoder(Acknowledged)
_refusals = msgspec.json.Decoder(Refusal)


def random_call_id() -> int:
    """Makes an id that no other call, of any instance, is likely to have."""
    return secrets.randbits(CALL_ID_BITS)


class HttpEndpointConnection:
    """One connection for statements.

    Each call goes out under an id of the connection's own making, since the
    ids of two callers may coincide; the answer carries the caller's id again.
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
        """Claims the connection at the endpoint, which pays its cost."""
        await self._ask("connect", Connect(self._make_id()), _done_answers)

    async def run(self, call: Run) -> RunAnswer:
        """Runs statements as one transaction."""
        return await self._results("run", call, len(call.statements))

    async def execute(self, call: Execute) -> RunAnswer:
        """Runs statements in the open transaction."""
        return await self._results("execute", call, len(call.statements))

    async def commit(self, call: Commit) -> RunAnswer:
        """Commits the open transaction."""
        return await self._results("commit", call, None)

    async def rollback(self) -> None:
        """Rolls the open transaction back."""
        await self._ask("rollback", Rollback(self._make_id()), _done_answers)

    def close(self) -> None:
        """Closes the connection at once."""
        self._socket.close()

    async def _results(
        self, path: str, call: Run | Execute | Commit, count: int | None
    ) -> RunAnswer:
        sent = msgspec.structs.replace(call, call_id=self._make_id())
        answer = await self._ask(path, sent, _run_answers)
        if count is not None and len(answer.results) != count:
            self._odd(f"{len(answer.results)} results, {count} statements")
        return msgspec.structs.replace(answer, call_id=call.call_id)

    async def _ask(
        self,
        path: str,
        call: StatementCall,
        answers: msgspec.json.Decoder[MatchedT],
    ) -> MatchedT:
        http = await self._socket.call(
            f"/v1/{path}", _encoder.encode(call), self._headers
        )
        try:
            return self._match(http, call.call_id, answers)
        except msgspec.MsgspecError as exc:
            self._socket.close()
            raise ResultUnknownError(f"not an answer: {exc}") from exc

    def _match(
        self,
        http: HttpAnswer,
        call_id: int,
        answers: msgspec.json.Decoder[MatchedT],
    ) -> MatchedT:
        if http.status == REFUSED_STATUS:
            refusal = _refusals.decode(http.body)
            if refusal.call_id != call_id:
                self._odd("a refusal of another call")
            raise EndpointRefusedError(
                refusal.refusal, refusal.message, term=refusal.term
            )
        if http.status != 200:
            self._odd(f"status {http.status}")
        answer = answers.decode(http.body)
        if answer.call_id != call_id:
            self._odd("the answer to another call")
        return answer

    def _odd(self, message: str) -> NoReturn:
        self._socket.close()
        raise ResultUnknownError(message)
