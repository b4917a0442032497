"""Runs proxy processes against stand-ins in the test's own event loop."""

import itertools
import os
import signal
import socket
import struct
import subprocess
import sys
from contextlib import asynccontextmanager

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.primacy import GroupRecord
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.routing import Consistency, Endpoint, Route
from lagoonstair.standins.statements import (
    DutiesStandin,
    Group,
    StoreStandin,
)

HOST = "127.0.0.1"
START_SECONDS = 20
"""Time limit in seconds for a process to become ready, also on a busy
machine."""

ANSWER_SECONDS = 10
"""Time limit in seconds of an answer; longer than any statement may take, so a
caller without an answer fails the test."""


PORTS = 8
"""Number of consecutive ports of an instance."""

# The ports are below the range that the system uses for outgoing connections.
# One of these could otherwise take a port between this check and the start of
# the instance.
_blocks = itertools.count(20_000 + os.getpid() % 1000 * PORTS, PORTS)


def free_ports(reserved_sockets):
    """Returns the first port of a block in which all ports are free.

    This process keeps the last port of the block bound, so that another run of
    the tests does not take the block before the instance has bound its ports.

    Args:
        reserved_sockets: The list to which the socket that reserves the block
            is added; it must be kept until the run ends.
    """
    for port in _blocks:
        sockets = [socket.socket() for _ in range(PORTS)]
        try:
            for offset, sock in enumerate(sockets):
                sock.bind((HOST, port + offset))
        except OSError:
            continue
        else:
            reserved_sockets.append(sockets.pop())
            return port
        finally:
            for sock in sockets:
                sock.close()
    raise AssertionError("unreachable")


def config(version=1, **changes):
    """Returns a configuration with a route of each consistency."""
    kinds = {"p": "primary", "b": "bounded", "s": "read_your_writes"}
    value = {
        "version": version,
        "routes": [
            {
                "name": f"route-{name}",
                "database": name,
                "service": "g",
                "route_type": kind,
                "timeout_ms": 1500,
                "target_latency_ms": 200,
                "priority": 1,
                "max_staleness_ms": 1500,
                "public": False,
            }
            for name, kind in kinds.items()
        ],
        "services": [{"name": "g", "max_conns": 30, "sync_replicas": 0}],
        "limits": {"tx_idle_ms": 3000},
        "tenants": [
            {
                "name": name,
                "api_keys": [f"key-{name}"],
                "rate_per_s": 1000,
                "burst": 1000,
            }
            for name in ("w1", "w2")
        ],
    }
    return {**value, **changes}


class Caller:
    """A client session; only CR LF ends a line."""

    def __init__(self, stream):
        self._stream = stream
        self._buffer = b""

    @classmethod
    async def open(cls, port, database="p", key="key-w1"):
        stream = await trio.open_tcp_stream(HOST, port)
        caller = cls(stream)
        await stream.send_all(f"START {database} {key}\r\n".encode())
        caller.greeting = await caller.answer()
        return caller

    async def send(self, data):
        await self._stream.send_all(data)

    async def answer(self):
        """Returns the lines of an answer; fewer if the session has ended."""
        lines = []
        with trio.fail_after(ANSWER_SECONDS):
            while not lines or not lines[-1].startswith("READY"):
                line = await self._line()
                if line is None:
                    return lines
                lines.append(line)
        return lines

    async def ask(self, request_id, text):
        await self.send(f"QUERY {request_id} {text}\r\n".encode())
        return await self.answer()

    def close(self):
        self._stream.socket.close()

    def reset(self):
        """Resets the connection instead of closing it."""
        linger = struct.pack("ii", 1, 0)
        self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    async def _line(self):
        while b"\r\n" not in self._buffer:
            try:
                chunk = await self._stream.receive_some(65536)
            except trio.BrokenResourceError:
                return None
            if not chunk:
                return None
            self._buffer += chunk
        line, _, self._buffer = self._buffer.partition(b"\r\n")
        return line.decode("latin-1")


