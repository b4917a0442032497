"""Callers with a strict codec of their own, and checks of what they saw.

Nothing here uses the proxy's code. Messages end with CR LF alone, and each
field may hold any other byte, also an LF followed by the text of a message.
"""

import itertools
import re
from typing import NamedTuple

import trio

END = b"\r\n"
READ_BYTES = 65536

ANSWER_SECONDS = 10
"""Time limit of an answer, in seconds."""

PROMISES = ("BUSY", "LAGGING", "READONLY", "MISROUTED", "CONGESTED", "ABORTED")
"""Errors that promise that nothing of the operation is kept."""

ODD_PIECES = (
    "a",
    "Z9",
    "\n",
    "\r",
    "\r\r",
    "\n\n",
    "\x00",
    "\x0b",
    "\x1c",
    "\x85",
    "\xff",
    "\nCOMPLETE d1.1",
    "\nREADY I -",
    "\nROW x",
    "\nERROR BUSY d1",
    "\nQUERY stolen WRITE stolen x",
)
"""Parts of a field; some contain what looks like a message of its own."""


def odd_text(rng, *, blanks=False):
    """Returns a field of random bytes, which never contains CR LF."""
    pieces = (*ODD_PIECES, " ") if blanks else ODD_PIECES
    text = "".join(rng.choices(pieces, k=rng.randint(1, 5)))
    if not blanks:
        text = text.replace(" ", "_")
    return without_end(text)


def without_end(text):
    """Returns a text without CR LF, which would end its message."""
    return re.sub("\r+\n", "\n", text)


def plain_text(rng, *, blanks=False):
    """Returns a field of letters."""
    return "".join(rng.choices("abcdef", k=rng.randint(1, 8)))


class Answer(NamedTuple):
    """A whole answer.

    Attributes:
        rows: The rows.
        signature: The signature; empty for an error.
        code: The error code; empty for a success.
        state: The state of the session.
    """

    rows: tuple[str, ...]
    signature: str
    code: str
    state: str


class Sent(NamedTuple):
    """A statement as its caller sent it, and what it was told.

    Attributes:
        request_id: The caller's id of it.
        text: The statement.
        prepared: Kind and shape of the prepared statement that it executes.
        values: The values that the caller's session has set.
        operation: The number of the operation that it belongs to.
        state: The state of the caller's session before it.
        answer: The answer; ``None`` if the session ended without one.
    """

    request_id: str
    text: str
    prepared: tuple[str, str] | None
    values: dict[str, str]
    operation: int
    state: str
    answer: Answer | None


class StrictError(Exception):
    """What was received is not a whole, valid answer."""


class StrictSession:
    """A session that accepts nothing but whole and valid answers."""

    def __init__(self, stream):
        self._stream = stream
        self._buffer = b""

    @classmethod
    async def open(cls, port, database, key):
        """Opens a session; ``None`` if it was refused."""
        self = cls(await trio.open_tcp_stream("127.0.0.1", port))
        message = None
        try:
            await self._stream.send_all(
                f"START {database} {key}".encode() + END
            )
            with trio.fail_after(ANSWER_SECONDS):
                message = await self._message()
        finally:
            if message != b"READY I -":
                self.close()
        if message == b"READY I -":
            return self
        if message is None or message.startswith(b"ERROR "):
            return None
        raise StrictError(f"greeting {message!r}")

    async def ask(self, request_id, text):
        """Returns the answer; ``None`` if the session ended without one."""
        message = f"QUERY {request_id} {text}".encode("latin-1")
        rows, signature, code = [], "", ""
        try:
            with trio.fail_after(ANSWER_SECONDS):
                await self._stream.send_all(message + END)
                while (message := await self._message()) is not None:
                    word, _, rest = message.decode("latin-1").partition(" ")
                    ended = signature or code
                    if word == "ROW" and not ended:
                        rows.append(rest)
                    elif word == "COMPLETE" and not ended:
                        signature = rest
                    elif word == "ERROR" and not ended:
                        code = rest.partition(" ")[0]
                    elif word == "READY" and ended:
                        state = rest.partition(" ")[0]
                        return Answer(tuple(rows), signature, code, state)
                    else:
                        raise StrictError(f"{text!r}: {message!r}")
        except (OSError, trio.BrokenResourceError):
            pass
        return None

    def close(self):
        self._stream.socket.close()

    async def _message(self):
        while END not in self._buffer:
            chunk = await self._stream.receive_some(READ_BYTES)
            if not chunk:
                return None
            self._buffer += chunk
        message, _, self._buffer = self._buffer.partition(END)
        return message


