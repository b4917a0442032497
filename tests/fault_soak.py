"""A randomized fault soak of proxy processes; ``make soak-faults``.

The proxies run as processes of their own and use stand-ins of the platform.
Faults are injected from outside, one after another and overlapping: signals,
network faults, database crashes, store faults and configuration changes. The
outcomes that callers saw are then compared with the databases' logs.
"""

import contextlib
import functools
import itertools
import pathlib
import random
import re
import signal
import sys
import tempfile
from typing import NamedTuple

import trio

from faulty_link import FaultyLink, Mode
from lagoonstair.standins.statements import Stutter
from lagoonstair.standins.statements._store import StoreFault
from proxy_fleet import HOST, ProxyFleet, config
from strict_callers import (
    Answer,
    Sent,
    StrictCaller,
    find_differences,
    odd_text,
)

INSTANCES = 4
CALLERS = 12

STRICT_CALLERS = 8
"""How many callers of odd fields run beside the others."""

FIRST_STRICT_CALLER = 100
"""Number of the first of them, so that ids and items are their own."""

FAULT_SECONDS = 8.0
"""How long a seed injects faults by default, in seconds."""

NO_EFFECT_OUTCOMES = (
    "BUSY",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "CONGESTED",
    "ABORTED",
)
"""Errors that guarantee that the statement had no effect."""

FAULTS = (
    "kill",
    "stop",
    "terminate",
    "crash",
    "disturb_database_link",
    "fail_store",
    "disturb_store_link",
    "change_config",
    "drain",
    "drop_answers",
    "truncate_feed",
)
"""The faults to choose from; ``FaultInjector`` has a method for each. A seed
draws by position, so the order is part of what a seed means."""

GONE = "gone"
"""The outcome of an operation whose connection ended without an answer."""

STALENESS_SECONDS = 1.5
"""The maximum age of the data that a read may return, in seconds; the same as
in the fleet's configuration."""

LATE_PROMOTIONS = 0.3
"""The fraction of promotions that take effect late."""

LATE_PROMOTION_SECONDS = (2.0, 6.0)
"""How long a late promotion takes at least and at most, in seconds; an instance
calls for a promotion again after 3 s without effect."""

RESTORES = 3
"""How many times at most a seed restores the store from an older copy."""

COPY_SECONDS = 0.25
"""The interval between copies of the store, in seconds."""

COPY_AGE_SECONDS = (0.5, 12.0)
"""How old the restored copy is at least and at most, in seconds."""

REWRITE_SECONDS = (0.0, 2.0)
"""How long after a restore the operator and the databases write their rows
again at least and at most, in seconds."""

SILENCES = 3
"""How many times at most a seed makes open connections silent for good."""

STUTTER_SECONDS = (0.5, 2.0)
"""How long databases keep one way of answering oddly at least and at most, in
seconds."""

CALM_STUTTER_SECONDS = 2.0
"""How long the databases go on to answer oddly after the last fault, in
seconds; with some seeds nothing is served before."""

REPEAT_SHARE = 0.1
REFUSED_SHARE = 0.3
CUT_SHARE = 0.03
"""The greatest shares of answers that come twice, of writes that are refused
and of answers that end early."""

REPEAT_SECONDS = 0.3
"""How much later the copy of an answer comes at most, in seconds."""

ODD_ENTRIES = (
    b"[" * 60_000,
    b'{"more":' + b'{"a":' * 10_000 + b"1" + b"}" * 10_001,
    b'{"service":"g","address":"127.0.0.1:99999","zone":"a","slots":4,'
    b'"state":"ready","db_role":"primary","seq_no":' + b"9" * 30 + b"}",
    b'{"service":"g","address":"fe80::1%' + b"x" * 70 + b':80","zone":"a",'
    b'"slots":4,"state":"ready","db_role":"replica","seq_no":1}',
)
"""Entries of another writer among those of the databases."""

FAULT_EVENTS = ("task failed", "session failed", "registry row unusable")
"""Log events of exceptions that nobody expects."""

CONFIG_SECONDS = 3.0
"""How long after its acknowledgement a configuration may not be in force, in
seconds."""

EVACUATION_SECONDS = 5.0
"""How long after its acknowledgement an evacuated domain may get requests, in
seconds."""

