"""Parser and encoder for the line protocol of callers and endpoints.

A message is a line that holds a verb and its fields, separated by single
spaces and terminated by CR LF. The last field extends to the end of the line. A
CR or an LF by itself is data.
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

LINE_END = b"\r\n"

MAX_LINE_BYTES = 1024 * 1024
"""Size limit (bytes) that the protocol sets for one message, without its
terminator."""

MAX_NUMBER_DIGITS = 18
"""Greatest number of digits of a term or an offset, so that both fit into
messages between instances."""

MAX_MESSAGE_CHARS = 1000
"""Greatest length of the description of an error that is sent to a caller."""

INTERNAL_REQUEST_ID = "-"
"""Request id of statements that the instance itself issues."""

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
COMMIT = "COMMIT"
ROLLBACK = "ROLLBACK"


class BadLineError(Exception):
    """A line violates the protocol or exceeds its size limit.

    Attributes:
        code: The error code to answer with.
    """

    def __init__(self, code: ErrorCode, message: str) -> None:
        super().__init__(message)
        self.code = code


@dataclass(frozen=True, slots=True)
class Start:
    """A caller's request to open a session.

    Attributes:
        database: The requested database name, which selects a route.
        key: The caller's API key; empty without one.
    """

    database: str
    key: str


@dataclass(frozen=True, slots=True)
class Query:
    """A caller's request to run a statement.

    Attributes:
        request_id: The id that the caller gave the request.
        statement: The parsed statement; ``None`` if its text is not valid.
    """

    request_id: str
    statement: Statement | None


@dataclass(frozen=True, slots=True)
class Release:
    """A caller's request to close its session."""


CallerMessage = Start | Query | Release


class LineSplitter:
    """Incremental splitter of a byte stream into lines."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned = 0

    def feed(self, chunk: bytes) -> None:
        """Appends received bytes to the buffer."""
        self._buffer += chunk

    @property
    def pending(self) -> int:
        """Number of buffered bytes that have not been returned as lines."""
        return len(self._buffer)

    def take_remaining(self) -> bytes:
        """Removes and returns the bytes not yet returned as lines."""
        remaining = bytes(self._buffer)
        self._buffer.clear()
        self._scanned = 0
        return remaining

    def next_line(self) -> bytes | None:
        """Returns the next complete line without its terminator.

        Returns:
            The line, or ``None`` if no complete line is buffered.

        Raises:
            BadLineError: The line exceeds ``MAX_LINE_BYTES``. This is raised
                even before the line is complete.
        """
        end = self._buffer.find(LINE_END, self._scanned)
        # A CR at the end may be the first byte of the terminator.
        unterminated = len(self._buffer) - self._buffer.endswith(b"\r")
        if (unterminated if end < 0 else end) > MAX_LINE_BYTES:
            raise BadLineError(ErrorCode.TOO_LARGE, "the line is too long")
        if end < 0:
            self._scanned = unterminated
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + len(LINE_END)]
        self._scanned = 0
        return line


def encode_line(text: bytes) -> bytes:
    """Encodes one message; every message that is sent goes through this.

    Args:
        text: The message without its terminator.

    Raises:
        BadLineError: The text contains a terminator, so that it would be read
            as several messages, or it exceeds ``MAX_LINE_BYTES``.
    """
    if LINE_END in text:
        raise BadLineError(ErrorCode.MALFORMED, "a field ends the line")
    if len(text) > MAX_LINE_BYTES:
        raise BadLineError(ErrorCode.TOO_LARGE, "the line is too long")
    return text + LINE_END


def parse_caller_line(line: bytes) -> CallerMessage:
    """Parses a line sent by a caller.

    Raises:
        BadLineError: The line is not a valid caller message.
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
    """Parses a statement; returns ``None`` if the text is not a valid one."""
    verb, blank, rest = text.partition(" ")
    fields = rest.split(" ") if blank else []
    match verb, fields:
        case "READ", [_, *_] if rest:
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
        case "DEALLOC", [_, *_] if rest:
            return Deallocate(rest)
        case _:
            return None


def encode_ready(state: TransactionState) -> bytes:
    """Encodes the READY line, which asks a caller for its next statement."""
    return encode_line(f"READY {STATE_WORDS[state]} -".encode("latin-1"))


