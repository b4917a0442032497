"""A small deployment on loopback: stand-ins, proxy processes and clients.

The databases, the store and the promotion duty are the project's stand-ins,
which run in this process. The proxies are separate processes, started with the
command of the deploy file and with settings made from its template.
"""

import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from contextlib import asynccontextmanager

import trio

from lagoonstair.standins.statements import DutiesStandin, Group, StoreStandin

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
PORTS_PER_INSTANCE = 8
START_SECONDS = 25.0
RESTART_DELAY_SECONDS = 0.3
"""A process that ends is started again after a short delay, as on the
platform."""

ZONES = ("bb-a", "zv-b", "bre-c")

BOUNDS = {
    "drain_ms": 7000,
    "grace_s": 6.0,
    "config_ms": 3000,
    "fence_required": False,
    "quota_window_s": 5,
    "quota_excess": 0.1,
    "quota_slack": 20,
}
"""The bounds of the small deployments that the template uses."""

CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "sql",
    "tenants",
    "quota",
    "platform",
]

PROMISES = ("BUSY", "LAGGING", "READONLY", "MISROUTED", "CONGESTED", "ABORTED")


def has_trouble() -> bool:
    """Returns whether the run includes the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def config(version=1, *, keys=None, timeout_ms=1000):
    """Returns a configuration with one route of each consistency."""
    kinds = {"p": "primary", "b": "bounded", "s": "read_your_writes"}
    keys = {"w1": ["key-w1"], "w2": ["key-w2"]} if keys is None else keys
    return {
        "version": version,
        "routes": [
            {
                "name": f"route-{name}",
                "database": name,
                "service": "g",
                "route_type": kind,
                "timeout_ms": timeout_ms,
                "target_latency_ms": 200,
                "priority": 1,
                "max_staleness_ms": 1500,
                "public": False,
            }
            for name, kind in kinds.items()
        ],
        "services": [{"name": "g", "max_conns": 33, "sync_replicas": 0}],
        "limits": {"tx_idle_ms": 3000},
        "tenants": [
            {
                "name": name,
                "api_keys": list(of_tenant),
                "rate_per_s": 500,
                "burst": 500,
            }
            for name, of_tenant in keys.items()
        ],
    }


def render(template, fields):
    """Fills in a settings template as the platform does."""

    def section(match):
        return match[2] if lookup(fields, match[1]) is not None else ""

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S
    )
    return re.sub(
        r"\{\{([\w.]+)\|json\}\}",
        lambda match: json.dumps(lookup(fields, match[1])),
        text,
    )


def lookup(fields, path):
    """Returns the field at a dotted path, or None."""
    for part in path.split("."):
        if not isinstance(fields, dict) or part not in fields:
            return None
        fields = fields[part]
    return fields


_reserved = []


def free_ports():
    """Returns the first of consecutive free ports.

    The last one stays bound, so that another run does not choose them too.
    """
    first_block = os.getpid() * 7 % 1300
    for block in range(1300):
        first = 21000 + (first_block + block) % 1300 * PORTS_PER_INSTANCE
        sockets = [socket.socket() for _ in range(PORTS_PER_INSTANCE)]
        try:
            for offset, sock in enumerate(sockets):
                sock.bind((HOST, first + offset))
            _reserved.append(sockets.pop())
            return first
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise RuntimeError("no free ports")


class Record:
    """Writes what happened to a file, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started_at = None

    def now(self):
        if self._started_at is None:
            self._started_at = trio.current_time()
        return trio.current_time() - self._started_at

    def write(self, text):
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()


class Session:
    """A client's session; only CR LF ends a message."""

    def __init__(self, stream):
        self._stream = stream
        self._buffer = b""

    @classmethod
    async def open(cls, port, database, key):
        """Opens a session; None if it was refused."""
        with trio.fail_after(2.0):
            stream = await trio.open_tcp_stream(HOST, port)
            self = cls(stream)
            await stream.send_all(f"START {database} {key}\r\n".encode())
            line = await self._line()
        if line is None or not line.startswith("READY"):
            self.close()
            return None
        return self

    async def ask(self, request_id, text, seconds=15.0):
        """Returns the lines of the answer.

        They lack a READY line if the connection ended before the answer did.
        """
        lines = []
        with trio.move_on_after(seconds):
            try:
                data = f"QUERY {request_id} {text}\r\n".encode("latin-1")
                await self._stream.send_all(data)
            except (OSError, trio.BrokenResourceError):
                return lines
            while not lines or not lines[-1].startswith("READY"):
                line = await self._line()
                if line is None:
                    return lines
                lines.append(line)
        return lines

    def close(self):
        self._stream.socket.close()

    async def _line(self):
        while b"\r\n" not in self._buffer:
            try:
                chunk = await self._stream.receive_some(65536)
            except (OSError, trio.BrokenResourceError):
                return None
            if not chunk:
                return None
            self._buffer += chunk
        line, _, self._buffer = self._buffer.partition(b"\r\n")
        return line.decode("latin-1")


def is_whole(lines):
    """Returns whether lines are a complete answer."""
    return bool(lines) and lines[-1].startswith("READY")


def is_success(lines):
    """Returns whether lines are a complete answer without an error."""
    return is_whole(lines) and lines[-2].startswith("COMPLETE")


