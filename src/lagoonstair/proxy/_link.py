"""A connection to an endpoint."""

import enum
import itertools
import socket
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

import trio

from lagoonstair._types import Position
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.platform import lines
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._sockets import has_unread_data, is_readable
from lagoonstair.proxy._supervisor import Supervisor
from lagoonstair.routing import Endpoint
from lagoonstair.statements import (
    UNSIGNED,
    AnswerMatcher,
    Expected,
    Failure,
    Mismatch,
    PreparedStatement,
    Reply,
    Success,
    TransactionState,
)

READ_BYTES = 64 * 1024
"""Maximum number of bytes read from the socket at once."""

VERIFY_SECONDS = 0.3
"""Time limit in seconds for the check whether a refusal is a copy of an earlier
one; it needs no slot of the endpoint."""

TCP_USER_TIMEOUT_MS = 1500
"""Time in milliseconds after which unacknowledged data ends a connection; a
lost packet is retransmitted within some hundred milliseconds."""

MAX_PREPARED_STATEMENTS = 64
"""Maximum number of prepared statements of a connection before it is reset."""


class LinkError(Exception):
    """The connection can no longer be used.

    Attributes:
        refusal: The endpoint's refusal to open the session, if it sent one.
        is_fault: Whether an unexpected exception, which has been reported, is
            the cause.
        is_reachable: Whether the endpoint has answered, so that it is not out
            of reach although the connection can't be used.
        is_doubtful: Whether an answer can't be told from a copy.
    """

    def __init__(
        self,
        message: str,
        refusal: Failure | None = None,
        *,
        is_fault: bool = False,
        is_reachable: bool = False,
        is_doubtful: bool = False,
    ) -> None:
        super().__init__(message)
        self.refusal = refusal
        self.is_fault = is_fault
        self.is_reachable = is_reachable or is_doubtful or refusal is not None
        self.is_doubtful = is_doubtful


class LinkUse(enum.Enum):
    """What a connection is needed for.

    Attributes:
        READ: A read, which can be tried again.
        WRITE: A write; its refusal must be certain.
        TRANSACTION: A transaction; that it was begun, and the refusal of a
            statement in it, must be certain.
    """

    READ = "read"
    WRITE = "write"
    TRANSACTION = "transaction"


class _Message(NamedTuple):
    """A message to an endpoint.

    Attributes:
        data: The encoded message.
        expected: The answer that it can lead to.
        request_id: The caller's id of the statement, for the log.
    """

    data: bytes
    expected: Expected
    request_id: str = lines.INTERNAL_REQUEST_ID