class ProxyFleet:
    """A store, a group of three databases, and proxy processes.

    Attributes:
        settings: Settings of all instances beside those of each.
        zones: The failure domain of each database by name, unless it is "a".
    """

    def __init__(self, tmp_path, nursery):
        self._tmp_path = tmp_path
        self._nursery = nursery
        self.store = StoreStandin()
        self.group = Group("g", self._publish_entry)
        self.groups = {"g": self.group}
        self.duties = DutiesStandin(self.groups)
        self.settings = {}
        self.zones = {}
        self.processes = {}
        self.ports = {}
        self._first_ports = {}
        self._store_ports = {}
        self._reserved_sockets = []

    async def start(self, instances, connections=30):
        self.duties_port = await self._nursery.start(self.duties.serve, HOST)
        for name in ("d1", "d2", "d3"):
            await self.add_database(name, connections)
        for number in range(instances):
            await self.start_instance(f"i{number + 1}")
        for name in [*self.processes]:
            await self.wait_ready(name)
        await self.until(lambda: self.store.row("lagoonstair", "group/g"))

    async def add_database(self, name, connections):
        database = self.group.add(name, slots=4, max_connections=connections)
        database.zone = self.zones.get(name, "a")
        await self._nursery.start(database.serve, HOST)
        self._publish_entry(database)
        return database

    async def add_groups(self, names):
        """Adds groups of two databases each; the first is the primary."""
        for group_name in names:
            group = Group(group_name, self._publish_entry)
            self.groups[group_name] = group
            for number in (1, 2):
                name = f"{group_name}{number}"
                database = group.add(name, slots=4, max_connections=30)
                await self._nursery.start(database.serve, HOST)
                self._publish_entry(database)

    async def store_port_of(self, name):
        if name not in self._store_ports:
            self._store_ports[name] = await self._nursery.start(
                self.store.serve, HOST, name
            )
        return self._store_ports[name]

    def entry_of(self, database):
        return database.entry(HOST)

    async def write_settings(self, name):
        """Writes an instance's settings and returns the file's path."""
        store_port = await self.store_port_of(name)
        if name not in self._first_ports:
            self._first_ports[name] = free_ports(self._reserved_sockets)
        first_port = self._first_ports[name]
        self.ports[name] = first_port + 4
        settings = {
            "instance": name,
            "failure_domain": "a",
            "host": HOST,
            "listen": {
                "entry": f"{HOST}:{first_port + 4}",
                "ready": f"{HOST}:{first_port + 5}",
            },
            "peer_ports": [first_port, first_port + 3],
            "store": f"{HOST}:{store_port}",
            "duties": f"{HOST}:{self.duties_port}",
            "first_start": True,
            "grace_s": 6,
            **self.settings,
        }
        path = self._tmp_path / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        return path

    async def start_instance(self, name):
        path = await self.write_settings(name)
        log = open(self._tmp_path / f"{name}.log", "ab")  # noqa: SIM115
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "lagoonstair.proxy"],
            env={**os.environ, "LAGOONSTAIR_SETTINGS": str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    async def wait_ready(self, name):
        port = self._first_ports[name] + 5
        with trio.fail_after(START_SECONDS):
            while not await _is_ready(port):
                await trio.lowlevel.checkpoint()

    async def wait_ended(self, name):
        with trio.fail_after(ANSWER_SECONDS):
            while self.processes[name].poll() is None:
                await trio.lowlevel.checkpoint()
        return self.processes[name].returncode

    async def until(self, condition, seconds=ANSWER_SECONDS):
        with trio.fail_after(seconds):
            while not condition():
                await trio.lowlevel.checkpoint()

    def log(self, name):
        """Returns the events that an instance has logged.

        A line that is still being written is left out.
        """
        text = (self._tmp_path / f"{name}.log").read_bytes()
        text = text[: text.rfind(b"\n") + 1]
        return [
            msgspec.json.decode(line)
            for line in text.splitlines()
            if line.startswith(b"{")
        ]

    async def caller(self, database="p", key="key-w1", instance="i1"):
        return await Caller.open(self.ports[instance], database, key)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for sock in self._reserved_sockets:
            sock.close()

    def _publish_entry(self, database):
        self.store.put("servers", database.name, self.entry_of(database))


async def _is_ready(port):
    try:
        stream = await trio.open_tcp_stream(HOST, port)
    except OSError:
        return False
    async with stream:
        await stream.send_all(
            b"GET /-/readiness HTTP/1.1\r\nconnection: close\r\n\r\n"
        )
        try:
            return b" 200 " in await stream.receive_some(4096)
        except trio.BrokenResourceError:
            return False


@asynccontextmanager
async def proxy_fleet(
    tmp_path,
    instances=1,
    cfg=None,
    connections=30,
    *,
    settings=None,
    zones=None,
):
    """Runs a fleet and stops the processes that it started."""
    async with trio.open_nursery() as nursery:
        fleet = ProxyFleet(tmp_path, nursery)
        fleet.store.put("op", "config", cfg or config())
        fleet.settings.update(settings or {})
        fleet.zones.update(zones or {})
        try:
            await fleet.start(instances, connections)
            yield fleet
        finally:
            fleet.stop()
            nursery.cancel_scope.cancel()


ROUTE = Route(
    name="r",
    group="g",
    consistency=Consistency.PRIMARY,
    timeout=5.0,
    target_latency=0.2,
    priority=1,
    max_staleness=0.0,
    allows_anonymous=False,
)


@asynccontextmanager
async def one_endpoint(features=None, slots=1, metrics=None):
    """Provides the fleet of one instance with one database, the primary."""
    group = Group("g", lambda database: None)
    database = group.add("d1", slots=slots, max_connections=9)
    async with trio.open_nursery() as nursery:
        await nursery.start(database.serve, HOST)
        fleet = Fleet("i1", "a", metrics or Metrics(), features)
        fleet.set_endpoint(
            Endpoint(
                name="d1",
                group="g",
                address=Address(HOST, database.port),
                failure_domain="a",
                slots=slots,
                leaving=False,
                says_primary=True,
                started=1,
            )
        )
        fleet.primacy.set_voters(["i1"], 1)
        fleet.set_record("g", GroupRecord(epoch=1, primary="d1"))
        yield fleet, database
        nursery.cancel_scope.cancel()