EVACUATION_PAUSES = (0.3, 3.0)
"""How long a domain is evacuated, and then is not, at least and at most, in
seconds."""

ZONES = {"d1": "a", "d2": "b", "d3": "c"}
"""The failure domain of each database when domains are evacuated."""

RECOVERY_SECONDS = 20
"""How long all instances may take to serve again after the faults have ended,
in seconds."""


class Operation(NamedTuple):
    """One operation as its caller saw it.

    Attributes:
        kind: ``write``, ``commit`` or ``read``.
        ids: The request ids of its writes, in order; for a read its own id.
        item: The item read or written; each item has only one caller.
        outcome: ``done``, an error code, or ``gone``.
        signed: Whether the answer had a database's signature.
        seen: The request id that a read returned.
        term: The group's term when the operation began and when it ended.
        session: The number of the caller's session.
        time: When the operation began and ended, on trio's clock in seconds.
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
    """Returns the violations of the proxy's guarantees in a history.

    Args:
        histories: The operations of each caller, in order.
        logs: The log of each database, as request ids.
        late: Request ids that a superseded primary committed after a
            promotion.
    """
    final = max(logs.values(), key=lambda log: (log.term, len(log.ids)))
    operations = list(itertools.chain.from_iterable(histories))
    violations = []
    for name, log in logs.items():
        repeated = {i for i in log.ids if log.ids.count(i) > 1}
        violations += [
            f"{i} took effect twice at {name}" for i in sorted(repeated)
        ]
    for op in operations:
        if op.outcome == "done" and not op.signed:
            violations.append(f"{op.ids}: success without a signature")
        present = [i for i in op.ids if i in final.ids]
        if op.outcome in NO_EFFECT_OUTCOMES and present and op.kind != "read":
            violations.append(
                f"{op.ids}: {op.outcome}, but {present} were kept"
            )
        if op.kind == "commit" and 0 < len(present) < len(op.ids):
            violations.append(f"{op.ids}: only {present} were kept")
        if op.outcome == "done" and set(op.ids) & late:
            violations.append(f"{op.ids}: acknowledged by a replaced primary")
    for history in histories:
        violations += _stale_reads(history)
    return violations


class Log(NamedTuple):
    """A database's log: its last term and the request ids of its writes."""

    term: int
    ids: list[str]


def _stale_reads(history):
    """Returns the reads that lack a write acknowledged to their caller."""
    violations = []
    written = []
    for op in history:
        if op.kind != "read":
            written.append(op)
            continue
        if op.outcome != "done":
            continue
        # A read must return the session's own writes, and those of other
        # sessions that are older than the route's staleness bound.
        required = [
            w
            for w in written
            if w.outcome == "done"
            and (
                w.session == op.session
                or w.time[1] < op.time[0] - STALENESS_SECONDS
            )
        ]
        if not required or required[-1].term[0] != op.term[1]:
            # A promotion since the write may have rolled it back.
            continue
        allowed = set()
        for later in written[written.index(required[-1]) :]:
            allowed |= set(later.ids)
        if op.seen not in allowed:
            violations.append(
                f"{op.ids} read {op.seen!r} in session {op.session}, expected "
                f"{required[-1].ids} of session {required[-1].session}, "
                f"{op.time[0] - required[-1].time[1]:.2f} s earlier"
            )
    return violations


class LastWrites:
    """The writes after the faults, as ``find_differences`` takes them.

    Attributes:
        sent: The statements, in order; their answers are not compared.
        errors: Always empty.
    """

    def __init__(self):
        self.sent = []
        self.errors = ()


class SoakFleet(ProxyFleet):
    """A fleet that reaches its databases and stores through faulty links.

    Attributes:
        database_links: The link to each database, by the database's name.
        store_links: The link to the store of each instance, by its name.
        last_writes: The writes that show that instances serve again.
        ended: Name, signal and exit status of each instance that was ended;
            an entry of the fleet itself says that it did not recover.
    """

    def __init__(self, tmp_path, nursery):
        super().__init__(tmp_path, nursery)
        self.database_links = {}
        self.store_links = {}
        self.last_writes = LastWrites()
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

    def versions(self, name):
        """Returns the versions that came into force at the newest process."""
        log = self.log(name)
        starts = [n for n, e in enumerate(log) if e["event"] == "starting"]
        return [
            line["version"]
            for line in log[starts[-1] :]
            if line["event"] == "configuration in force"
        ]

    def entry_of(self, database):
        entry = database.entry(HOST)
        link = self.database_links.get(database.name)
        if link is not None:
            entry["address"] = f"{HOST}:{link.port}"
        return entry


