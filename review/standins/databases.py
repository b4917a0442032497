"""Stand-ins for replicated databases that speak the wire protocol.

They use the standard library only and follow PROTOCOL.md: logs with terms,
replicas that receive and later apply, synchronous replicas, slots with a
queue, promotions and the commands STATUS, SUSPEND, RESUME, DEMOTE and RESET.
"""

import asyncio
import time

HOST = "127.0.0.1"
HANDSHAKE_SECONDS = 0.012
STATUS_SECONDS = 0.0005
QUEUE_LENGTH = 40
NETWORK_SECONDS = 0.001
HEARTBEAT_SECONDS = 1.2
MISSED_HEARTBEATS = 3
OLD_PRIMARY_SECONDS = 1.0


class Service:
    """A service: one primary and its replicas."""

    def __init__(
        self,
        name,
        store,
        note,
        *,
        slots,
        connections,
        lag_s,
        promote_s,
        sync,
        work_s,
    ):
        self.name = name
        self.store = store
        self.note = note
        self.slots = slots
        self.connections = connections
        self.lag_s = lag_s
        self.promote_s = promote_s
        self.sync = sync
        self.work_s = work_s
        self.term = 1
        self.databases = {}
        self.acknowledged = {}
        self.promotions = []
        self._promoting = None

    async def add(self, name, zone):
        """Adds a database; the first one is the primary."""
        database = Database(self, name, zone)
        database.is_primary = not self.databases
        self.databases[name] = database
        if not database.is_primary:
            database.follow(self.primary)
        await database.start()
        return database

    @property
    def primary(self):
        """The primary of the newest term."""
        return max(
            (db for db in self.databases.values() if db.is_primary),
            key=lambda db: db.term,
        )

    def promote(self, database):
        """Lets a database lead the next term after ``promote_s``."""
        if database is self.primary or self._promoting is database:
            return
        self._promoting = database
        asyncio.get_running_loop().call_later(
            self.promote_s, self._take_effect, database
        )

    def _take_effect(self, database):
        if self._promoting is not database or database.down:
            return
        self._promoting = None
        old = self.primary
        self.term += 1
        database.term = self.term
        database.is_primary = True
        database.applied = len(database.log)
        for other in self.databases.values():
            other.suspended = False
            if other is not database and not other.is_primary:
                other.follow(database)
        has = {
            request for _, _, requests in database.log for request in requests
        }
        missing = [key for key in self.acknowledged if key not in has]
        self.promotions.append((time.monotonic(), database.name, missing))
        self.note(
            "promoted",
            id=database.name,
            term=self.term,
            log=len(database.log),
            acknowledged_commits_missing=len(missing),
            first_missing=missing[:3],
        )
        database.publish()
        asyncio.get_running_loop().call_later(
            OLD_PRIMARY_SECONDS, old.demote_if_reachable, database
        )