class Link:
    """A connection to an endpoint on behalf of one workspace.

    Attributes:
        endpoint: The endpoint.
        workspace: The workspace on whose behalf it was opened.
        state: Whether a transaction is open on it.
        position: The end of the endpoint's log if the last answer had it, else
            ``None``; an earlier one would wrongly count as including what was
            written since.
        is_usable: Whether it can run statements; false after a cancelled
            statement or a malformed answer.
        last_used_at: When it last answered, in seconds.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        endpoint: Endpoint,
        workspace: str,
        supervisor: Supervisor,
        on_unexpected: Callable[[], bool] = lambda: True,
        repeats_answers: Callable[[], bool] = lambda: True,
    ) -> None:
        self._stream = stream
        self._supervisor = supervisor
        self._on_unexpected = on_unexpected
        self._repeats_answers = repeats_answers
        self._reader = lines.ReplyReader(awaits_greeting=True)
        self._values: dict[str, str] = {}
        self._prepared: dict[PreparedStatement, str] = {}
        self._name_numbers = itertools.count(1)
        self._matcher = AnswerMatcher()
        self._is_in_step = True
        self._is_doubtful = False
        self.endpoint = endpoint
        self.workspace = workspace
        self.state = TransactionState.IDLE
        self.position: Position | None = None
        self.is_usable = True
        self.last_used_at = trio.current_time()

    @classmethod
    async def open(
        cls,
        endpoint: Endpoint,
        workspace: str,
        supervisor: Supervisor | None = None,
        on_unexpected: Callable[[], bool] = lambda: True,
        repeats_answers: Callable[[], bool] = lambda: True,
    ) -> "Link":
        """Opens a connection.

        Args:
            endpoint: The endpoint.
            workspace: The workspace on whose behalf it is opened.
            supervisor: Counts unexpected exceptions and answers.
            on_unexpected: Called when the endpoint has sent an answer that no
                statement can have led to; returns whether that is news.
            repeats_answers: Returns whether the endpoint is known to do that.

        Raises:
            LinkError: The endpoint is unreachable or refused, or its use
                raised an unexpected exception.
        """
        supervisor = supervisor or Supervisor(Metrics())
        try:
            start = lines.encode_start(endpoint.group, workspace, endpoint.name)
            stream = await trio.open_tcp_stream(*endpoint.address)
        except (OSError, lines.BadLineError) as exc:
            raise LinkError(f"{endpoint.name}: {exc}") from exc
        except Exception as exc:
            raise _report_fault(supervisor, endpoint, exc) from exc
        stream.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        link = cls(
            stream,
            endpoint,
            workspace,
            supervisor,
            on_unexpected,
            repeats_answers,
        )
        try:
            (reply,) = await link._exchange(
                [_Message(start, Expected.GREETING)]
            )
        except BaseException:
            link.close()
            raise
        if isinstance(reply.result, Failure):
            link.close()
            raise LinkError(f"{endpoint.name}: {reply.result}", reply.result)
        return link

    async def run(
        self,
        request_id: str,
        text: str,
        expected: Expected = Expected.SIGNED,
        *,
        has_effect: bool = True,
    ) -> Reply:
        """Runs one statement.

        Args:
            request_id: The caller's id of the statement.
            text: The statement's text.
            expected: The answer that it can lead to.
            has_effect: Whether a refusal promises that the statement had no
                effect, so that it must not be a copy of an earlier one.

        Raises:
            LinkError: No complete answer was received, or it can't be told
                from a copy.
        """
        data = lines.encode_query(request_id, text)
        before = self.state
        (reply,) = await self._exchange([_Message(data, expected, request_id)])
        if not self._is_doubtful:
            return reply
        is_single = before is TransactionState.IDLE and (
            expected is Expected.SIGNED
        )
        if is_single and (
            has_effect or self._matcher.can_begin(reply.position)
        ):
            return await self._verify_refusal(reply, request_id)
        self._is_in_step = False
        self.position = None
        if is_single:
            return reply
        raise LinkError(
            f"{self.endpoint.name}: doubtful answer", is_doubtful=True
        )

    async def run_internal(
        self, text: str, expected: Expected = Expected.UNCHANGED
    ) -> Reply:
        """Runs a statement that Lagoonstair itself issues.

        Args:
            text: The statement's text.
            expected: The answer that it can lead to.

        Raises:
            LinkError: No complete answer was received.
        """
        return await self.run(lines.INTERNAL_REQUEST_ID, text, expected)

    async def apply_session(
        self, values: dict[str, str], shape: PreparedStatement | None
    ) -> str:
        """Sets a session's values and prepares a statement on the connection.

        Args:
            values: The values that the session has set, by name.
            shape: The prepared statement that is to be run, if any.

        Returns:
            The name under which the shape is prepared on this connection;
            empty without a shape.

        Raises:
            LinkError: No complete answer was received, or the endpoint
                refused one of the statements.
            LagoonstairError: One of the statements is too long.
        """
        setup = list(self._setup_statements(values, shape))
        if setup:
            queries = self._encode_setup(setup)
            for reply in await self._exchange(queries):
                if isinstance(reply.result, Failure):
                    self.is_usable = False
                    raise LinkError(
                        f"{self.endpoint.name}: {reply.result}",
                        is_reachable=True,
                    )
        self._values = dict(values)
        return "" if shape is None else self._prepared[shape]

    def count_setup(
        self, values: dict[str, str], shape: PreparedStatement | None
    ) -> int:
        """Returns how many statements ``apply_session`` would send."""
        is_prepared = shape is None or shape in self._prepared
        if (
            self._values.keys() - values.keys()
            or len(self._prepared) >= MAX_PREPARED_STATEMENTS
        ):
            return 1 + len(values) + (shape is not None)
        return len(values.items() - self._values.items()) + (not is_prepared)

    @property
    def is_in_step(self) -> bool:
        """Whether its next answer certainly is that of its next statement.

        A refusal may be a copy of an earlier one on the connection. Where that
        is not verified, this is false afterwards.
        """
        return self.is_usable and self._is_in_step

    @property
    def reuse_obstacle(self) -> str:
        """Why no other operation may use it; empty if one may."""
        if not self.is_usable:
            return "unusable"
        if not self._is_in_step:
            return "out of step"
        if self.state is not TransactionState.IDLE:
            return "in transaction"
        return "exhausted" if self._matcher.is_exhausted else ""

    def suits(self, use: LinkUse, position: Position | None) -> bool:
        """Returns whether the answers for a use can be told from copies.

        Args:
            use: What it is needed for.
            position: The end of the endpoint's log, if known.
        """
        self._matcher.trusts_begin = not self._repeats_answers()
        match use:
            case LinkUse.READ:
                return True
            case LinkUse.WRITE:
                return self._matcher.can_refuse(
                    position
                ) or self._matcher.can_begin(position)
            case LinkUse.TRANSACTION:
                return self._matcher.can_begin(
                    position
                ) and self._matcher.can_refuse(position)

    def is_alive(self) -> bool:
        """Returns whether the endpoint has neither closed it nor sent data."""
        if not self.is_usable:
            return False
        if self._reader.has_partial_reply:
            self._report_unexpected("idle")
            return False
        if not is_readable(self._stream):
            return True
        if has_unread_data(self._stream):
            self._report_unexpected("idle")
        return False

    def close(self) -> None:
        """Closes the connection, which rolls back an open transaction."""
        self.is_usable = False
        self._stream.socket.close()

    def _encode_setup(self, texts: Iterable[str]) -> list[_Message]:
        """Encodes the statements that apply a session.

        Raises:
            LagoonstairError: One of them is too long. The connection is not
                usable any more, as they count as sent.
        """
        try:
            return [
                _Message(
                    lines.encode_query(lines.INTERNAL_REQUEST_ID, text),
                    Expected.UNCHANGED,
                )
                for text in texts
            ]
        except lines.BadLineError as exc:
            self.is_usable = False
            raise LagoonstairError(ErrorKind.TOO_LARGE, str(exc)) from exc

    def _setup_statements(
        self, values: dict[str, str], shape: PreparedStatement | None
    ) -> Iterable[str]:
        """Yields the statements that give the connection a session's state."""
        current_values = self._values
        removed = current_values.keys() - values.keys()
        if removed or len(self._prepared) >= MAX_PREPARED_STATEMENTS:
            current_values = {}
            self._prepared.clear()
            yield lines.RESET
        for name, value in values.items():
            if current_values.get(name) != value:
                yield lines.set_text(name, value)
        if shape is not None and shape not in self._prepared:
            name = f"p{next(self._name_numbers)}"
            self._prepared[shape] = name
            yield lines.prepare_text(name, shape)

    async def _exchange(self, messages: list[_Message]) -> list[Reply]:
        """Sends messages and receives an answer to each.

        Raises:
            LinkError: Not all answers were received.
        """
        if not self.is_usable:
            raise LinkError(f"{self.endpoint.name}: not usable")
        # A cancelled exchange leaves the connection unusable.
        self.is_usable = False
        self._is_doubtful = False
        self._matcher.trusts_begin = not self._repeats_answers()
        replies: list[Reply] = []
        with self._connection_errors(messages[0]):
            await self._stream.send_all(b"".join(m.data for m in messages))
            for message in messages:
                replies.append(await self._receive_answer(message))
        self.is_usable = True
        self.last_used_at = trio.current_time()
        self.state = replies[-1].state
        self.position = replies[-1].position
        return replies

    async def _verify_refusal(self, reply: Reply, request_id: str) -> Reply:
        """Finds out whether a refusal is a copy of an earlier one.

        A transaction is begun and rolled back: the statement's own answer comes
        before the answer to that.

        Args:
            reply: The refusal of a statement outside a transaction.
            request_id: The caller's id of the statement.

        Returns:
            The statement's own answer, with a position of the endpoint's log
            after it.

        Raises:
            LinkError: It can't be told.
        """
        begin = lines.begin_text(read_only=True)
        texts = ((begin, Expected.BEGUN), (lines.ROLLBACK, Expected.ENDED))
        messages = [
            _Message(
                lines.encode_query(lines.INTERNAL_REQUEST_ID, text), expected
            )
            for text, expected in texts
        ]
        self.is_usable = False
        with trio.move_on_after(VERIFY_SECONDS):
            with self._connection_errors(messages[0]):
                await self._stream.send_all(b"".join(m.data for m in messages))
                own, position = await self._receive_until_begun(
                    reply, request_id
                )
                ended = await self._receive_answer(messages[1])
                self._is_in_step &= isinstance(ended.result, Success)
            self.is_usable = True
            self.state = TransactionState.IDLE
            self.position = position
            return own._replace(position=position)
        raise LinkError(
            f"{self.endpoint.name}: doubtful answer", is_doubtful=True
        )

    async def _receive_until_begun(
        self, own: Reply, request_id: str
    ) -> tuple[Reply, Position | None]:
        """Receives until the answer to a BEGIN, which follows all others.

        Args:
            own: What may be the own answer of the statement before it.
            request_id: The caller's id of that statement.

        Returns:
            The statement's own answer, and the position that the answer to the
            BEGIN has.
        """
        while True:
            reply = await self._receive()
            match reply.result:
                case Success(signature=signature) if signature != UNSIGNED:
                    expected = Expected.SIGNED
                case _:
                    expected = Expected.BEGUN
            mismatch = self._matcher.check(
                expected, TransactionState.IDLE, reply
            )
            if isinstance(reply.result, Failure):
                # One of two refusals is the statement's own.
                mismatch = Mismatch.REPEATED
            elif mismatch is None and expected is Expected.BEGUN:
                return own, reply.position
            elif mismatch is None:
                own, mismatch = reply, Mismatch.REPEATED
            self._note_mismatch(mismatch, request_id)

    async def _receive_answer(self, message: _Message) -> Reply:
        """Receives the answer to a message, and skips what can't be it.

        The answer itself follows. What was skipped shows that the endpoint
        repeats answers, so the connection is not used again.
        """
        while True:
            reply = await self._receive()
            mismatch = self._matcher.check(message.expected, self.state, reply)
            if mismatch is None:
                return reply
            if isinstance(reply.result, Failure):
                self._is_doubtful = True
                return reply
            self._note_mismatch(mismatch, message.request_id)

    def _note_mismatch(self, mismatch: Mismatch, request_id: str) -> None:
        """Notes an answer that is not taken.

        Raises:
            LinkError: It may be the awaited one, so that nothing can be told.
        """
        self._is_in_step = False
        if mismatch is Mismatch.DOUBTFUL:
            raise LinkError(
                f"{self.endpoint.name}: doubtful answer", is_doubtful=True
            )
        self._report_unexpected(mismatch.value, request_id)

    @contextmanager
    def _connection_errors(self, message: _Message) -> Iterator[None]:
        """Turns what ends the connection into a ``LinkError``.

        Args:
            message: The first message that awaits its answer, for the log.
        """
        name = self.endpoint.name
        try:
            yield
        except lines.BadLineError as exc:
            self._report_malformed(str(exc), message)
            raise LinkError(f"{name}: {exc}", is_reachable=True) from exc
        except LinkError:
            raise
        except (
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as exc:
            raise LinkError(f"{name}: {exc}") from exc
        except Exception as exc:
            raise _report_fault(self._supervisor, self.endpoint, exc) from exc

    def _report_malformed(self, reason: str, message: _Message) -> None:
        """Counts and logs an answer that violates the protocol."""
        name = self.endpoint.name
        self._supervisor.metrics.count(
            "answers_malformed", endpoint=name, reason=reason
        )
        log_event(
            "answer malformed",
            request=message.request_id,
            endpoint=name,
            group=self.endpoint.group,
            cause=reason,
        )

    def _report_unexpected(
        self, reason: str, request_id: str = lines.INTERNAL_REQUEST_ID
    ) -> None:
        """Counts an answer that no statement can have led to.

        It is logged for each caller's request, and else once in a while.

        Args:
            reason: What shows it.
            request_id: The statement that was waiting for its answer.
        """
        self._supervisor.metrics.count(
            "answers_unexpected", endpoint=self.endpoint.name, reason=reason
        )
        is_news = self._on_unexpected()
        if is_news or request_id != lines.INTERNAL_REQUEST_ID:
            log_event(
                "answer unexpected",
                request=request_id,
                endpoint=self.endpoint.name,
                group=self.endpoint.group,
                cause=reason,
            )

    async def _receive(self) -> Reply:
        while (reply := self._reader.next_reply()) is None:
            chunk = await self._stream.receive_some(READ_BYTES)
            if not chunk:
                raise trio.BrokenResourceError("closed by the endpoint")
            self._reader.feed(chunk)
        return reply


def _report_fault(
    supervisor: Supervisor, endpoint: Endpoint, exc: Exception
) -> LinkError:
    """Reports an unexpected exception, which costs one connection alone."""
    supervisor.report("endpoint", exc, endpoint=endpoint.name)
    return LinkError(f"{endpoint.name}: internal error", is_fault=True)