ITEM_ROW = re.compile(r"ROW \d+:(c\d+-\d+)")
"""A row that tells which request wrote the item."""


def sent_statement(request_id, text, operation=0, state="I"):
    """Returns a statement without an answer, sent without session values."""
    return Sent(request_id, text, None, {}, operation, state, None)


def whole_answer(lines):
    """Returns an answer from its lines, of which the last is READY."""
    *rows, end, ready = lines
    word, _, rest = end.partition(" ")
    return Answer(
        tuple(row.partition(" ")[2] for row in rows),
        rest if word == "COMPLETE" else "",
        rest.partition(" ")[0] if word == "ERROR" else "",
        ready.split(" ")[1],
    )


class SoakCaller:
    """Writes and reads an item of its own and records the outcomes.

    Attributes:
        operations: The operations so far, in order.
        sent: The statements so far, in order.
        errors: Always empty; see ``StrictCaller``.
    """

    def __init__(self, fleet, number, rng):
        self._fleet = fleet
        self._number = number
        self._rng = rng
        self._ids = itertools.count()
        self._session = None
        self._session_number = 0
        self._began = 0.0
        self._state = "I"
        self._operation_number = 0
        self.operations = []
        self.sent = []
        self.errors = ()

    async def run(self, stop):
        while not stop.is_set():
            try:
                await self._operate()
            except (OSError, trio.TooSlowError, trio.BrokenResourceError):
                # No session, or no answer in time; the next operation opens
                # a new session.
                self._close_session()
            await trio.sleep(self._rng.uniform(0, 0.05))
        self._close_session()

    def _close_session(self):
        if self._session is not None:
            self._session.close()
        self._session = None

    async def _operate(self):
        if self._session is None or self._rng.random() < 0.05:
            self._close_session()
            name = self._rng.choice(sorted(self._fleet.processes))
            self._session = await self._fleet.caller("s", instance=name)
            self._session_number += 1
            self._state = "I"
            if self._session.greeting != ["READY I -"]:
                self._close_session()
                return
        kind = self._rng.choice(["write", "commit", "read", "read"])
        self._began = trio.current_time()
        self._operation_number += 1
        await getattr(self, f"_{kind}")()

    def _next_request_id(self):
        return f"c{self._number}-{next(self._ids)}"

    async def _ask(self, request_id, text):
        sent = sent_statement(
            request_id, text, self._operation_number, self._state
        )
        # Recorded before the answer, because an endpoint may run it first.
        self.sent.append(sent)
        try:
            answer = await self._session.ask(request_id, text)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            answer = []
        if not answer or not answer[-1].startswith("READY"):
            self._close_session()
            return GONE, answer
        self.sent[-1] = sent._replace(answer=whole_answer(answer))
        self._state = self.sent[-1].answer.state
        for line in answer:
            verb, _, rest = line.partition(" ")
            if verb == "ERROR":
                return rest.split(" ")[0], answer
            if verb == "COMPLETE":
                return "done", answer
        return GONE, answer

    def _record(self, kind, ids, outcome, answer, term, seen=""):
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
                self._session_number,
                (self._began, trio.current_time()),
            )
        )

    async def _write(self):
        term = self._fleet.group.term
        request_id = self._next_request_id()
        text = f"WRITE item{self._number} data"
        outcome, answer = await self._ask(request_id, text)
        self._record("write", (request_id,), outcome, answer, term)

    async def _read(self):
        term = self._fleet.group.term
        request_id = self._next_request_id()
        text = f"READ item{self._number}"
        outcome, answer = await self._ask(request_id, text)
        # Odd rows may follow the item's row.
        row = ITEM_ROW.fullmatch(answer[0]) if answer else None
        seen = row[1] if row else ""
        self._record("read", (request_id,), outcome, answer, term, seen)

    async def _commit(self):
        term = self._fleet.group.term
        outcome, answer = await self._ask(self._next_request_id(), "BEGIN")
        ids = []
        for _ in range(2):
            if outcome != "done":
                break
            ids.append(self._next_request_id())
            text = f"WRITE item{self._number} data"
            outcome, answer = await self._ask(ids[-1], text)
        if outcome == "done":
            outcome, answer = await self._ask(self._next_request_id(), "COMMIT")
        elif self._session is not None:
            failed = outcome
            _, _ = await self._ask(self._next_request_id(), "ROLLBACK")
            outcome = failed
        if ids:
            self._record("commit", tuple(ids), outcome, answer, term)


