"""Groups of database stand-ins that run inside the test's process."""

import trio

from lagoonstair._types import Address
from lagoonstair.endpoints import HttpEndpoint
from lagoonstair.ports import Run, Statement
from lagoonstair.standins.database import Database, DatabaseConfig, Member
from lagoonstair.wire import HttpConnection

SCHEMA = "CREATE TABLE stock (item TEXT PRIMARY KEY, held INTEGER);"
ADD = Statement("INSERT INTO stock VALUES (:item, 1)", {"item": "a"})
COUNT = Statement("SELECT count(*) FROM stock")


def add(item: str) -> Statement:
    return Statement(ADD.sql, {"item": item})


def run(*statements: Statement, term: int = 1, **more) -> Run:
    return Run(
        **{"call_id": 1, "term": term, "workspace": "w"}
        | {"statements": statements}
        | more
    )


async def start(nursery: trio.Nursery, size: int = 1, **settings):
    """Starts a group; returns its members and their addresses, by name."""
    names = [f"db{i}" for i in range(1, size + 1)]
    settings = {"schema": SCHEMA, "connect_seconds": 0.0} | settings
    members = {
        name: Database.from_config(
            DatabaseConfig(name=name, primary="db1", **settings)
        )
        for name in names
    }
    addresses = {
        name: Address(
            "127.0.0.1", await nursery.start(db.serve, "127.0.0.1", 0)
        )
        for name, db in members.items()
    }
    for db in members.values():
        db.set_member_addresses(addresses)
    return members, addresses


async def start_one(nursery: trio.Nursery, **settings):
    """Starts a group of one member; returns it and a client for it."""
    members, addresses = await start(nursery, **settings)
    return members["db1"], HttpEndpoint(addresses["db1"], "test")


async def until(endpoint: HttpEndpoint, reached) -> None:
    """Polls the member's status until ``reached`` returns true for it."""
    while not reached(await endpoint.status()):
        pass


async def ask(address: Address, target: str, body: bytes = b"") -> bytes:
    conn = await HttpConnection.open(address)
    try:
        return (await conn.call("POST", target, body)).body
    finally:
        conn.close()


class MemoryEndpoint:
    """A member that is called without sockets, for tests on a mock clock.

    Attributes:
        member: The member's state machine.
        opened: The number of connections opened so far.
        closed: The numbers of the connections that were closed.
        connect_seconds: The delay of opening a connection, in seconds.
        call_seconds: The delay before a call runs, in seconds.
    """

    def __init__(self) -> None:
        cfg = DatabaseConfig(name="db1", primary="db1", schema=SCHEMA)
        self.member = Member(cfg)
        self.opened = 0
        self.closed: set[int] = set()
        self.connect_seconds = 0.0
        self.call_seconds = 0.0

    async def connect(self) -> "MemoryConnection":
        await trio.sleep(self.connect_seconds)
        self.opened += 1
        return MemoryConnection(self, self.opened)


class MemoryConnection:
    """A connection to a ``MemoryEndpoint``."""

    def __init__(self, endpoint: MemoryEndpoint, conn_id: int) -> None:
        self._endpoint = endpoint
        self._member = endpoint.member
        self._conn_id = conn_id

    async def run(self, call):
        await trio.sleep(self._endpoint.call_seconds)
        return self._member.run(call)

    async def execute(self, call):
        await trio.sleep(self._endpoint.call_seconds)
        return self._member.execute(self._conn_id, call)

    async def commit(self, call):
        await trio.sleep(self._endpoint.call_seconds)
        return self._member.commit(self._conn_id, call)

    async def rollback(self):
        self._member.rollback(self._conn_id)

    def close(self):
        self._member.rollback(self._conn_id)
        self._endpoint.closed.add(self._conn_id)