class StrictCaller:
    """Runs all kinds of statements and records what it was told.

    Attributes:
        sent: The statements that it sent, in order.
        errors: What it received that was not a valid answer.
        unanswered: How many sessions ended without an answer.
    """

    def __init__(self, number, rng, ports, text):
        """Creates a caller without a session.

        Args:
            number: Its number, which makes its ids and items its own.
            rng: Draws its statements.
            ports: Returns the ports of the instances that it may use.
            text: Draws a field, such as ``odd_text``.
        """
        self._number = number
        self._rng = rng
        self._ports = ports
        self._text = text
        self._ids = itertools.count()
        self._operations = itertools.count()
        self._operation = 0
        self._session = None
        self._values = {}
        self._prepared = {}
        self._state = "I"
        self.sent = []
        self.errors = []
        self.unanswered = 0

    async def run(self, stop):
        """Runs operations until the event is set."""
        while not stop.is_set():
            try:
                await self._operate()
            except StrictError as exc:
                self.errors.append(f"caller {self._number}: {exc}")
                self._end_session()
            except (OSError, trio.BrokenResourceError, trio.TooSlowError):
                self._end_session()
            await trio.sleep(self._rng.uniform(0, 0.02))
        self._end_session()

    def _end_session(self):
        if self._session is not None:
            self._session.close()
        self._session = None

    async def _operate(self):
        if self._session is None or self._rng.random() < 0.03:
            self._end_session()
            port = self._rng.choice(self._ports())
            database = self._rng.choice("psb")
            key = f"key-w{self._number % 2 + 1}"
            self._values, self._prepared, self._state = {}, {}, "I"
            self._session = await StrictSession.open(port, database, key)
            if self._session is None:
                await trio.sleep(0.05)
                return
        self._operation = next(self._operations)
        if self._rng.random() < 0.3:
            await self._run_transaction()
        else:
            await self._ask(without_end(self._statement()))

    async def _run_transaction(self):
        begin = self._rng.choice(["BEGIN", "BEGIN", "BEGIN READ"])
        if not await self._ask(begin):
            return
        for _ in range(self._rng.randint(0, 4)):
            if not await self._ask(without_end(self._statement())):
                break
        if self._session is not None:
            await self._ask(self._rng.choice(["COMMIT", "COMMIT", "ROLLBACK"]))

    def _statement(self):
        """Draws a statement."""
        text, rng = self._text, self._rng
        item = f"c{self._number}.{text(rng)}"
        kind = rng.choice(["read", "read", "write", "set", "prepare", "run"])
        if kind == "run" and self._prepared:
            name = rng.choice(sorted(self._prepared))
            if self._prepared[name][0] == "READ":
                return f"EXECUTE {name} {item}"
            return f"EXECUTE {name} {item} {text(rng, blanks=True)}"
        if kind == "set":
            return f"SET v{rng.randint(0, 2)} {text(rng, blanks=True)}"
        if kind == "prepare":
            shape = rng.choice(["READ", "WRITE"]), text(rng, blanks=True)
            return f"PREPARE s{rng.randint(0, 2)} {' '.join(shape)}"
        if kind == "write":
            return f"WRITE {item} {text(rng, blanks=True)}"
        return f"READ {item}{text(rng, blanks=True)}"

    async def _ask(self, text):
        """Sends a statement; returns whether it succeeded."""
        request_id = f"c{self._number}-{next(self._ids)}"
        verb, _, rest = text.partition(" ")
        prepared = None
        if verb == "EXECUTE":
            prepared = self._prepared[rest.partition(" ")[0]]
        sent = Sent(
            request_id,
            text,
            prepared,
            dict(self._values),
            self._operation,
            self._state,
            None,
        )
        # Recorded before the answer, because an endpoint may run it first.
        self.sent.append(sent)
        answer = await self._session.ask(request_id, text)
        self.sent[-1] = sent._replace(answer=answer)
        if answer is None:
            self.unanswered += 1
            self._end_session()
            return False
        self._state = answer.state
        if answer.code:
            if verb in ("SET", "PREPARE"):
                # Clients close a session whose values are in doubt.
                self._end_session()
            return False
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self._values[name] = value
        if verb == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self._prepared[name] = (kind, shape)
        return True