def encode_failure(failure: Failure) -> bytes:
    """Encodes the ERROR line for a caller, without a READY line."""
    word = CODE_WORDS[failure.code]
    # An error is sent whatever its description holds.
    message = " ".join(failure.message[:MAX_MESSAGE_CHARS].splitlines())
    return encode_line(f"ERROR {word} {message}".encode("latin-1", "replace"))


def is_authorization_refusal(greeting: bytes) -> bool:
    """Returns whether a greeting refuses a session's key or database name."""
    verb, _, rest = greeting.partition(b" ")
    word = rest.partition(b" ")[0].decode("latin-1")
    return verb == b"ERROR" and CODES.get(word) in (
        ErrorCode.NO_AUTH,
        ErrorCode.NO_DATABASE,
    )


def encode_result(result: Result, state: TransactionState) -> bytes:
    """Encodes the complete answer to a caller's statement, READY included."""
    match result:
        case Success():
            rows = b"".join(map(encode_line, result.rows))
            complete = f"COMPLETE {result.signature}".encode("latin-1")
            return rows + encode_line(complete) + encode_ready(state)
        case Failure():
            return encode_failure(result) + encode_ready(state)


def parse_ready(line: bytes) -> TransactionState:
    """Returns the session state of a READY line, which ends an answer.

    Raises:
        BadLineError: The line does not contain a valid state.
    """
    word = line.decode("latin-1").split(" ")[1:2]
    if not word or word[0] not in STATES:
        raise BadLineError(ErrorCode.MALFORMED, "unknown state")
    return STATES[word[0]]


def encode_start(group: str, workspace: str, endpoint: str) -> bytes:
    """Encodes the START line for an endpoint, which checks its own id.

    Raises:
        BadLineError: One of the names cannot be a field of a line.
    """
    fields = (group, workspace, endpoint)
    if not all(map(is_field, fields)):
        raise BadLineError(ErrorCode.MALFORMED, "a name is not a field")
    return encode_line(" ".join(("START", *fields)).encode())


def is_field(text: str) -> bool:
    """Returns whether a text can be a field of a line."""
    return bool(text) and text.isprintable() and " " not in text


def encode_caller_start(database: str, key: str) -> bytes:
    """Encodes a caller's START for another instance."""
    start = f"START {database} {key}" if key else f"START {database}"
    return encode_line(start.encode("latin-1"))


def encode_query(request_id: str, text: str) -> bytes:
    """Encodes the QUERY line that sends a statement to an endpoint.

    Raises:
        BadLineError: The statement is not one line, or it is too long.
    """
    return encode_line(f"QUERY {request_id} {text}".encode("latin-1"))


def fits_query(request_id: str, text: str) -> bool:
    """Returns whether a statement fits into a line.

    One that fitted when it came may have grown by a log position or by another
    name of a prepared statement.
    """
    return len(f"QUERY {request_id} {text}") <= MAX_LINE_BYTES


def after_text(position: Position | None, text: str) -> str:
    """Prefixes a read or BEGIN with the log position that it requires.

    An endpoint whose log does not reach the position refuses the statement.
    Without a position, the text is returned unchanged.
    """
    if position is None:
        return text
    return f"AFTER {position.term}.{position.offset} {text}"


def begin_text(*, read_only: bool) -> str:
    """Returns the statement that opens a transaction."""
    return "BEGIN READ" if read_only else "BEGIN"


def set_text(name: str, value: str) -> str:
    """Returns the statement that sets a value on the connection."""
    return f"SET {name} {value}"


def prepare_text(name: str, shape: PreparedStatement) -> str:
    """Returns the statement that prepares a shape under a name."""
    kind = "WRITE" if shape.writes else "READ"
    return f"PREPARE {name} {kind} {shape.text}"


def execute_text(name: str, arguments: str) -> str:
    """Returns the statement that runs a prepared statement."""
    return f"EXECUTE {name} {arguments}"


def run_text(run: Run, name: str) -> str:
    """Returns the text of a read or write.

    Args:
        run: The read, write or execution of a prepared statement.
        name: The name of the prepared statement on this connection; unused
            when the statement is not prepared.
    """
    return run.text if run.shape is None else execute_text(name, run.arguments)


