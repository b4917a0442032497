"""The text protocol that callers and endpoints speak.

A line is a verb and its fields, parted by blanks and ended by CR LF. The last
field runs to the end of the line.
"""

from dataclasses import dataclass

from lagoonstair._types import Position
from lagoonstair.statements import (
    Begin,
    Commit,
    Deallocate,
    ErrorCode,
    Execute,
    Failure,
    Prepare,
    PreparedStatement,
    Read,
    Reply,
    Result,
    Rollback,
    Run,
    SetValue,
    Statement,
    Success,
    TransactionState,
    Write,
)

MAX_LINE_BYTES = 1024 * 1024
"""The protocol's limit for one message."""

INTERNAL_REQUEST_ID = "-"
"""The request id of statements that no caller sent."""

STATES = {
    "I": TransactionState.IDLE,
    "T": TransactionState.OPEN,
    "E": TransactionState.FAILED,
}
STATE_WORDS = {state: word for word, state in STATES.items()}

CODES = {
    "BUSY": ErrorCode.BUSY,
    "LAGGING": ErrorCode.LAGGING,
    "READONLY": ErrorCode.READ_ONLY,
    "MISROUTED": ErrorCode.MISROUTED,
    "CONGESTED": ErrorCode.CONGESTED,
    "ABORTED": ErrorCode.ABORTED,
    "FAILED": ErrorCode.FAILED,
    "NOSTMT": ErrorCode.NO_STATEMENT,
    "TIMEOUT": ErrorCode.TIMEOUT,
    "NOAUTH": ErrorCode.NO_AUTH,
    "NODB": ErrorCode.NO_DATABASE,
    "OVERSIZE": ErrorCode.TOO_LARGE,
    "MALFORMED": ErrorCode.MALFORMED,
    "INDOUBT": ErrorCode.IN_DOUBT,
}
CODE_WORDS = {code: word for word, code in CODES.items()}

STATUS = "STATUS"
RESET = "RESET"
ROLLBACK = "ROLLBACK"
RESUME = "RESUME"


class BadLineError(Exception):
    """A line that is not of the protocol, or over its limit."""

    def __init__(self, code: ErrorCode, message: str) -> None:
        super().__init__(message)
        self.code = code


@dataclass(frozen=True, slots=True)
class Start:
    """Opens a caller's session.

    Attributes:
        database: The name that the caller asks for, which a route holds.
        key: The caller's key.
    """

    database: str
    key: str


@dataclass(frozen=True, slots=True)
class Query:
    """A caller's statement; ``None`` when its text is not understood."""

    request_id: str
    statement: Statement | None


@dataclass(frozen=True, slots=True)
class Release:
    """Ends a caller's session."""


CallerMessage = Start | Query | Release


class LineSplitter:
    """Splits a stream of bytes into lines."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned = 0

    def feed(self, chunk: bytes) -> None:
        """Takes received bytes."""
        self._buffer += chunk

    @property
    def pending(self) -> int:
        """How many bytes of an unfinished line, or of later ones, are held."""
        return len(self._buffer)

    def take_remaining(self) -> bytes:
        """Takes out what was fed and not yet returned."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        self._scanned = 0
        return rest

    def next_line(self) -> bytes | None:
        """The next whole line without its end; ``None`` until it is whole.

        Raises:
            BadLineError: The line is over the limit.
        """
        end = self._buffer.find(b"\n", self._scanned)
        if end < 0:
            self._scanned = len(self._buffer)
            if len(self._buffer) > MAX_LINE_BYTES:
                raise BadLineError(ErrorCode.TOO_LARGE, "the line is too long")
            return None
        if end > MAX_LINE_BYTES:
            raise BadLineError(ErrorCode.TOO_LARGE, "the line is too long")
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        self._scanned = 0
        return line.removesuffix(b"\r")