class Fleet:
    """The stand-ins and the proxy processes.

    Attributes:
        store: The store.
        group: The service ``g`` with its databases.
        duties: The platform's promotion call.
        processes: The proxy processes by name.
        exits: How often each process ended without being told to.
        restarts: Whether ended processes are started again.
    """

    def __init__(self, folder, nursery, record):
        self._folder = folder
        self._nursery = nursery
        self._first_ports = {}
        self._zones = {}
        self._store_ports = {}
        self.record = record
        self.store = StoreStandin()
        self.group = Group("g", self._publish)
        self.duties = DutiesStandin({"g": self.group})
        self.processes = {}
        self.exits = {}
        self._command = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text()
        )["roles"]["entry"]["run"].split()
        self._template = (ROOT / "deploy/settings.json").read_text()

    async def start(self, instances, cfg, before_start, before_instances):
        self.store.put("op", "config", cfg)
        if before_start is not None:
            before_start(self)
        self._duties_port = await self._nursery.start(self.duties.serve, HOST)
        for number, zone in enumerate(ZONES):
            database = self.group.add(
                f"d{number + 1}", slots=5, max_connections=33
            )
            database.zone = zone
            await self._nursery.start(database.serve, HOST)
            self._publish(database)
        if before_instances is not None:
            await before_instances(self)
            for database in self.group.databases.values():
                self._publish(database)
        for number in range(instances):
            await self.start_instance(f"i{number + 1}", ZONES[number % 3])
        for name in [*self.processes]:
            await self.wait_ready(name)

    async def start_instance(self, name, zone=None):
        self._zones.setdefault(name, zone)
        if name not in self._first_ports:
            self._first_ports[name] = free_ports()
            self._store_ports[name] = await self._nursery.start(
                self.store.serve, HOST, name
            )
            self._write_settings(name)
        log = open(self._folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "LAGOONSTAIR_SETTINGS": str(self._folder / f"{name}.json"),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    def _write_settings(self, name):
        first = self._first_ports[name]
        fields = {
            "node": name,
            "zone": self._zones[name],
            "ip": HOST,
            "listen": {
                "front": f"{HOST}:{first + 4}",
                "ready": f"{HOST}:{first + 5}",
            },
            "internal_ports": [first, first + 3],
            "platform": {"address": f"{HOST}:{self._store_ports[name]}"},
            "cloud": {"address": f"{HOST}:{self._duties_port}"},
            "bootstrap": True,
            "limits": {
                "memory_mb": 300,
                "cpu_share": 0.537,
                "cores": 2,
                "max_fds": 4300,
            },
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "zones": {zone: "sk-central" for zone in ZONES},
            "contracts": CONTRACTS,
        }
        path = self._folder / f"{name}.json"
        path.write_text(render(self._template, fields))

    def port(self, name):
        """Returns an instance's port for clients."""
        return self._first_ports[name] + 4

    def signal(self, name, number):
        self.record.write(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    async def wait_ready(self, name):
        with trio.fail_after(START_SECONDS):
            while not await self.is_ready(name):
                await trio.sleep(0.05)

    async def is_ready(self, name):
        """Asks the readiness question of the platform."""
        try:
            stream = await trio.open_tcp_stream(
                HOST, self._first_ports[name] + 5
            )
            async with stream:
                await stream.send_all(
                    b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                return b" 200 " in await stream.receive_some(4096)
        except (OSError, trio.BrokenResourceError):
            return False

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def end_at_once(self):
        """Ends the run and its processes after a signal to stop."""
        self.stop()
        shutil.rmtree(self._folder, ignore_errors=True)
        os._exit(2)

    def _publish(self, database):
        self.store.put("servers", database.name, database.entry(HOST))


@asynccontextmanager
async def fleet(
    case, instances, cfg=None, before_start=None, before_instances=None
):
    """Runs a fleet; ends its processes and removes its folder afterwards.

    Args:
        case: The folder of the case, which gets the record.
        instances: The number of proxy processes.
        cfg: The operator's first configuration.
        before_start: Called with the fleet before the databases start.
        before_instances: Awaited with the fleet before a proxy starts.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="lagoonstair-review-"))
    record = Record(pathlib.Path(case) / "record.txt")
    try:
        async with trio.open_nursery() as nursery:
            self = Fleet(folder, nursery, record)
            signal.signal(signal.SIGTERM, lambda *_: self.end_at_once())
            try:
                await self.start(
                    instances,
                    cfg or config(),
                    before_start,
                    before_instances,
                )
                record.write(f"{instances} instances are ready")
                yield self
            finally:
                self.stop()
                if os.environ.get("KEEP_LOGS"):
                    shutil.copytree(
                        folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True
                    )
            nursery.cancel_scope.cancel()
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def main(run, limit=115.0):
    """Runs a case and exits with 1 (broken), 0 (held) or 2 (not run)."""

    async def bounded():
        with trio.fail_after(limit):
            return await run()

    try:
        broken = trio.run(bounded)
    except BaseException as exc:  # noqa: BLE001
        print(f"the case could not run: {exc!r}")
        raise SystemExit(2) from exc
    raise SystemExit(1 if broken else 0)