class Database:
    """One database with its log."""

    def __init__(self, service, name, zone):
        self.service = service
        self.name = name
        self.zone = zone
        self.port = 0
        self.term = 1
        self.is_primary = False
        self.log = []
        self.applied = 0
        self.down = False
        self.deaf = False
        self.suspended = False
        self.draining = False
        self.slow = 1.0
        self.lag_s = service.lag_s
        self.runs = []
        self.passed_on = set()
        self._writers = set()
        self._slots = asyncio.Semaphore(service.slots)
        self._waiting = 0
        self._sequence = 0
        self._received = asyncio.Event()
        self._signatures = 0
        self._silent_for = 0

    async def start(self):
        """Listens on a free port and publishes its entry."""
        self._server = await asyncio.start_server(
            self._serve, HOST, 0, backlog=256
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.publish()
        self._beat_task = asyncio.create_task(self._beat())

    async def crash(self):
        """Ends like a killed process: its port refuses connections."""
        self.down = True
        self._server.close()
        for writer in [*self._writers]:
            writer.transport.abort()

    async def restart(self):
        """Comes back with its log; as a replica if another one was promoted."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=256
        )
        self.down = False
        if self.service.primary is not self:
            self.is_primary = False
            self.follow(self.service.primary)
        self.publish()

    async def leave(self, seconds):
        """Reports that it drains, serves on for a while and ends for good."""
        self.draining = True
        self.publish()
        await asyncio.sleep(seconds)
        await self.crash()
        self.service.store.delete("servers", self.name)
        self._beat_task.cancel()

    def publish(self):
        """Writes the entry into the store."""
        self._sequence += 1
        self.service.store.put(
            "servers",
            self.name,
            {
                "service": self.service.name,
                "address": f"{HOST}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.service.slots,
                "state": "draining" if self.draining else "ready",
                "cold_left_ms": 0,
                "seq_no": self._sequence,
                "born": 1700000000000,
                "db_role": "primary" if self.is_primary else "replica",
            },
        )

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if not self.down:
                self._silent_for = 0
                self.publish()
                continue
            self._silent_for += 1
            if self._silent_for == MISSED_HEARTBEATS:
                self.service.store.delete("servers", self.name)

    def follow(self, primary):
        """Takes over a primary's log; commits that it lacks are rolled back."""
        self.term = primary.term
        self.log = list(primary.log)
        self.applied = min(self.applied, len(self.log))
        self._apply_later()
        if self.port:
            self.publish()

    def demote_if_reachable(self, new):
        """Gives up the lead once it can reach the new primary."""
        if self.is_primary and self is not new and not self.down:
            self.is_primary = False
            self.follow(new)

    def hear(self):
        """Ends a time in which the replica received nothing."""
        self.deaf = False
        primary = self.service.primary
        if not self.is_primary and not self.suspended:
            self.follow(primary)
            self._received.set()

    def position(self, count):
        """Returns the position after so many commits."""
        if not count:
            return f"{1}.0"
        term, number, _ = self.log[count - 1]
        return f"{term}.{number}"

    def receive(self, entries, term):
        """Receives the primary's log; returns whether it was taken."""
        if self.down or self.deaf or self.suspended or term < self.term:
            return False
        self.log = list(entries)
        self._apply_later()
        return True

    def _apply_later(self):
        log, count = self.log, len(self.log)

        def apply():
            if self.log[:count] == log[:count]:
                self.applied = max(self.applied, min(count, len(self.log)))

        asyncio.get_running_loop().call_later(self.lag_s, apply)

    async def commit(self, requests):
        """Commits writes; waits for the synchronous replicas."""
        number = (self.log[-1][1] if self.log else 0) + 1
        self.log = [*self.log, (self.term, number, tuple(requests))]
        self.applied = len(self.log)
        term, entries = self.term, self.log
        await asyncio.sleep(NETWORK_SECONDS)
        while True:
            received = [
                other.receive(entries, term)
                for other in self.service.databases.values()
                if other is not self
                and (len(other.log) < len(entries) or other.log == entries)
            ]
            newer = sum(
                len(other.log) > len(entries)
                for other in self.service.databases.values()
                if other is not self and not other.suspended
            )
            if sum(received) + newer >= self.service.sync or self.down:
                return
            await asyncio.sleep(0.02)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await Connection(self, reader, writer).run()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ValueError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def work(self, seconds):
        """Occupies a slot; returns false if the queue is full."""
        if self._slots.locked() and self._waiting >= QUEUE_LENGTH:
            return False
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            await asyncio.sleep(seconds * self.slow)
        finally:
            self._slots.release()
        return True

    def signature(self):
        """Returns a new signature."""
        self._signatures += 1
        return f"{self.name}.{self._signatures}"

    @property
    def connections(self):
        """Number of open connections."""
        return len(self._writers)


class Connection:
    """A connection to a database."""

    def __init__(self, database, reader, writer):
        self._db = database
        self._reader = reader
        self._writer = writer
        self._state = "I"
        self._read_only = False
        self._writes = []
        self._prepared = {}

    async def run(self):
        line = (await self._reader.readuntil(b"\n")).decode().split()
        service, names = line[1], line[3:]
        if service != self._db.service.name or names not in (
            [],
            [self._db.name],
        ):
            self._writer.write(b"ERROR MISROUTED no\r\n")
            return
        if self._db.connections > self._db.service.connections:
            self._writer.write(b"ERROR CONGESTED full\r\n")
            return
        if not await self._db.work(HANDSHAKE_SECONDS):
            self._writer.write(b"ERROR BUSY full\r\n")
            return
        self._send("")
        while True:
            line = await self._reader.readuntil(b"\n")
            _, request, text = line.decode().rstrip("\r\n").split(" ", 2)
            self._db.passed_on.add(request)
            answer = await self._answer(request, text)
            if self._db.down:
                return
            self._send(answer)

    def _send(self, answer):
        position = self._db.position(self._db.applied)
        self._writer.write(
            f"{answer}READY {self._state} {position}\r\n".encode()
        )

    def _error(self, text):
        if self._state == "T":
            self._state = "E"
            self._writes.clear()
        return f"ERROR {text}\r\n"

    async def _answer(self, request, text):
        db = self._db
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            needed, _, text = rest.partition(" ")
            verb, _, rest = text.partition(" ")
            have = db.position(db.applied)
            if _parse(have) < _parse(needed):
                return self._error(f"LAGGING {db.name}")
        match verb:
            case "BEGIN":
                if rest != "READ" and not db.is_primary:
                    return self._error(f"READONLY {db.name}")
                self._state, self._read_only = "T", rest == "READ"
                return "COMPLETE -\r\n"
            case "ROLLBACK":
                self._state = "I"
                self._writes.clear()
                return "COMPLETE -\r\n"
            case "SET" | "DEALLOC":
                return "COMPLETE -\r\n"
            case "RESET":
                self._prepared.clear()
                return "COMPLETE -\r\n"
            case "PREPARE":
                name, kind, shape = rest.split(" ", 2)
                self._prepared[name] = (kind, shape)
                return "COMPLETE -\r\n"
            case "STATUS":
                return await self._status()
            case "SUSPEND":
                if not db.is_primary and int(rest) > db.service.term:
                    db.suspended = True
                return await self._status()
            case "RESUME":
                db.suspended = False
                return await self._status()
            case "DEMOTE":
                if db.is_primary and int(rest) > db.term:
                    db.demote_if_reachable(db.service.primary)
                return await self._status()
            case "COMMIT":
                return await self._commit(request)
        return await self._run(request, verb, rest)

    async def _status(self):
        db = self._db
        if not await db.work(STATUS_SECONDS):
            return f"ERROR BUSY {db.name}\r\n"
        role = "primary" if db.is_primary else "replica"
        received = db.position(len(db.log))
        return (
            f"ROW {role} {db.term} {received} {db.term} 0 {db._waiting} "
            f"{db.connections}\r\nCOMPLETE -\r\n"
        )

    async def _run(self, request, verb, rest):
        db = self._db
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return self._error(f"NOSTMT {name}")
            verb = self._prepared[name][0]
        started_at = time.monotonic()
        if verb == "WRITE" and (not db.is_primary or self._read_only):
            return self._error(f"READONLY {db.name}")
        if not await db.work(db.service.work_s):
            return self._error(f"BUSY {db.name}")
        if verb == "READ":
            log = db.log[: db.applied]
            has = {request for _, _, requests in log for request in requests}
            db.runs.append((started_at, request, "READ", has))
            return f"ROW {len(log)}\r\nCOMPLETE {db.signature()}\r\n"
        if not db.is_primary:
            return self._error(f"READONLY {db.name}")
        db.runs.append((started_at, request, "WRITE", None))
        if self._state == "T":
            self._writes.append(request)
        else:
            await db.commit([request])
        return f"COMPLETE {db.signature()}\r\n"

    async def _commit(self, request):
        db = self._db
        if not await db.work(db.service.work_s):
            return f"ERROR BUSY {db.name}\r\n"
        if self._writes:
            if not db.is_primary:
                return self._error(f"READONLY {db.name}")
            await db.commit(self._writes)
        db.runs.append((time.monotonic(), request, "COMMIT", None))
        self._state, self._writes = "I", []
        return f"COMPLETE {db.signature()}\r\n"


def _parse(position):
    term, _, number = position.partition(".")
    return int(term), int(number)