def parse_caller_line(line: bytes) -> CallerMessage:
    """Parses what a caller sent.

    Raises:
        BadLineError: The line is no message of a caller.
    """
    verb, _, rest = line.decode("latin-1").partition(" ")
    match verb:
        case "QUERY":
            request_id, _, text = rest.partition(" ")
            if not request_id:
                raise BadLineError(ErrorCode.MALFORMED, "QUERY lacks its id")
            return Query(request_id, parse_statement(text))
        case "START":
            database, _, key = rest.partition(" ")
            if not database:
                raise BadLineError(
                    ErrorCode.MALFORMED, "START lacks a database"
                )
            return Start(database, key)
        case "RELEASE":
            return Release()
        case _:
            raise BadLineError(ErrorCode.MALFORMED, "unknown message")


def parse_statement(text: str) -> Statement | None:
    """Parses a statement's text; ``None`` when it is none."""
    verb, _, rest = text.partition(" ")
    fields = rest.split(" ") if rest else []
    match verb, fields:
        case "READ", [_]:
            return Read(text)
        case "WRITE", [_, _, *_]:
            return Write(text)
        case "EXECUTE", [name, _, *_]:
            return Execute(name, rest[len(name) + 1 :])
        case "BEGIN", []:
            return Begin(read_only=False)
        case "BEGIN", ["READ"]:
            return Begin(read_only=True)
        case "COMMIT", []:
            return Commit()
        case "ROLLBACK", []:
            return Rollback()
        case "SET", [name, _, *_]:
            return SetValue(name, rest[len(name) + 1 :])
        case "PREPARE", [name, "READ" | "WRITE" as kind, _, *_]:
            shape = rest[len(name) + len(kind) + 2 :]
            return Prepare(name, PreparedStatement(kind == "WRITE", shape))
        case "DEALLOC", [name]:
            return Deallocate(name)
        case _:
            return None


def encode_ready(state: TransactionState) -> bytes:
    """Tells a caller that its session takes the next statement."""
    return f"READY {STATE_WORDS[state]} -\r\n".encode("latin-1")


def encode_failure(failure: Failure) -> bytes:
    """Encodes an error for a caller, without what follows it."""
    word = CODE_WORDS[failure.code]
    return f"ERROR {word} {failure.message}\r\n".encode("latin-1", "replace")


def encode_result(result: Result, state: TransactionState) -> bytes:
    """Encodes the whole answer to a caller's statement."""
    match result:
        case Success():
            rows = b"".join(row + b"\r\n" for row in result.rows)
            done = f"COMPLETE {result.signature}\r\n".encode("latin-1")
            return rows + done + encode_ready(state)
        case Failure():
            return encode_failure(result) + encode_ready(state)


def parse_ready(line: bytes) -> TransactionState:
    """The state that a line tells which ends an answer.

    Raises:
        BadLineError: It is no such line.
    """
    word = line.decode("latin-1").split(" ")[1:2]
    if not word or word[0] not in STATES:
        raise BadLineError(ErrorCode.MALFORMED, "unknown state")
    return STATES[word[0]]


def encode_start(group: str, workspace: str, endpoint: str) -> bytes:
    """Opens a connection to an endpoint, which checks its own id."""
    return f"START {group} {workspace} {endpoint}\r\n".encode("latin-1")


def encode_caller_start(database: str, key: str) -> bytes:
    """Opens a caller's session at another instance; without a line's end."""
    return f"START {database} {key}".rstrip(" ").encode("latin-1")


def encode_query(request_id: str, text: str) -> bytes:
    """Encodes a statement for an endpoint."""
    return f"QUERY {request_id} {text}\r\n".encode("latin-1")


def after_text(position: Position | None, text: str) -> str:
    """Has a read or BEGIN run only on a log that holds the position."""
    if position is None:
        return text
    return f"AFTER {position.term}.{position.offset} {text}"


def begin_text(*, read_only: bool) -> str:
    """The text that opens a transaction."""
    return "BEGIN READ" if read_only else "BEGIN"


