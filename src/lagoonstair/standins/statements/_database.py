"""Stand-ins for replicated databases that speak the statement protocol."""

import itertools
import random
import re
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from lagoonstair._types import Position
from lagoonstair.standins.statements._codec import (
    END,
    Parsed,
    Prepared,
    StrictError,
    encode_message,
    parse_statement,
    split_query,
    split_start,
    take_messages,
)

READ_BYTES = 64 * 1024
"""The most that is read from a connection at once, in bytes."""


REPLICATION_CHECK_SECONDS = 0.005
"""Interval at which a primary checks which commits were received, in
seconds."""


class Commit(NamedTuple):
    """A committed transaction in a log.

    Attributes:
        term: The term of the primary that committed it.
        number: The commit's number in the log, counted from 1.
        writes: Request id, item and data of each write, in order.
    """

    term: int
    number: int
    writes: tuple[tuple[str, str, str], ...]


class StatementRun(NamedTuple):
    """A statement of a caller as an endpoint ran it.

    Attributes:
        request_id: The caller's request id.
        text: The statement's text without an ``AFTER`` prefix.
        prepared: The prepared statement that it executed, if any.
        values: The values that were set on the connection.
        connection: The number of the connection.
        state: The state of the connection before it: ``I``, ``T`` or ``E``.
    """

    request_id: str
    text: str
    prepared: Prepared | None
    values: dict[str, str]
    connection: int
    state: str


class SignedAnswer(NamedTuple):
    """A signed answer as an endpoint sent it first.

    Attributes:
        request_id: The request that it answers.
        rows: The rows.
    """

    request_id: str
    rows: tuple[str, ...]


class Stutter(NamedTuple):
    """How an endpoint answers oddly.

    Attributes:
        repeat_share: The share of its answers that it sends twice.
        repeat_seconds: How much later the copy comes at most, in seconds.
        refused_share: The share of writes that it refuses with BUSY.
        cut_share: The share of its answers that end early. Their connection is
            closed or goes silent, or the whole answer follows later.
        odd_rows: Returns the rows of a read beside its item's.
        rng: Draws what is repeated and refused, and when.
    """

    repeat_share: float = 0.0
    repeat_seconds: float = 0.12
    refused_share: float = 0.0
    cut_share: float = 0.0
    odd_rows: Callable[[], list[str]] = list
    rng: random.Random = random.Random(0)


def cut_answer(answer: bytes, rng: random.Random) -> bytes:
    """Returns the beginning of an answer, without the end of its READY.

    It ends anywhere, between a CR and its LF, or after a whole message.
    """
    ends = [match.end() for match in re.finditer(END, answer)]
    lengths = (rng.randrange(len(answer)), rng.choice(ends) - 1, *ends[:-1])
    return answer[: rng.choice(lengths)]


class Group:
    """A group of one primary and its replicas.

    Attributes:
        name: The group's name.
        term: The latest term.
        databases: The group's databases, by name.
        lag: The delay before a replica applies a commit, in seconds.
        synchronous: The number of replicas that must have received a commit
            before it is acknowledged.
        promote_seconds: The time that a promotion takes, in seconds.
        promotion_seconds: The times that the next promotions take, in
            seconds; once they are used up, ``promote_seconds`` applies.
    """

    def __init__(self, name: str, on_change: Callable[["Database"], None]):
        self._on_change = on_change
        self.name = name
        self.term = 1
        self.databases: dict[str, Database] = {}
        self.lag = 0.01
        self.synchronous = 0
        self.promote_seconds = 0.1
        self.promotion_seconds: deque[float] = deque()
        self._accepted = itertools.count(1)

    def add(self, name: str, *, slots: int, max_connections: int) -> "Database":
        """Adds a database; the first one becomes the primary."""
        database = Database(self, name, slots, max_connections)
        database.is_primary = not self.databases
        self.databases[name] = database
        return database

    @property
    def primary(self) -> "Database":
        """The primary of the latest term."""
        primaries = [db for db in self.databases.values() if db.is_primary]
        return max(primaries, key=lambda db: db.term)

    def promote(self, name: str) -> bool:
        """Starts a promotion; returns false if the database is down.

        Promoting a database again does not postpone the first promotion.
        """
        database = self.databases[name]
        if database.down:
            return False
        if database.is_primary and database is self.primary:
            return True
        number = next(self._accepted)
        if database.promotion_due is None:
            seconds = (
                self.promotion_seconds.popleft()
                if self.promotion_seconds
                else self.promote_seconds
            )
            database.promotion_due = trio.current_time() + seconds
        database.promotion_number = number
        return True

    def apply_due_promotions(self) -> None:
        """Lets the promotions that are due take effect.

        A promotion that takes effect cancels those accepted before it.
        """
        now = trio.current_time()
        due = [
            database
            for database in self.databases.values()
            if not database.down
            and database.promotion_due is not None
            and now >= database.promotion_due
        ]
        for database in sorted(due, key=lambda db: db.promotion_number):
            if database.promotion_due is None:
                continue
            for other in self.databases.values():
                if other.promotion_number <= database.promotion_number:
                    other.promotion_due = None
            self.term += 1
            database.become_primary(self.term)

    def publish_entry(self, database: "Database") -> None:
        """Publishes a database's entry in the store."""
        self._on_change(database)


