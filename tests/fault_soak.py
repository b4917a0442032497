"""A randomized fault soak of real processes; ``make soak-faults``.

The proxies run as processes of their own before stand-ins of the platform.
Faults come from outside: signals, loopback links, databases that crash, a
store that misbehaves, changes of the configuration; in series, overlapping.
What callers were told is compared with what the databases hold.
"""

import contextlib
import itertools
import pathlib
import random
import signal
import sys
import tempfile
from typing import NamedTuple

import trio

from faulty_link import FaultyLink, Mode
from lagoonstair.standins.statements._store import StoreFault
from proxy_fleet import HOST, ProxyFleet, config

INSTANCES = 4
CALLERS = 12
FAULT_SECONDS = 8.0
NO_EFFECT_OUTCOMES = (
    "BUSY",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "CONGESTED",
    "ABORTED",
)
FAULTS = (
    "kill",
    "stop",
    "term",
    "crash",
    "link",
    "store",
    "turn",
    "change",
    "leave",
    "lose",
    "forget",
)
"""What may happen; ``FaultMaker`` has a method for each."""

GONE = "gone"
"""What a caller notes when the connection ended without an answer."""

STALENESS_SECONDS = 1.5
"""The age that a read may have; as the fleet's configuration says."""

RECOVERY_SECONDS = 20
"""Until every instance serves again once the faults have ended."""


class Operation(NamedTuple):
    """One operation as its caller saw it.

    Attributes:
        kind: ``write``, ``commit`` or ``read``.
        ids: Request ids of its writes, in order; the read's own id.
        item: What was read or written; one caller writes an item.
        outcome: ``done``, an error's word, or ``gone``.
        signed: Whether a database's signature came with a success.
        seen: The request id that a read returned.
        term: The group's term when it began, and when it ended.
        session: The number of the caller's session.
        time: When it began and ended, in seconds.
    """

    kind: str
    ids: tuple[str, ...]
    item: str
    outcome: str
    signed: bool = True
    seen: str = ""
    term: tuple[int, int] = (1, 1)
    session: int = 0
    time: tuple[float, float] = (0.0, 0.0)


def find_violations(histories, logs, late):
    """What breaks the promises in a history.

    Args:
        histories: The operations of each caller, in order.
        logs: The log of each database, as request ids.
        late: Request ids that an old primary committed after a promotion.
    """
    final = max(logs.values(), key=lambda log: (log.term, len(log.ids)))
    operations = list(itertools.chain.from_iterable(histories))
    faults = []
    for name, log in logs.items():
        twice = {i for i in log.ids if log.ids.count(i) > 1}
        faults += [f"{i} took effect twice at {name}" for i in sorted(twice)]
    for op in operations:
        if op.outcome == "done" and not op.signed:
            faults.append(f"{op.ids}: success without a signature")
        kept = [i for i in op.ids if i in final.ids]
        if op.outcome in NO_EFFECT_OUTCOMES and kept and op.kind != "read":
            faults.append(f"{op.ids}: {op.outcome}, but {kept} were kept")
        if op.kind == "commit" and 0 < len(kept) < len(op.ids):
            faults.append(f"{op.ids}: only {kept} were kept")
        if op.outcome == "done" and set(op.ids) & late:
            faults.append(f"{op.ids}: acknowledged by a replaced primary")
    for history in histories:
        faults += _stale_reads(history)
    return faults


class Log(NamedTuple):
    """A database's log: its term, and the request ids of its writes."""

    term: int
    ids: list[str]