def set_text(name: str, value: str) -> str:
    """The text that sets a value of the connection."""
    return f"SET {name} {value}"


def prepare_text(name: str, shape: PreparedStatement) -> str:
    """The text that prepares a statement under a name."""
    kind = "WRITE" if shape.writes else "READ"
    return f"PREPARE {name} {kind} {shape.text}"


def execute_text(name: str, arguments: str) -> str:
    """The text that runs a prepared statement."""
    return f"EXECUTE {name} {arguments}"


def run_text(run: Run, name: str) -> str:
    """The text of a read or write.

    Args:
        run: The statement.
        name: The name of its prepared statement on the connection.
    """
    return run.text if run.shape is None else execute_text(name, run.arguments)


def suspend_text(term: int) -> str:
    """The text that stops a replica from receiving."""
    return f"SUSPEND {term}"


def demote_text(term: int) -> str:
    """The text that makes a primary of a lower term a replica."""
    return f"DEMOTE {term}"


class ReplyReader:
    """Collects the replies of an endpoint from its lines."""

    def __init__(self) -> None:
        self._splitter = LineSplitter()
        self._rows: list[bytes] = []
        self._result: Result | None = None

    def feed(self, chunk: bytes) -> None:
        """Takes received bytes."""
        self._splitter.feed(chunk)

    @property
    def has_partial_reply(self) -> bool:
        """Whether a part of an answer that was not asked for has come."""
        return bool(self._rows or self._result or self._splitter.pending)

    def next_reply(self) -> Reply | None:
        """The next whole reply; ``None`` until it is whole.

        A reply to START has no result of its own and counts as done.

        Raises:
            BadLineError: The endpoint sent what is not of the protocol.
        """
        while (line := self._splitter.next_line()) is not None:
            verb, _, rest = line.decode("latin-1").partition(" ")
            match verb:
                case "ROW":
                    self._rows.append(line)
                case "COMPLETE":
                    self._result = Success(tuple(self._rows), rest)
                case "ERROR":
                    word, _, message = rest.partition(" ")
                    code = CODES.get(word, ErrorCode.FAILED)
                    self._result = Failure(code, message)
                    if code in (ErrorCode.MISROUTED, ErrorCode.CONGESTED):
                        return self._finish("I -")
                case "READY":
                    return self._finish(rest)
                case _:
                    raise BadLineError(ErrorCode.MALFORMED, "unknown reply")
        return None

    def _finish(self, rest: str) -> Reply:
        word, _, position = rest.partition(" ")
        if word not in STATES:
            raise BadLineError(ErrorCode.MALFORMED, "unknown state")
        result = self._result or Success()
        self._rows = []
        self._result = None
        return Reply(result, STATES[word], parse_position(position))


def parse_position(text: str) -> Position | None:
    """Parses ``TERM.NUMBER``; ``None`` for ``-``.

    Raises:
        BadLineError: It is neither.
    """
    if text in ("", "-"):
        return None
    term, dot, offset = text.partition(".")
    if not (dot and term.isdecimal() and offset.isdecimal()):
        raise BadLineError(ErrorCode.MALFORMED, "not a position")
    return Position(int(term), int(offset))


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """What an endpoint says of itself.

    Attributes:
        is_primary: Whether it takes itself to be the primary.
        term: The newest term that it knows.
        received: The end of the log that it has received.
    """

    is_primary: bool
    term: int
    received: Position


def parse_status(rows: tuple[bytes, ...]) -> EndpointStatus:
    """Parses the row of a status.

    Raises:
        BadLineError: The row is not a status.
    """
    fields = rows[0].decode("latin-1").split(" ")[1:] if rows else []
    match fields:
        case ["primary" | "replica" as role, term, position, *_] if (
            term.isdecimal()
        ):
            received = parse_position(position) or Position(0, 0)
            return EndpointStatus(role == "primary", int(term), received)
        case _:
            raise BadLineError(ErrorCode.MALFORMED, "not a status")