class Database:
    """A database of a group.

    Replication takes effect at the database's first statement after it is due,
    promotion at the first statement of any database of the group.

    Attributes:
        name: The database's name.
        slots: The number of slots that its entry states.
        zone: The failure domain that its entry states.
        port: The TCP port that it listens on.
        term: The term that it is in.
        log: The commits that it has applied.
        is_primary: Whether it regards itself as the primary.
        promotion_due: When its promotion takes effect, on trio's clock in
            seconds; ``None`` while none is under way.
        promotion_number: The place of its last promotion among all accepted
            ones, counted from 1; 0 without one.
        down: Whether it neither accepts connections nor answers.
        draining: Whether its entry states that it is about to leave.
        answers_to_drop: The number of the next statements that run, but are
            never answered.
        is_deaf: Whether it receives no commits; see ``hear``.
        busy_answers: The number of the next reads and writes that are
            answered with BUSY.
        statement_seconds: How long a caller's read, write or commit takes, in
            seconds.
        status_seconds: How long a status query waits for a slot, in seconds.
        busy_statuses: The number of the next status queries that are answered
            with BUSY.
        refused_texts: The statements that are refused, by their text.
        silent_texts: The statements that are never answered, by their text.
        omits_position: Whether its answers omit the log position.
        max_open_connections: The largest number of connections that were
            open at the same time.
        superseded_commits: The ids of requests that it committed while
            another database was the primary of a later term.
        statements: Request id and text of the run statements, in order.
        received_ids: The ids of the callers' requests that it has received.
        runs: The callers' statements that it has run, in order.
        signed: Its signed answers, by signature.
        stutter: How it answers oddly.
        copies_sent: How many answers it has sent a second time.
        answers_cut: How many answers it has ended early.
        rejected: What it received that is not a valid message.
    """

    def __init__(
        self, group: Group, name: str, slots: int, max_connections: int
    ) -> None:
        self._group = group
        self._max_connections = max_connections
        self._open: set[trio.SocketStream] = set()
        self._replication_queue: deque[tuple[float, Commit]] = deque()
        self._signatures = 0
        self.name = name
        self.slots = slots
        self.zone = "a"
        self.port = 0
        self.term = 1
        self.log: list[Commit] = []
        self.is_primary = False
        self.promotion_due: float | None = None
        self.promotion_number = 0
        self.down = False
        self.draining = False
        self.answers_to_drop = 0
        self.is_deaf = False
        self.busy_answers = 0
        self.busy_statuses = 0
        self.status_seconds = 0.0
        self.statement_seconds = 0.0
        self.refused_texts: set[str] = set()
        self.silent_texts: set[str] = set()
        self.omits_position = False
        self.max_open_connections = 0
        self.superseded_commits: set[str] = set()
        self.statements: list[tuple[str, str]] = []
        self.received_ids: set[str] = set()
        self.runs: list[StatementRun] = []
        self.signed: dict[str, SignedAnswer] = {}
        self.stutter = Stutter()
        self.copies_sent = 0
        self.answers_cut = 0
        self.rejected: list[str] = []
        self._connection_numbers = itertools.count(1)

    @property
    def position(self) -> Position:
        """The position of the last commit in the log."""
        if not self.log:
            return Position(self.term, 0)
        return Position(self.log[-1].term, self.log[-1].number)

    @property
    def open_connections(self) -> int:
        """The number of connections that are open now."""
        return len(self._open)

    @property
    def received(self) -> Position:
        """The position of the last commit that it has received."""
        if not self._replication_queue:
            return self.position
        _, commit = self._replication_queue[-1]
        return max(self.position, Position(commit.term, commit.number))

    def entry(self, host: str) -> dict[str, Any]:
        """Returns the entry that the database publishes in the store.

        Args:
            host: The host of the address in the entry.
        """
        return {
            "service": self._group.name,
            "address": f"{host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "db_role": "primary" if self.is_primary else "replica",
            "seq_no": 1,
            "born": 1,
        }

    async def serve(
        self, host: str, *, task_status: trio.TaskStatus[None]
    ) -> None:
        """Listens on a free port and serves until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=host)
        self.port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                trio.serve_listeners, self._serve_connection, listeners
            )
            task_status.started()

    def crash(self) -> None:
        """Closes all connections and accepts no more; keeps the log."""
        self.down = True
        for stream in [*self._open]:
            stream.socket.close()

    def recover(self) -> None:
        """Runs again, as a replica if there is another primary."""
        self.down = False
        if self._group.primary is not self:
            self.demote()

    def hear(self) -> None:
        """Receives commits again, and those that it has missed."""
        self.is_deaf = False
        self._replication_queue.clear()
        self.log = list(self._group.primary.log)

    def demote(self) -> None:
        """Becomes a replica with the primary's log.

        Commits that only this database has are rolled back.
        """
        self.is_primary = False
        self.term = self._group.term
        self.log = list(self._group.primary.log)
        self._group.publish_entry(self)

    def become_primary(self, term: int) -> None:
        """Becomes the primary of a term, with what it has received."""
        self._apply_received(float("inf"))
        self.term = term
        self.is_primary = True
        self._group.publish_entry(self)

    def _apply_due_events(self) -> None:
        """Applies the replicated commits and the promotions that are due."""
        self._apply_received(trio.current_time())
        self._group.apply_due_promotions()

    def _apply_received(self, now: float) -> None:
        while self._replication_queue and self._replication_queue[0][0] <= now:
            _, commit = self._replication_queue.popleft()
            if not self.is_primary and commit.number == len(self.log) + 1:
                self.log.append(commit)

    async def _wait_replicated(self) -> None:
        """Waits until enough replicas have received the whole log."""
        position = self.position
        others = [db for db in self._group.databases.values() if db is not self]
        while (
            sum(db.received >= position for db in others)
            < self._group.synchronous
        ):
            await trio.sleep(REPLICATION_CHECK_SECONDS)

    def _commit(self, writes: tuple[tuple[str, str, str], ...]) -> None:
        commit = Commit(self.term, len(self.log) + 1, writes)
        if self.term < self._group.term:
            self.superseded_commits |= {write[0] for write in writes}
        self.log.append(commit)
        due = trio.current_time() + self._group.lag
        for other in self._group.databases.values():
            if other.is_deaf or other.down:
                continue
            if other is not self and other.term <= self.term:
                other._replication_queue.append((due, commit))

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        if self.down:
            return
        self._open.add(stream)
        self.max_open_connections = max(
            self.max_open_connections, len(self._open)
        )
        number = next(self._connection_numbers)
        try:
            await _Connection(self, stream, number).run()
        except* StrictError as exc:
            self.rejected += [str(error) for error in exc.exceptions]
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # The client has disconnected, or the database has crashed.
            pass
        finally:
            self._open.discard(stream)
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await stream.aclose()


class _Connection:
    """A connection with its transaction and prepared statements."""

    def __init__(
        self, database: Database, stream: trio.SocketStream, number: int
    ) -> None:
        self._db = database
        self._stream = stream
        self._number = number
        self._buffer = bytearray()
        self._messages: deque[bytes] = deque()
        self._sending = trio.Lock()
        self._is_cut = False
        self._state = "I"
        self._read_only = False
        self._writes: list[tuple[str, str, str]] = []
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Prepared] = {}

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            await self._serve(nursery)
            nursery.cancel_scope.cancel()

    async def _serve(self, nursery: trio.Nursery) -> None:
        if not await self._handshake(nursery):
            return
        while (message := await self._read_message()) is not None:
            request_id, text = split_query(message)
            if text == "STATUS":
                await trio.sleep(self._db.status_seconds)
            elif request_id != "-":
                self._db.received_ids.add(request_id)
                await trio.sleep(self._db.statement_seconds)
            if text in self._db.silent_texts:
                await trio.sleep_forever()
            commits = len(self._db.log)
            answer = self._run_statement(request_id, text)
            if self._db.is_primary and len(self._db.log) > commits:
                await self._db._wait_replicated()
            if self._db.answers_to_drop and request_id != "-":
                self._db.answers_to_drop -= 1
                await trio.sleep_forever()
            if not await self._send(answer + self._ready(), nursery):
                return

    async def _handshake(self, nursery: trio.Nursery) -> bool:
        message = await self._read_message()
        if message is None:
            return False
        group, names = split_start(message)
        if group != self._db._group.name or names not in ([], [self._db.name]):
            await self._stream.send_all(self._error("MISROUTED", "wrong"))
            return False
        if len(self._db._open) > self._db._max_connections:
            await self._stream.send_all(self._error("CONGESTED", "full"))
            return False
        return await self._send(self._ready(), nursery)

    async def _send(self, answer: bytes, nursery: trio.Nursery) -> bool:
        """Sends an answer, at times only its beginning or a copy of it later.

        Returns:
            Whether the connection goes on.
        """
        stutter = self._db.stutter
        if stutter.rng.random() < stutter.cut_share:
            return await self._send_beginning(answer, nursery)
        async with self._sending:
            await self._stream.send_all(answer)
        if stutter.rng.random() < stutter.repeat_share:
            seconds = stutter.rng.uniform(0, stutter.repeat_seconds)
            nursery.start_soon(self._send_copy, answer, seconds)
        return True

    async def _send_beginning(
        self, answer: bytes, nursery: trio.Nursery
    ) -> bool:
        """Ends an answer early.

        Then it closes, waits until the client closes, or sends the whole
        answer later. The latter only if the cut is behind all rows, because
        those of two answers could otherwise not be told apart.

        Returns:
            Whether the connection goes on.
        """
        stutter = self._db.stutter
        part = cut_answer(answer, stutter.rng)
        way = stutter.rng.choice(("close", "wait", "repeat"))
        ends = [match.end() for match in re.finditer(END, answer)]
        rows_end = ends[-3] if len(ends) > 2 else 0
        repeats = way == "repeat" and (not rows_end or len(part) > rows_end)
        async with self._sending:
            self._is_cut = not repeats
            await self._stream.send_all(part)
        self._db.answers_cut += 1
        if repeats:
            seconds = stutter.rng.uniform(0, stutter.repeat_seconds)
            nursery.start_soon(self._send_copy, answer, seconds)
        elif way != "close":
            while await self._stream.receive_some(READ_BYTES):
                pass
        return repeats

    async def _send_copy(self, answer: bytes, seconds: float) -> None:
        await trio.sleep(seconds)
        try:
            async with self._sending:
                if self._is_cut:
                    return
                await self._stream.send_all(answer)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The connection has ended, so nobody can be misled any more.
            return
        self._db.copies_sent += 1

    def _ready(self) -> bytes:
        term, number = self._db.position
        position = "-" if self._db.omits_position else f"{term}.{number}"
        return encode_message("READY", self._state, position)

    async def _read_message(self) -> bytes | None:
        while not self._messages:
            chunk = await self._stream.receive_some(READ_BYTES)
            if not chunk or self._db.down:
                return None
            self._buffer += chunk
            self._messages.extend(take_messages(self._buffer))
        return self._messages.popleft()

    def _run_statement(self, request_id: str, text: str) -> bytes:
        db = self._db
        db._apply_due_events()
        db.statements.append((request_id, text))
        if text in db.refused_texts:
            return self._error("FAILED", db.name)
        parsed = parse_statement(text)
        if parsed.after is not None and db.position < parsed.after:
            return self._error("LAGGING", db.name)
        match parsed.verb:
            case "STATUS" if db.busy_statuses:
                db.busy_statuses -= 1
                return self._error("BUSY", db.name)
            case "STATUS":
                role = "primary" if db.is_primary else "replica"
                received = f"{db.received.term}.{db.received.offset}"
                row = f"{role} {db.term} {received} {db.term} 0 0 1"
                return encode_message("ROW", row) + self._done()
            case "DEMOTE":
                db.demote()
                return self._done()
            case "RESET":
                self._values.clear()
                self._prepared.clear()
                return self._done()
            case "SUSPEND" | "RESUME":
                return self._done()
        run = self._describe_run(request_id, text, parsed)
        answer = self._run_sql(request_id, parsed)
        if request_id != "-" and not answer.startswith(b"ERROR BUSY"):
            db.runs.append(run)
        return answer

    def _describe_run(
        self, request_id: str, text: str, parsed: Parsed
    ) -> StatementRun:
        """Returns what is recorded of a statement if it runs."""
        if parsed.after is not None:
            text = text.split(" ", 2)[2]
        prepared = None
        if parsed.verb == "EXECUTE":
            prepared = self._prepared.get(parsed.name)
        return StatementRun(
            request_id,
            text,
            prepared,
            dict(self._values),
            self._number,
            self._state,
        )

    def _run_sql(self, request_id: str, parsed: Parsed) -> bytes:
        db = self._db
        if db.busy_answers and parsed.verb in ("READ", "WRITE", "EXECUTE"):
            db.busy_answers -= 1
            return self._error("BUSY", db.name)
        ends = parsed.verb in ("COMMIT", "ROLLBACK")
        if (
            (self._state == "E" and not ends)
            or (self._state == "I" and ends)
            or (self._state == "T" and parsed.verb == "BEGIN")
        ):
            return self._error("MALFORMED", db.name)
        match parsed.verb:
            case "BEGIN":
                if not parsed.data and not db.is_primary:
                    return self._error("READONLY", db.name)
                self._state = "T"
                self._read_only = bool(parsed.data)
                return self._done()
            case "ROLLBACK":
                self._end_transaction()
                return self._done()
            case "COMMIT" if self._state == "E":
                self._end_transaction()
                return self._error("ABORTED", db.name)
            case "COMMIT":
                if self._writes:
                    db._commit(tuple(self._writes))
                self._end_transaction()
                return self._complete(request_id, ())
            case "READ":
                return self._read(request_id, parsed.item)
            case "WRITE":
                return self._write(request_id, parsed.item, parsed.data)
            case "SET":
                self._values[parsed.name] = parsed.item
                return self._done()
            case "PREPARE":
                self._prepared[parsed.name] = Prepared(parsed.data, parsed.item)
                return self._done()
            case "EXECUTE":
                prepared = self._prepared.get(parsed.name)
                if prepared is None:
                    return self._error("NOSTMT", db.name)
                if prepared.kind == "WRITE":
                    return self._write(request_id, parsed.item, parsed.data)
                return self._read(request_id, parsed.item)
            case _:
                return self._error("MALFORMED", db.name)

    def _end_transaction(self) -> None:
        self._writes.clear()
        self._read_only = False
        self._state = "I"

    def _read(self, request_id: str, item: str) -> bytes:
        rows = [
            f"{commit.number}:{writer}"
            for commit in self._db.log
            for writer, written, _ in commit.writes
            if written == item
        ]
        odd = self._db.stutter.odd_rows()
        return self._complete(request_id, (*rows[-1:], *odd))

    def _write(self, request_id: str, item: str, data: str) -> bytes:
        if not self._db.is_primary or self._read_only:
            return self._error("READONLY", self._db.name)
        stutter = self._db.stutter
        if stutter.rng.random() < stutter.refused_share:
            return self._error("BUSY", self._db.name)
        write = (request_id, item, data)
        if self._state == "T":
            self._writes.append(write)
        else:
            self._db._commit((write,))
        return self._complete(request_id, ())

    def _complete(self, request_id: str, rows: tuple[str, ...]) -> bytes:
        self._db._signatures += 1
        signature = f"{self._db.name}.{self._db._signatures}"
        self._db.signed[signature] = SignedAnswer(request_id, rows)
        text = b"".join(encode_message("ROW", row) for row in rows)
        return text + encode_message("COMPLETE", signature)

    def _done(self) -> bytes:
        return encode_message("COMPLETE", "-")

    def _error(self, code: str, text: str) -> bytes:
        if self._state == "T":
            self._state = "E"
            self._writes.clear()
        return encode_message("ERROR", code, text)