def _stale_reads(history):
    """Reads that lack a write that their caller was told of before."""
    faults = []
    written = []
    for op in history:
        if op.kind != "read":
            written.append(op)
            continue
        if op.outcome != "done":
            continue
        # A session sees its own writes, and every session those of before the
        # route's staleness.
        sure = [
            w
            for w in written
            if w.outcome == "done"
            and (
                w.session == op.session
                or w.time[1] < op.time[0] - STALENESS_SECONDS
            )
        ]
        if not sure or sure[-1].term[0] != op.term[1]:
            # A promotion in between may have rolled the write back.
            continue
        allowed = set()
        for later in written[written.index(sure[-1]) :]:
            allowed |= set(later.ids)
        if op.seen not in allowed:
            faults.append(
                f"{op.ids} read {op.seen!r} in session {op.session}, owed "
                f"{sure[-1].ids} of session {sure[-1].session}, "
                f"{op.time[0] - sure[-1].time[1]:.2f} s before"
            )
    return faults


class SoakFleet(ProxyFleet):
    """A fleet whose databases and stores are reached through faulty links."""

    def __init__(self, tmp_path, nursery):
        super().__init__(tmp_path, nursery)
        self.database_links = {}
        self.store_links = {}
        self.ended = []

    async def link(self, port):
        link = FaultyLink(port)
        await self._nursery.start(link.serve)
        return link

    async def store_port_of(self, name):
        if name not in self.store_links:
            port = await super().store_port_of(name)
            self.store_links[name] = await self.link(port)
        return self.store_links[name].port

    async def add_database(self, name, connections):
        database = await super().add_database(name, connections)
        self.database_links[name] = await self.link(database.port)
        self._publish_entry(database)
        return database

    def entry_of(self, database):
        entry = database.entry(HOST)
        link = self.database_links.get(database.name)
        if link is not None:
            entry["address"] = f"{HOST}:{link.port}"
        return entry


class SoakCaller:
    """Writes its own item, reads it back, and notes what it is told."""

    def __init__(self, fleet, number, rng):
        self._fleet = fleet
        self._number = number
        self._rng = rng
        self._ids = itertools.count()
        self._session = None
        self._number_of_session = 0
        self._began = 0.0
        self.operations = []

    async def run(self, stop):
        while not stop.is_set():
            try:
                await self._operate()
            except (OSError, trio.TooSlowError, trio.BrokenResourceError):
                # No session, or no answer in time; both are noted.
                self._leave()
            await trio.sleep(self._rng.uniform(0, 0.05))
        self._leave()

    def _leave(self):
        if self._session is not None:
            self._session.close()
        self._session = None

    async def _operate(self):
        if self._session is None or self._rng.random() < 0.05:
            self._leave()
            name = self._rng.choice(sorted(self._fleet.processes))
            self._session = await self._fleet.caller("s", instance=name)
            self._number_of_session += 1
            if self._session.greeting != ["READY I -"]:
                self._leave()
                return
        kind = self._rng.choice(["write", "commit", "read", "read"])
        self._began = trio.current_time()
        await getattr(self, f"_{kind}")()

    def _next(self):
        return f"c{self._number}-{next(self._ids)}"

    async def _ask(self, request_id, text):
        try:
            answer = await self._session.ask(request_id, text)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            answer = []
        if not answer or not answer[-1].startswith("READY"):
            self._leave()
            return GONE, answer
        for line in answer:
            verb, _, rest = line.partition(" ")
            if verb == "ERROR":
                return rest.split(" ")[0], answer
            if verb == "COMPLETE":
                return "done", answer
        return GONE, answer

    def _note(self, kind, ids, outcome, answer, term, seen=""):
        signed = any(
            line.startswith("COMPLETE ") and line != "COMPLETE -"
            for line in answer
        )
        now = self._fleet.group.term
        item = f"item{self._number}"
        self.operations.append(
            Operation(
                kind,
                ids,
                item,
                outcome,
                signed,
                seen,
                (term, now),
                self._number_of_session,
                (self._began, trio.current_time()),
            )
        )

    async def _write(self):
        term = self._fleet.group.term
        request_id = self._next()
        text = f"WRITE item{self._number} data"
        outcome, answer = await self._ask(request_id, text)
        self._note("write", (request_id,), outcome, answer, term)

    async def _read(self):
        term = self._fleet.group.term
        request_id = self._next()
        text = f"READ item{self._number}"
        outcome, answer = await self._ask(request_id, text)
        rows = [line for line in answer if line.startswith("ROW ")]
        seen = rows[0].partition(":")[2] if rows else ""
        self._note("read", (request_id,), outcome, answer, term, seen)

    async def _commit(self):
        term = self._fleet.group.term
        outcome, answer = await self._ask(self._next(), "BEGIN")
        ids = []
        for _ in range(2):
            if outcome != "done":
                break
            ids.append(self._next())
            text = f"WRITE item{self._number} data"
            outcome, answer = await self._ask(ids[-1], text)
        if outcome == "done":
            outcome, answer = await self._ask(self._next(), "COMMIT")
        elif self._session is not None:
            failed = outcome
            _, _ = await self._ask(self._next(), "ROLLBACK")
            outcome = failed
        if ids:
            self._note("commit", tuple(ids), outcome, answer, term)