class FaultInjector:
    """Injects faults, one after another, and ends each of them after a pause.

    Attributes:
        schedule: Each fault with the seconds left when it began.
        version: The version of the newest configuration.
        evacuated: The failure domains that the operator evacuates.
    """

    def __init__(self, fleet, rng, nursery):
        self._fleet = fleet
        self._rng = rng
        self._nursery = nursery
        self.version = 1
        self.evacuated = set()
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

    def _choose_instance(self):
        up = sorted(set(self._fleet.processes) - self._down)
        return self._rng.choice(up) if len(up) > 1 else None

    async def _kill(self, pause):
        await self._end_process(signal.SIGKILL, pause)

    async def _terminate(self, pause):
        await self._end_process(signal.SIGTERM, pause)

    async def _end_process(self, number, pause):
        name = self._choose_instance()
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
        name = self._choose_instance()
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

    async def _disturb_database_link(self, pause):
        name = self._rng.choice(sorted(self._fleet.database_links))
        link = self._fleet.database_links[name]
        link.set(self._rng.choice(list(Mode)))
        await trio.sleep(pause)
        link.set(Mode.OPEN)

    async def _disturb_store_link(self, pause):
        name = self._rng.choice(sorted(self._fleet.store_links))
        link = self._fleet.store_links[name]
        link.set(self._rng.choice(list(Mode)))
        await trio.sleep(pause)
        link.set(Mode.OPEN)

    async def _fail_store(self, pause):
        self._fleet.store.fault = self._rng.choice(list(StoreFault))
        await trio.sleep(pause)
        self._fleet.store.fault = StoreFault.NONE

    async def _truncate_feed(self, pause):
        self._fleet.store.truncate_history()

    async def _drop_answers(self, pause):
        self._fleet.group.primary.answers_to_drop = self._rng.randint(1, 3)

    async def _drain(self, pause):
        primary = self._fleet.group.primary
        if primary.draining or primary.down:
            return
        primary.draining = True
        self._fleet.group.publish_entry(primary)
        await trio.sleep(pause + 2.0)
        primary.draining = False
        self._fleet.group.publish_entry(primary)

    async def _change_config(self, pause):
        self.version += 1
        self.write_config()

    def write_config(self):
        """Writes the newest configuration, also after the store lost it."""
        cfg = config(version=self.version)
        cfg["limits"]["tx_idle_ms"] = 2000 + self.version
        self._fleet.store.put("op", "config", cfg)

    def write_evacuations(self):
        """Writes or removes each row, also after the store lost the change."""
        for zone in ZONES.values():
            key = f"evacuate/{zone}"
            is_there = self._fleet.store.row("op", key) is not None
            if zone in self.evacuated:
                self._fleet.store.put("op", key, {})
            elif is_there:
                self._fleet.store.delete("op", key)


class Operator:
    """Evacuates failure domains, one or two at a time, and returns them.

    It draws from a stream of its own, so that a seed keeps its other faults.
    """

    def __init__(self, rng, injector):
        self._rng = rng
        self._injector = injector

    async def run(self, seconds):
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            await trio.sleep(self._rng.uniform(*EVACUATION_PAUSES))
            count = self._rng.choice((1, 1, 2))
            zones = set(self._rng.sample(sorted(ZONES.values()), count))
            self._injector.evacuated = zones
            self._injector.write_evacuations()
            self._injector.schedule.append(
                (round(until - trio.current_time(), 2), f"evacuate {zones}")
            )
            await trio.sleep(self._rng.uniform(*EVACUATION_PAUSES))
            self._injector.evacuated = set()
            self._injector.write_evacuations()


