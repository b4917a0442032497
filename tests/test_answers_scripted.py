"""Statements against endpoints that follow a script of odd answers."""

from contextlib import asynccontextmanager

import pytest
import trio

from lagoonstair._types import Address
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.platform import lines
from lagoonstair.primacy import GroupRecord
from lagoonstair.proxy._executor import Executor
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._link import Link, LinkError
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._targets import Caller, TargetSelector
from lagoonstair.proxy._transactions import Transaction, TransactionManager
from lagoonstair.routing import Endpoint
from lagoonstair.statements import (
    PreparedStatement,
    Run,
    Session,
)
from proxy_fleet import HOST, ROUTE

READY = b"READY I 1.0\r\n"
DONE = b"COMPLETE -\r\nREADY I 1.0\r\n"
BEGUN = b"COMPLETE -\r\nREADY T 1.0\r\n"


class ScriptedEndpoint:
    """Answers each statement with the next bytes of a script.

    Connections after the first one get a copy of the answers in ``fresh``.

    Attributes:
        received: The statements, each as connection, request id and text.
        connections: How many connections were opened.
        first_ended: Set once one of them has ended.
    """

    def __init__(self, script, fresh=(), greeting=READY):
        self._scripts = [script]
        self._greeting = greeting
        self._fresh = fresh
        self.received = []
        self.connections = 0
        self.first_ended = trio.Event()

    async def serve(self, stream):
        try:
            await self._serve(stream)
        except trio.BrokenResourceError:
            # The proxy has closed the connection.
            return
        finally:
            self.first_ended.set()

    async def _serve(self, stream):
        self.connections += 1
        number = self.connections
        script = iter(self._scripts.pop() if self._scripts else self._fresh)
        buffer = b""
        while chunk := await stream.receive_some(2**16):
            *messages, buffer = (buffer + chunk).split(b"\r\n")
            for message in messages:
                if message.startswith(b"START"):
                    await stream.send_all(self._greeting)
                    if self._greeting != READY:
                        return
                    continue
                _, request_id, text = message.decode().split(" ", 2)
                self.received.append((number, request_id, text))
                await stream.send_all(next(script, b""))

    def runs_of(self, request_id):
        return [text for _, name, text in self.received if name == request_id]


@asynccontextmanager
async def _fleet(endpoint):
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, endpoint.serve, 0)
        fleet = Fleet("i1", "a", Metrics())
        fleet.set_endpoint(
            Endpoint(
                name="d1",
                group="g",
                address=Address(HOST, listeners[0].socket.getsockname()[1]),
                failure_domain="a",
                slots=1,
                leaving=False,
                says_primary=True,
                started=1,
            )
        )
        fleet.primacy.set_voters(["i1"], 1)
        fleet.set_record("g", GroupRecord(epoch=1, primary="d1"))
        yield fleet
        nursery.cancel_scope.cancel()


def _signed(number, state="I"):
    return f"COMPLETE s{number}\r\nREADY {state} 1.0\r\n".encode()


# Guards against the first copy of a BEGIN's answer, which hides a refusal: the
# statements after it run outside a transaction, for which a promise is given.
@pytest.mark.parametrize(
    ("code", "text"), [("BUSY", "WRITE a 2"), ("LAGGING", "READ a")]
)
async def test_the_first_copy_of_a_begin_hides_no_refusal(code, text):
    refused = f"ERROR {code} d1\r\nREADY I 1.0\r\n".encode()
    endpoint = ScriptedEndpoint(
        [
            *(BEGUN, _signed(1, "T"), _signed(2)),
            # The second BEGIN is refused, so that the next statement runs
            # outside a transaction.
            *(BEGUN + refused, _signed(3)),
        ],
        fresh=[BEGUN, _signed(4, "T"), _signed(5)],
    )
    async with _fleet(endpoint) as fleet:
        manager = TransactionManager(fleet, TargetSelector(fleet, Metrics()))
        caller = Caller(workspace="w", session=Session())
        for request_id, statement in (("q1", "WRITE a 1"), ("q2", text)):
            tx = Transaction(
                route=ROUTE,
                read_only=statement.startswith("READ"),
                began=trio.current_time(),
            )
            run = Run(
                statement.startswith("WRITE"), statement, autocommit=False
            )
            await manager.run(caller, tx, run, request_id)
            await manager.commit(caller, tx, f"{request_id}c")
        with trio.move_on_after(1):
            await endpoint.first_ended.wait()
        first = [entry for entry in endpoint.received if entry[0] == 1]
    # The first connection never was in a transaction after the refusal.
    assert (1, "q2", text) not in first