def demote_text(term: int) -> str:
    """Returns the command that turns a primary of a lower term into a replica.

    Args:
        term: The term of the new primary.
    """
    return f"DEMOTE {term}"


class ReplyReader:
    """Incremental parser that assembles an endpoint's replies from lines.

    A reply is any number of ROW lines, then one COMPLETE or ERROR line, then
    READY; a greeting is READY alone. Anything else may be the start of a reply
    that was cut, with another one behind it.
    """

    def __init__(self, *, awaits_greeting: bool = False) -> None:
        """Creates a parser.

        Args:
            awaits_greeting: Whether the first reply is that to START, which
                is refused by an ERROR line alone.
        """
        self._awaits_greeting = awaits_greeting
        self._splitter = LineSplitter()
        self._rows: list[bytes] = []
        self._result: Result | None = None

    def feed(self, chunk: bytes) -> None:
        """Passes received bytes to the parser."""
        self._splitter.feed(chunk)

    @property
    def has_partial_reply(self) -> bool:
        """Whether data has arrived that is not part of a returned reply.

        On an idle connection this is data that nobody requested.
        """
        return bool(self._rows or self._result or self._splitter.pending)

    def next_reply(self) -> Reply | None:
        """Returns the next complete reply, or ``None`` if there is none yet.

        A reply to START carries no result; it is returned as ``Success`` with
        an empty signature.

        Raises:
            BadLineError: The endpoint violated the protocol.
        """
        while (line := self._splitter.next_line()) is not None:
            verb, _, rest = line.decode("latin-1").partition(" ")
            is_open = self._result is None
            match verb:
                case "ROW" if is_open:
                    self._rows.append(line)
                case "COMPLETE" if is_open and is_field(rest):
                    self._result = Success(tuple(self._rows), rest)
                case "ERROR" if is_open and rest:
                    word, _, message = rest.partition(" ")
                    code = CODES.get(word, ErrorCode.FAILED)
                    self._result = Failure(code, message)
                    if self._awaits_greeting:
                        # The endpoint closes the connection after it.
                        return self._finish("I -")
                case "READY" if not (is_open and self._rows):
                    return self._finish(rest)
                case _:
                    raise BadLineError(ErrorCode.MALFORMED, "unknown reply")
        return None

    def _finish(self, rest: str) -> Reply:
        word, _, position = rest.partition(" ")
        if word not in STATES:
            raise BadLineError(ErrorCode.MALFORMED, "unknown state")
        self._awaits_greeting = False
        result = self._result or Success(signature="")
        self._rows = []
        self._result = None
        return Reply(result, STATES[word], parse_position(position))


def parse_position(text: str) -> Position | None:
    """Parses a log position of the form ``TERM.OFFSET``.

    Returns:
        The position, or ``None`` for an empty text or ``-``.

    Raises:
        BadLineError: The text has neither form.
    """
    if text in ("", "-"):
        return None
    term, _, offset = text.partition(".")
    return Position(_parse_number(term), _parse_number(offset))


def _parse_number(text: str) -> int:
    """Parses a number of a position.

    Raises:
        BadLineError: The text is not a number, or it has too many digits.
    """
    is_number = text.isascii() and text.isdecimal()
    if not is_number or len(text) > MAX_NUMBER_DIGITS:
        raise BadLineError(ErrorCode.MALFORMED, "not a number")
    return int(text)


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """An endpoint's own status.

    Attributes:
        is_primary: Whether the endpoint considers itself the primary.
        term: The newest term that the endpoint knows.
        received: The end of the log that the endpoint has received.
    """

    is_primary: bool
    term: int
    received: Position


def parse_status(rows: tuple[bytes, ...]) -> EndpointStatus:
    """Parses the row that answers the STATUS command.

    Raises:
        BadLineError: There is no row, or it is not a status.
    """
    fields = rows[0].decode("latin-1").split(" ")[1:] if rows else []
    match fields:
        case ["primary" | "replica" as role, term, position, *_]:
            received = parse_position(position) or Position(0, 0)
            return EndpointStatus(
                role == "primary", _parse_number(term), received
            )
        case _:
            raise BadLineError(ErrorCode.MALFORMED, "not a status")
