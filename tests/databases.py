"""Embedded groups of database stand-ins for tests."""

import trio

from lagoonstair._types import Address
from lagoonstair.ports import Run, Statement
from lagoonstair.standins.database import Database, DatabaseConfig
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
    """Starts a group; returns its members and their addresses by name."""
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
        db.meet(addresses)
    return members, addresses


async def until(address: Address, reached) -> None:
    """Waits for the member to report a status, by asking it again."""
    from lagoonstair.endpoints import HttpEndpoint

    endpoint = HttpEndpoint(address, "test")
    while not reached(await endpoint.status()):
        await trio.lowlevel.checkpoint()


async def ask(address: Address, target: str, body: bytes = b"") -> bytes:
    conn = await HttpConnection.open(address)
    try:
        return (await conn.call("POST", target, body)).body
    finally:
        conn.close()
