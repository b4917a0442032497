"""Stand-ins for replicated databases that speak the statement protocol."""

import itertools
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from lagoonstair._types import Position
from lagoonstair.platform import lines
from lagoonstair.statements import (
    Begin,
    Execute,
    Prepare,
    PreparedStatement,
    Read,
    Rollback,
    SetValue,
    TransactionState,
    Write,
)
from lagoonstair.statements import (
    Commit as CommitStatement,
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
        omits_position: Whether its answers omit the log position.
        max_open_connections: The largest number of connections that were
            open at the same time.
        superseded_commits: The ids of requests that it committed while
            another database was the primary of a later term.
        statements: Request id and text of the run statements, in order.
        received_ids: The ids of the callers' requests that it has received.
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
        self.omits_position = False
        self.max_open_connections = 0
        self.superseded_commits: set[str] = set()
        self.statements: list[tuple[str, str]] = []
        self.received_ids: set[str] = set()

    @property
    def position(self) -> Position:
        """The position of the last commit in the log."""
        if not self.log:
            return Position(self.term, 0)
        return Position(self.log[-1].term, self.log[-1].number)

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
            "zone": "a",
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
        try:
            await _Connection(self, stream).run()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # The client has disconnected, or the database has crashed.
            return
        finally:
            self._open.discard(stream)
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await stream.aclose()


class _Connection:
    """A connection with its transaction and prepared statements."""

    def __init__(self, database: Database, stream: trio.SocketStream) -> None:
        self._db = database
        self._stream = stream
        self._splitter = lines.LineSplitter()
        self._state = TransactionState.IDLE
        self._read_only = False
        self._writes: list[tuple[str, str, str]] = []
        self._prepared: dict[str, PreparedStatement] = {}

    async def run(self) -> None:
        if not await self._handshake():
            return
        while (line := await self._read_line()) is not None:
            _, request_id, text = line.decode("latin-1").split(" ", 2)
            if text == "STATUS":
                await trio.sleep(self._db.status_seconds)
            elif request_id != "-":
                self._db.received_ids.add(request_id)
                await trio.sleep(self._db.statement_seconds)
            commits = len(self._db.log)
            answer = self._run_statement(request_id, text)
            if self._db.is_primary and len(self._db.log) > commits:
                await self._db._wait_replicated()
            if self._db.answers_to_drop and request_id != "-":
                self._db.answers_to_drop -= 1
                await trio.sleep_forever()
            await self._stream.send_all(answer + self._ready_line())

    async def _handshake(self) -> bool:
        line = await self._read_line()
        if line is None:
            return False
        _, group, _, *names = line.decode("latin-1").split(" ")
        if group != self._db._group.name or names not in ([], [self._db.name]):
            await self._stream.send_all(b"ERROR MISROUTED wrong\r\n")
            return False
        if len(self._db._open) > self._db._max_connections:
            await self._stream.send_all(b"ERROR CONGESTED full\r\n")
            return False
        await self._stream.send_all(self._ready_line())
        return True

    def _ready_line(self) -> bytes:
        term, number = self._db.position
        state = lines.STATE_WORDS[self._state]
        if self._db.omits_position:
            return f"READY {state} -\r\n".encode("latin-1")
        return f"READY {state} {term}.{number}\r\n".encode("latin-1")

    async def _read_line(self) -> bytes | None:
        while (line := self._splitter.next_line()) is None:
            chunk = await self._stream.receive_some(READ_BYTES)
            if not chunk or self._db.down:
                return None
            self._splitter.feed(chunk)
        return line

    def _run_statement(self, request_id: str, text: str) -> bytes:
        db = self._db
        db._apply_due_events()
        db.statements.append((request_id, text))
        verb, _, rest = text.partition(" ")
        match verb:
            case "AFTER":
                position, _, text = rest.partition(" ")
                required = lines.parse_position(position)
                if required is not None and db.position < required:
                    return self._error(f"LAGGING {db.name}")
            case "STATUS" if db.busy_statuses:
                db.busy_statuses -= 1
                return self._error(f"BUSY {db.name}")
            case "STATUS":
                role = "primary" if db.is_primary else "replica"
                received = f"{db.received.term}.{db.received.offset}"
                row = f"ROW {role} {db.term} {received} {db.term} 0 0 1\r\n"
                return row.encode() + b"COMPLETE -\r\n"
            case "DEMOTE":
                db.demote()
                return b"COMPLETE -\r\n"
            case "RESET":
                self._prepared.clear()
                return b"COMPLETE -\r\n"
            case "SUSPEND" | "RESUME":
                return b"COMPLETE -\r\n"
        return self._run_sql(request_id, text)

    def _run_sql(self, request_id: str, text: str) -> bytes:
        db = self._db
        statement = lines.parse_statement(text)
        if db.busy_answers and isinstance(statement, Read | Write | Execute):
            db.busy_answers -= 1
            return self._error(f"BUSY {db.name}")
        match statement:
            case Begin(read_only):
                if not read_only and not db.is_primary:
                    return self._error(f"READONLY {db.name}")
                self._state = TransactionState.OPEN
                self._read_only = read_only
                return b"COMPLETE -\r\n"
            case Rollback():
                self._writes.clear()
                self._state = TransactionState.IDLE
                return b"COMPLETE -\r\n"
            case CommitStatement():
                if self._writes:
                    db._commit(tuple(self._writes))
                self._writes.clear()
                self._state = TransactionState.IDLE
                return self._complete(())
            case Read(text):
                return self._read(text.split(" ")[1])
            case Write(text):
                _, item, data = text.split(" ", 2)
                return self._write(request_id, item, data)
            case Prepare(name, prepared):
                self._prepared[name] = prepared
                return b"COMPLETE -\r\n"
            case Execute(name, arguments):
                executed = self._prepared.get(name)
                if executed is None:
                    return self._error("NOSTMT")
                item, _, data = arguments.partition(" ")
                if executed.writes:
                    return self._write(request_id, item, data)
                return self._read(item)
            case SetValue():
                return b"COMPLETE -\r\n"
            case _:
                return self._error("MALFORMED")

    def _read(self, item: str) -> bytes:
        rows = [
            f"{commit.number}:{request_id}"
            for commit in self._db.log
            for request_id, written, _ in commit.writes
            if written == item
        ]
        return self._complete(tuple(rows[-1:]))

    def _write(self, request_id: str, item: str, data: str) -> bytes:
        if not self._db.is_primary or self._read_only:
            return self._error(f"READONLY {self._db.name}")
        write = (request_id, item, data)
        if self._state is TransactionState.OPEN:
            self._writes.append(write)
        else:
            self._db._commit((write,))
        return self._complete(())

    def _complete(self, rows: tuple[str, ...]) -> bytes:
        self._db._signatures += 1
        text = "".join(f"ROW {row}\r\n" for row in rows)
        signature = f"{self._db.name}.{self._db._signatures}"
        return f"{text}COMPLETE {signature}\r\n".encode("latin-1")

    def _error(self, text: str) -> bytes:
        if self._state is TransactionState.OPEN:
            self._state = TransactionState.FAILED
            self._writes.clear()
        return f"ERROR {text}\r\n".encode("latin-1")