class StoreRestorer:
    """Takes the store down and brings it back from an older copy.

    It draws from a stream of its own, so that a seed keeps its other faults.
    """

    def __init__(self, fleet, rng, injector):
        self._fleet = fleet
        self._rng = rng
        self._injector = injector
        self._copies = []

    async def run(self, seconds):
        times = sorted(
            self._rng.uniform(0, seconds)
            for _ in range(self._rng.randint(1, RESTORES))
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy)
            began = trio.current_time()
            for at in times:
                await trio.sleep(max(0, began + at - trio.current_time()))
                self._injector.schedule.append(
                    (round(seconds - at, 2), "restore_store")
                )
                await self._restore()
            nursery.cancel_scope.cancel()

    async def _copy(self):
        while True:
            self._copies.append((trio.current_time(), self._fleet.store.copy()))
            await trio.sleep(COPY_SECONDS)

    async def _restore(self):
        store = self._fleet.store
        store.fault = self._rng.choice((StoreFault.BUSY, StoreFault.SILENT))
        age = self._rng.uniform(*COPY_AGE_SECONDS)
        taken_by = trio.current_time() - age
        older = [copy for at, copy in self._copies if at <= taken_by]
        await trio.sleep(self._rng.uniform(0.1, 2.0))
        store.restore(older[-1] if older else self._copies[0][1])
        store.fault = StoreFault.NONE
        await trio.sleep(self._rng.uniform(*REWRITE_SECONDS))
        self._injector.write_config()
        self._injector.write_evacuations()
        await trio.sleep(self._rng.uniform(*REWRITE_SECONDS))
        for database in self._fleet.group.databases.values():
            self._fleet.group.publish_entry(database)


class Intruder:
    """Makes open connections silent and writes odd entries of endpoints.

    It draws from a stream of its own, so that a seed keeps its other faults.
    """

    def __init__(self, fleet, rng, schedule):
        self._fleet = fleet
        self._rng = rng
        self._schedule = schedule

    async def run(self, seconds):
        times = sorted(
            self._rng.uniform(0, seconds)
            for _ in range(self._rng.randint(1, SILENCES))
        )
        began = trio.current_time()
        for number, at in enumerate(times):
            await trio.sleep(max(0, began + at - trio.current_time()))
            self._schedule.append((round(seconds - at, 2), "silence"))
            links = [
                *self._fleet.store_links.values(),
                *self._fleet.database_links.values(),
            ]
            count = self._rng.randint(1, len(links))
            for link in self._rng.sample(links, count):
                link.silence_open()
            entry = self._rng.choice(ODD_ENTRIES)
            self._fleet.store.put("servers", f"odd{number}", entry)


class Stutterer:
    """Makes the databases repeat, cut and refuse answers, and add odd rows.

    It draws from streams of its own, so that a seed keeps its other faults.
    """

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._seed = seed

    async def run(self, seconds):
        """Changes how each database answers until the time is over."""
        async with trio.open_nursery() as nursery:
            for name, database in self._fleet.group.databases.items():
                rng = random.Random(f"{self._seed}/stutter/{name}")
                nursery.start_soon(self._run_database, database, rng, seconds)

    async def _run_database(self, database, rng, seconds):
        # Answers draw from another stream, so that the shares and their times
        # don't depend on how many statements run.
        rng_answers = random.Random(rng.random())

        def odd_rows():
            count = rng_answers.randint(0, 2)
            return [odd_text(rng_answers, blanks=True) for _ in range(count)]

        with trio.move_on_after(seconds):
            while True:
                database.stutter = Stutter(
                    repeat_share=rng.uniform(0, REPEAT_SHARE),
                    repeat_seconds=REPEAT_SECONDS,
                    refused_share=rng.choice(
                        (0, rng.uniform(0, REFUSED_SHARE))
                    ),
                    cut_share=rng.choice((0, rng.uniform(0, CUT_SHARE))),
                    odd_rows=odd_rows,
                    rng=rng_answers,
                )
                await trio.sleep(rng.uniform(*STUTTER_SECONDS))
        database.stutter = Stutter(odd_rows=odd_rows)