# Guards against a copy of a SET's answer, which hides the refusal of another
# one: the write then runs with the old value and is repeated as if refused.
async def test_a_copy_hides_no_refusal_of_a_session_value():
    endpoint = ScriptedEndpoint(
        [
            *(DONE, _signed(1)),
            *(DONE + b"ERROR BUSY d1\r\nREADY I 1.0\r\n", _signed(2)),
        ],
        fresh=[DONE, _signed(3)],
    )
    async with _fleet(endpoint) as fleet:
        metrics = Metrics()
        executor = Executor(TargetSelector(fleet, metrics), metrics)
        for number in (1, 2):
            session = Session(values={"x": str(number)})
            caller = Caller(workspace="w", session=session)
            run = Run(True, f"WRITE a {number}", autocommit=True)
            await executor.run(caller, ROUTE, run, f"q{number}")
    assert len(endpoint.runs_of("q2")) == 1, endpoint.received


# Guards against a copy that is cut after COMPLETE, whose rows go to the next.
async def test_a_cut_copy_adds_no_rows_to_the_next_answer():
    row = b"ROW %b\r\n"
    endpoint = ScriptedEndpoint(
        [
            row % b"a" + _signed(1),
            row % b"a" + b"COMPLETE s1\r\n" + row % b"b" + _signed(2),
        ]
    )
    async with _fleet(endpoint) as fleet:
        link = await Link.open(fleet.pools["d1"].endpoint, "w")
        await link.run("q1", "READ a")
        with trio.move_on_after(1):
            try:
                reply = await link.run("q2", "READ b")
            except LinkError:
                return
            assert reply.result.rows == (b"ROW b",)


# Guards against a COMMIT that is sent on with another text than it came with.
def test_a_commit_with_an_empty_field_is_not_sent_on_as_another_text():
    assert lines.parse_statement("COMMIT ") is None


# Guards against the loss of a whole session by a message of a valid length.
@pytest.mark.parametrize("text", ["READ a", "SET x 1", "PREPARE s READ q"])
def test_a_message_of_exactly_the_limit_is_taken(text):
    line = f"QUERY q1 {text}".encode().ljust(lines.MAX_LINE_BYTES, b"x")
    assert lines.parse_caller_line(line).statement is not None


# Guards against a shape that counts as prepared though nothing was sent.
async def test_a_message_that_is_not_sent_leaves_no_prepared_name():
    endpoint = ScriptedEndpoint([DONE] * 3)
    shape = PreparedStatement(writes=False, text="q2c")
    async with _fleet(endpoint) as fleet:
        link = await Link.open(fleet.pools["d1"].endpoint, "w")
        with pytest.raises(LagoonstairError):
            await link.apply_session({"x": "1\r\n2"}, shape)
        if link.reuse_obstacle:
            return
        await link.apply_session({}, shape)
    assert any(t.startswith("PREPARE") for _, _, t in endpoint.received)


# Guards against a healthy primary that counts as unreachable, and so may be
# replaced, because it refused or its answer could not be read.
@pytest.mark.parametrize(
    ("script", "greeting"),
    [
        ([], b"ERROR BUSY d1\r\n"),
        ([b"ERROR BUSY d1\r\nREADY I 1.0\r\n"], READY),
        ([DONE, b"ROW a\r\nCOMROW a\r\n" + _signed(1)], READY),
    ],
    ids=["greeting refused", "value refused", "answer cut and repeated"],
)
async def test_an_endpoint_that_answers_is_not_unreachable(script, greeting):
    endpoint = ScriptedEndpoint(script, greeting=greeting)
    async with _fleet(endpoint) as fleet:
        pool = fleet.pools["d1"]
        metrics = Metrics()
        executor = Executor(TargetSelector(fleet, metrics), metrics)
        caller = Caller(workspace="w", session=Session(values={"x": "1"}))
        run = Run(True, "WRITE a 1", autocommit=True)
        # The state after the first attempt counts.
        seen = []
        record = pool.record_failure
        pool.record_failure = lambda started_at: (
            record(started_at),
            seen.append(pool.unreachable_since),
        )
        with trio.move_on_after(1):
            await executor.run(caller, ROUTE, run, "q1")
    assert seen == []