SIGNED = re.compile(r"(READ|WRITE|EXECUTE|COMMIT)\b")
"""Statements that succeed only with an endpoint's signature."""


def find_differences(callers, databases):
    """Compares what callers saw with what the endpoints did.

    Args:
        callers: The callers.
        databases: The databases.

    Returns:
        The violations, each a rule's name with what happened.
    """
    sent = {s.request_id: s for caller in callers for s in caller.sent}
    found = [f"MIXED {error}" for caller in callers for error in caller.errors]
    signed = {
        signature: answer
        for database in databases
        for signature, answer in database.signed.items()
    }
    for statement in sent.values():
        found += _wrong_answer(statement, signed)
    for database in databases:
        found += [f"UNASKED {message}" for message in database.rejected]
        connections = {}
        for run in database.runs:
            found += _wrong_run(run, sent.get(run.request_id), connections)
    found += _wrong_effects(sent, databases)
    return found


def _wrong_answer(statement, signed):
    answer = statement.answer
    if answer is None or answer.code or not SIGNED.match(statement.text):
        return
    original = signed.get(answer.signature)
    seen = statement.request_id, answer.rows
    if original != seen:
        yield f"MIXED {seen} has {answer.signature!r} of {original}"


def _wrong_run(run, statement, connections):
    if statement is None:
        yield f"UNASKED nobody sent {run}"
        return
    expected = statement.text
    if statement.prepared is not None:
        # The proxy chooses the name under which the endpoint knows the shape.
        arguments = expected.split(" ", 2)[2]
        expected = f"EXECUTE {run.text.split(' ')[1]} {arguments}"
        if run.prepared != statement.prepared:
            yield f"PINNED {run} instead of {statement.prepared}"
    if run.text != expected:
        yield f"UNASKED {run} instead of {expected!r}"
    if run.values != statement.values:
        yield f"PINNED {run} instead of {statement.values}"
    if run.state != statement.state:
        yield f"PINNED {run} instead of state {statement.state}"
    if statement.state == "T":
        caller = statement.request_id.partition("-")[0]
        operation = caller, statement.operation
        connection = connections.setdefault(operation, run.connection)
        if connection != run.connection:
            yield f"PINNED {run} instead of connection {connection}"


def _wrong_effects(sent, databases):
    """Yields effects that a caller was told not to expect, or that came twice.

    A commit's effects are those of the writes of its operation.
    """
    # A former primary may hold more commits, which its term rolls back.
    primaries = [db for db in databases if db.is_primary]
    final = max(primaries, key=lambda db: db.term)
    kept = [write[0] for commit in final.log for write in commit.writes]
    for request_id in sorted({i for i in kept if kept.count(i) > 1}):
        yield f"TWICE {request_id}"
    refused = {
        _operation_of(statement)
        for statement in sent.values()
        if statement.answer is not None and statement.answer.code in PROMISES
    }
    for request_id in kept:
        statement = sent.get(request_id)
        if statement is not None and _operation_of(statement) in refused:
            yield f"REFUSED {statement}"


def _operation_of(statement):
    return statement.request_id.partition("-")[0], statement.operation