async def _check_config(fleet, injector):
    """Returns the instances that do not apply a last change in time.

    All connections to the store go silent just before it.
    """
    for link in fleet.store_links.values():
        link.silence_open()
    await injector._change_config(0)
    version = injector.version
    late = set(fleet.processes)
    with trio.move_on_after(CONFIG_SECONDS):
        while late:
            await trio.sleep(0.05)
            late = {n for n in late if fleet.versions(n)[-1:] != [version]}
    return [f"{n} lacks version {version} after its bound" for n in late]


async def _check_evacuation(fleet, injector):
    """Returns the domains that get requests after their evacuation's bound.

    All connections to the store go silent just before it.
    """
    for link in fleet.store_links.values():
        link.silence_open()
    primary = fleet.group.primary
    injector.evacuated = {primary.zone}
    injector.write_evacuations()
    await trio.sleep(EVACUATION_SECONDS)
    runs = len(primary.runs)
    await trio.sleep(1.0)
    found = primary.runs[runs:]
    injector.evacuated = set()
    injector.write_evacuations()
    return [f"{primary.name} ran {found[:3]} while evacuated"] if found else []


def _promotion_seconds(rng, count=100):
    """Draws how long each promotion of a run takes, in seconds."""
    return [
        rng.uniform(*LATE_PROMOTION_SECONDS)
        if rng.random() < LATE_PROMOTIONS
        else 0.1
        for _ in range(count)
    ]


async def run_seed(
    seed,
    tmp_path,
    *,
    seconds=FAULT_SECONDS,
    restores=True,
    intrudes=True,
    stutters=True,
    evacuates=True,
    instances=INSTANCES,
):
    """Runs one seed.

    Args:
        seed: Seeds the choice of faults and of operations.
        tmp_path: The directory for settings and logs.
        seconds: How long faults are injected, in seconds.
        restores: Whether the store is restored from older copies too.
        intrudes: Whether connections go silent and odd entries appear too.
        stutters: Whether databases repeat, cut and refuse answers, and callers
            with odd fields run too.
        evacuates: Whether failure domains are evacuated too.
        instances: The number of instances.

    Returns:
        The violations, the schedule of faults and the number of operations.
    """
    rng = random.Random(seed)
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        fleet = SoakFleet(pathlib.Path(tmp_path), nursery)
        fleet.store.put("op", "config", config())
        if evacuates:
            fleet.settings["evacuate_ms"] = EVACUATION_SECONDS * 1000
            fleet.zones.update(ZONES)
        # A stream of its own, so that a seed keeps its faults.
        rng_promotions = random.Random(f"{seed}/promotions")
        fleet.group.promotion_seconds.extend(_promotion_seconds(rng_promotions))
        try:
            await fleet.start(instances)
            callers = [
                SoakCaller(fleet, number, random.Random(f"{seed}/{number}"))
                for number in range(CALLERS)
            ]
            strict_callers = [
                StrictCaller(
                    number,
                    random.Random(f"{seed}/strict/{number}"),
                    lambda: [fleet.ports[name] for name in sorted(fleet.ports)],
                    odd_text,
                )
                for number in range(
                    FIRST_STRICT_CALLER, FIRST_STRICT_CALLER + STRICT_CALLERS
                )
                if stutters
            ]
            injector = FaultInjector(fleet, rng, nursery)
            async with trio.open_nursery() as work:
                for caller in (*callers, *strict_callers):
                    work.start_soon(caller.run, stop)
                async with trio.open_nursery() as faults:
                    faults.start_soon(injector.run, seconds)
                    if restores:
                        restorer = StoreRestorer(
                            fleet, random.Random(f"{seed}/restores"), injector
                        )
                        faults.start_soon(restorer.run, seconds)
                    if intrudes:
                        intruder = Intruder(
                            fleet,
                            random.Random(f"{seed}/intruder"),
                            injector.schedule,
                        )
                        faults.start_soon(intruder.run, seconds)
                    if evacuates:
                        operator = Operator(
                            random.Random(f"{seed}/operator"), injector
                        )
                        faults.start_soon(operator.run, seconds)
                    if stutters:
                        faults.start_soon(
                            Stutterer(fleet, seed).run,
                            seconds + CALM_STUTTER_SECONDS,
                        )
                await _wait_recovered(fleet)
                late = await _check_config(fleet, injector) if intrudes else []
                if evacuates:
                    late += await _check_evacuation(fleet, injector)
                stop.set()
            violations = [
                *check_results(fleet, callers),
                *find_differences(
                    [*callers, *strict_callers, fleet.last_writes],
                    [*fleet.group.databases.values()],
                ),
                *late,
            ]
        finally:
            fleet.stop()
            nursery.cancel_scope.cancel()
    return (
        violations,
        injector.schedule,
        sum(len(c.operations) for c in callers)
        + sum(len(c.sent) for c in strict_callers),
    )