class FaultInjector:
    """Brings faults about, one after another, and ends each later."""

    def __init__(self, fleet, rng, nursery):
        self._fleet = fleet
        self._rng = rng
        self._nursery = nursery
        self._version = 1
        self._down = set()
        self.schedule = []

    async def run(self, seconds):
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                name = self._rng.choice(FAULTS)
                pause = self._rng.uniform(0.2, 2.0)
                self.schedule.append(
                    (round(until - trio.current_time(), 2), name)
                )
                nursery.start_soon(getattr(self, f"_{name}"), pause)
                await trio.sleep(self._rng.uniform(0.1, 0.9))

    def _instance(self):
        up = sorted(set(self._fleet.processes) - self._down)
        return self._rng.choice(up) if len(up) > 1 else None

    async def _kill(self, pause):
        await self._end(signal.SIGKILL, pause)

    async def _term(self, pause):
        await self._end(signal.SIGTERM, pause)

    async def _end(self, number, pause):
        name = self._instance()
        if name is None:
            return
        self._down.add(name)
        self._fleet.signal(name, number)
        code = await self._fleet.wait_ended(name)
        self._fleet.ended.append((name, number, code))
        await trio.sleep(pause)
        await self._fleet.start_instance(name)
        await self._fleet.wait_ready(name)
        self._down.discard(name)

    async def _stop(self, pause):
        name = self._instance()
        if name is None:
            return
        self._down.add(name)
        self._fleet.signal(name, signal.SIGSTOP)
        await trio.sleep(pause)
        self._fleet.signal(name, signal.SIGCONT)
        self._down.discard(name)

    async def _crash(self, pause):
        database = self._rng.choice(sorted(self._fleet.group.databases))
        found = self._fleet.group.databases[database]
        if any(db.down for db in self._fleet.group.databases.values()):
            return
        found.crash()
        await trio.sleep(pause + 1.0)
        found.recover()

    async def _link(self, pause):
        name = self._rng.choice(sorted(self._fleet.database_links))
        link = self._fleet.database_links[name]
        link.set(self._rng.choice(list(Mode)))
        await trio.sleep(pause)
        link.set(Mode.OPEN)

    async def _turn(self, pause):
        name = self._rng.choice(sorted(self._fleet.store_links))
        link = self._fleet.store_links[name]
        link.set(self._rng.choice(list(Mode)))
        await trio.sleep(pause)
        link.set(Mode.OPEN)

    async def _store(self, pause):
        self._fleet.store.fault = self._rng.choice(list(StoreFault))
        await trio.sleep(pause)
        self._fleet.store.fault = StoreFault.NONE

    async def _forget(self, pause):
        self._fleet.store.truncate_history()

    async def _lose(self, pause):
        self._fleet.group.primary.answers_to_drop = self._rng.randint(1, 3)

    async def _leave(self, pause):
        primary = self._fleet.group.primary
        if primary.draining or primary.down:
            return
        primary.draining = True
        self._fleet.group.publish_entry(primary)
        await trio.sleep(pause + 2.0)
        primary.draining = False
        self._fleet.group.publish_entry(primary)

    async def _change(self, pause):
        self._version += 1
        cfg = config(version=self._version)
        cfg["limits"]["tx_idle_ms"] = 2000 + self._version
        self._fleet.store.put("op", "config", cfg)


