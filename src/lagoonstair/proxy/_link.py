"""One connection to an endpoint."""

import itertools
import select
import socket
from collections.abc import Iterable, Sequence

import trio

from lagoonstair._types import Position
from lagoonstair.platform import lines
from lagoonstair.routing import Endpoint
from lagoonstair.statements import (
    Failure,
    PreparedStatement,
    Reply,
    TransactionState,
)

READ_BYTES = 64 * 1024

TCP_USER_TIMEOUT_MS = 1500
"""Unacknowledged bytes end a connection after this time; a lost packet is
sent again within some hundred milliseconds."""

MAX_PREPARED_STATEMENTS = 64
"""Prepared statements of one connection; then it is reset."""


class LinkError(Exception):
    """The connection can't be used any more.

    Attributes:
        refusal: The endpoint's answer to the opening, if it gave one.
    """

    def __init__(self, message: str, refusal: Failure | None = None) -> None:
        super().__init__(message)
        self.refusal = refusal


class Link:
    """A connection to an endpoint on behalf of one workspace.

    Attributes:
        endpoint: The endpoint.
        workspace: On whose behalf it was opened.
        state: Whether a transaction is open on it.
        position: The end of the endpoint's log, if its last answer told it;
            an older one would seem to hold what came since.
        usable: False once a statement was cut off or an odd answer came.
        used_at: When it last answered, in seconds.
    """

    def __init__(
        self, stream: trio.SocketStream, endpoint: Endpoint, workspace: str
    ) -> None:
        self._stream = stream
        self._reader = lines.ReplyReader()
        self._values: dict[str, str] = {}
        self._prepared: dict[PreparedStatement, str] = {}
        self._names = itertools.count(1)
        self.endpoint = endpoint
        self.workspace = workspace
        self.state = TransactionState.IDLE
        self.position: Position | None = None
        self.is_usable = True
        self.last_used_at = trio.current_time()

    @classmethod
    async def open(cls, endpoint: Endpoint, workspace: str) -> "Link":
        """Opens a connection.

        Raises:
            LinkError: The endpoint is out of reach or refused.
        """
        try:
            stream = await trio.open_tcp_stream(*endpoint.address)
        except OSError as exc:
            raise LinkError(f"{endpoint.name}: {exc}") from exc
        stream.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        link = cls(stream, endpoint, workspace)
        start = lines.encode_start(endpoint.group, workspace, endpoint.name)
        try:
            (reply,) = await link._exchange([start])
        except BaseException:
            link.close()
            raise
        if isinstance(reply.result, Failure):
            link.close()
            raise LinkError(f"{endpoint.name}: {reply.result}", reply.result)
        return link

    async def run(self, request_id: str, text: str) -> Reply:
        """Runs one statement.

        Raises:
            LinkError: No whole answer came.
        """
        (reply,) = await self._exchange([lines.encode_query(request_id, text)])
        return reply

    async def run_internal(self, text: str) -> Reply:
        """Runs a statement of the system's own."""
        return await self.run(lines.INTERNAL_REQUEST_ID, text)

    async def apply_session(
        self, values: dict[str, str], shape: PreparedStatement | None
    ) -> str:
        """Gives the connection a session's values and prepared statement.

        Returns:
            The name under which the shape is prepared here; empty without
            a shape.

        Raises:
            LinkError: No whole answer came, or one of them was refused.
        """
        texts = list(self._texts_for(values, shape))
        if texts:
            queries = [
                lines.encode_query(lines.INTERNAL_REQUEST_ID, text)
                for text in texts
            ]
            for reply in await self._exchange(queries):
                if isinstance(reply.result, Failure):
                    self.is_usable = False
                    raise LinkError(f"{self.endpoint.name}: {reply.result}")
        self._values = dict(values)
        return "" if shape is None else self._prepared[shape]

    def is_alive(self) -> bool:
        """Whether the endpoint has neither closed it nor sent anything."""
        if not self.is_usable or self._reader.has_partial_reply:
            return False
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        """Closes the connection at once, which rolls back."""
        self.is_usable = False
        self._stream.socket.close()

    def _texts_for(
        self, values: dict[str, str], shape: PreparedStatement | None
    ) -> Iterable[str]:
        known = self._values
        stale = known.keys() - values.keys()
        if stale or len(self._prepared) >= MAX_PREPARED_STATEMENTS:
            known = {}
            self._prepared.clear()
            yield lines.RESET
        for name, value in values.items():
            if known.get(name) != value:
                yield lines.set_text(name, value)
        if shape is not None and shape not in self._prepared:
            name = f"p{next(self._names)}"
            self._prepared[shape] = name
            yield lines.prepare_text(name, shape)

    async def _exchange(self, messages: Sequence[bytes]) -> list[Reply]:
        if not self.is_usable:
            raise LinkError(f"{self.endpoint.name}: not usable")
        # A cancelled exchange leaves it unusable.
        self.is_usable = False
        replies: list[Reply] = []
        try:
            await self._stream.send_all(b"".join(messages))
            while len(replies) < len(messages):
                replies.append(await self._receive())
        except (
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            lines.BadLineError,
        ) as exc:
            raise LinkError(f"{self.endpoint.name}: {exc}") from exc
        self.is_usable = True
        self.last_used_at = trio.current_time()
        self.state = replies[-1].state
        self.position = replies[-1].position
        return replies

    async def _receive(self) -> Reply:
        while (reply := self._reader.next_reply()) is None:
            chunk = await self._stream.receive_some(READ_BYTES)
            if not chunk:
                raise trio.BrokenResourceError("closed by the endpoint")
            self._reader.feed(chunk)
        return reply