async def _wait_recovered(fleet):
    """Waits until every instance has run a write again.

    A fleet that takes longer than ``RECOVERY_SECONDS`` is noted in ``ended``.
    """
    with trio.move_on_after(RECOVERY_SECONDS) as scope:
        for name in fleet.processes:
            await _wait_writable(fleet, name)
    if scope.cancelled_caught:
        fleet.ended.append(("fleet", "did not recover", None))


async def _wait_writable(fleet, name):
    for number in itertools.count():
        with contextlib.suppress(OSError, trio.TooSlowError):
            caller = await fleet.caller("p", instance=name)
            request_id = f"last.{name}.{number}-0"
            fleet.last_writes.sent.append(
                sent_statement(request_id, "WRITE z 1")
            )
            answer = await caller.ask(request_id, "WRITE z 1")
            caller.close()
            if any(line.startswith("COMPLETE") for line in answer):
                return
        await trio.sleep(0.1)


def check_results(fleet, callers):
    """Returns the violations that callers and processes show after a run."""
    databases = fleet.group.databases
    logs = {
        name: Log(
            db.log[-1].term if db.log else 0,
            [w[0] for commit in db.log for w in commit.writes],
        )
        for name, db in databases.items()
    }
    late = set().union(*(db.superseded_commits for db in databases.values()))
    violations = find_violations(
        [caller.operations for caller in callers], logs, late
    )
    fences = [call.fence for call in fleet.duties.calls]
    if fences != sorted(fences):
        violations.append(f"fencing tokens decreased: {fences}")
    tokens = {(call.fence, call.holder) for call in fleet.duties.calls}
    if len(tokens) > len({fence for fence, _ in tokens}):
        violations.append(f"a fencing token has two holders: {sorted(tokens)}")
    for name, number, code in fleet.ended:
        if number == "did not recover":
            violations.append("an instance did not recover in time")
        elif number == signal.SIGTERM and code != 0:
            violations.append(f"{name} ended with {code} after SIGTERM")
    for name, process in fleet.processes.items():
        if process.poll() is not None:
            violations.append(
                f"{name} ended by itself with {process.returncode}"
            )
        violations += [
            f"{name}: {line['event']}: {line['fault']}"
            for line in fleet.log(name)
            if line["event"] in FAULT_EVENTS
        ]
    return violations


def keep_logs(seed, tmp_path):
    """Copies the logs of a failed seed to ``build/soak``.

    Returns:
        The directory with the copies.
    """
    saved = pathlib.Path(__file__).parent.parent / "build" / "soak" / str(seed)
    saved.mkdir(parents=True, exist_ok=True)
    for log in pathlib.Path(tmp_path).glob("*.log"):
        (saved / log.name).write_bytes(log.read_bytes())
    return saved


@contextlib.contextmanager
def logs_kept_on_error(seed, tmp_path):
    """Keeps the logs if the seed ends with an error, and prints their path."""
    try:
        yield
    except BaseException:
        print(f"logs of seed {seed}: {keep_logs(seed, tmp_path)}", flush=True)
        raise


def main(seeds, instances=INSTANCES):
    """Runs seeds in order; returns the number of seeds with violations."""
    run = functools.partial(run_seed, instances=instances)
    failed = 0
    for seed in seeds:
        with (
            tempfile.TemporaryDirectory() as tmp_path,
            logs_kept_on_error(seed, tmp_path),
        ):
            violations, schedule, count = trio.run(run, seed, tmp_path)
            print(
                f"seed {seed}: {count} operations, {len(schedule)} faults: ",
                violations if violations else "ok",
                flush=True,
            )
            if violations:
                failed += 1
                print(schedule, keep_logs(seed, tmp_path), flush=True)
    return failed


if __name__ == "__main__":
    first, count, *more = map(int, sys.argv[1:])
    sys.exit(1 if main(range(first, first + count), *more) else 0)