async def run_seed(seed, tmp_path, *, seconds=FAULT_SECONDS):
    """Plays one seed; returns what broke and what was done."""
    rng = random.Random(seed)
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        fleet = SoakFleet(pathlib.Path(tmp_path), nursery)
        fleet.store.put("op", "config", config())
        try:
            await fleet.start(INSTANCES)
            callers = [
                SoakCaller(fleet, number, random.Random(f"{seed}/{number}"))
                for number in range(CALLERS)
            ]
            injector = FaultInjector(fleet, rng, nursery)
            async with trio.open_nursery() as work:
                for caller in callers:
                    work.start_soon(caller.run, stop)
                await injector.run(seconds)
                await _wait_recovered(fleet)
                stop.set()
            faults = check_results(fleet, callers)
        finally:
            fleet.stop()
            nursery.cancel_scope.cancel()
    return faults, injector.schedule, sum(len(c.operations) for c in callers)


async def _wait_recovered(fleet):
    """Returns once every instance has run a write again."""
    with trio.move_on_after(RECOVERY_SECONDS) as scope:
        for name in fleet.processes:
            await _wait_writable(fleet, name)
    if scope.cancelled_caught:
        fleet.ended.append(("fleet", "did not recover", None))


async def _wait_writable(fleet, name):
    for number in itertools.count():
        with contextlib.suppress(OSError, trio.TooSlowError):
            caller = await fleet.caller("p", instance=name)
            answer = await caller.ask(f"last-{name}-{number}", "WRITE z 1")
            caller.close()
            if any(line.startswith("COMPLETE") for line in answer):
                return
        await trio.sleep(0.1)


def check_results(fleet, callers):
    databases = fleet.group.databases
    logs = {
        name: Log(
            db.log[-1].term if db.log else 0,
            [w[0] for commit in db.log for w in commit.writes],
        )
        for name, db in databases.items()
    }
    late = set().union(*(db.superseded_commits for db in databases.values()))
    faults = find_violations(
        [caller.operations for caller in callers], logs, late
    )
    fences = [call.fence for call in fleet.duties.calls]
    if fences != sorted(fences):
        faults.append(f"fences went back: {fences}")
    for name, number, code in fleet.ended:
        if number == "did not recover":
            faults.append("an instance did not serve again")
        elif number == signal.SIGTERM and code != 0:
            faults.append(f"{name} ended with {code} after SIGTERM")
    for name, process in fleet.processes.items():
        if process.poll() is not None:
            faults.append(f"{name} ended by itself with {process.returncode}")
    return faults


def main(seeds):
    """Plays seeds, one after another; returns how many broke a promise."""
    broken = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as tmp_path:
            faults, schedule, count = trio.run(run_seed, seed, tmp_path)
            print(
                f"seed {seed}: {count} operations, {len(schedule)} faults: ",
                faults if faults else "ok",
                flush=True,
            )
            if faults:
                broken += 1
                print(schedule, flush=True)
                kept = pathlib.Path("build/soak") / str(seed)
                kept.mkdir(parents=True, exist_ok=True)
                for log in pathlib.Path(tmp_path).glob("*.log"):
                    (kept / log.name).write_bytes(log.read_bytes())
    return broken


if __name__ == "__main__":
    first, count = int(sys.argv[1]), int(sys.argv[2])
    sys.exit(1 if main(range(first, first + count)) else 0)
