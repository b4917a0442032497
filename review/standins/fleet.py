"""Starts the project's processes, as the deploy file says, and their clients."""

import asyncio
import collections
import json
import os
import pathlib
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from standins.databases import Service
from standins.platform import Cloud, Store

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("z-a", "z-b", "z-c", "z-a", "z-b", "z-c", "z-a")
PORTS = 8
READY_SECONDS = 40.0
RESTART_SECONDS = 0.3
BOUNDS = {
    "drain_ms": 7000,
    "grace_s": 6,
    "config_ms": 3000,
    "fence_required": False,
    "quota_window_s": 5,
    "quota_excess": 0.1,
    "quota_slack": 20,
}
LIMITS = {"memory_mb": 300, "cpu_share": 0.537, "cores": 2, "max_fds": 4300}

Answer = collections.namedtuple("Answer", "kind text rows state")


def trouble():
    """Returns whether the disruption is wanted (``TROUBLE=0`` leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Session:
    """A client's session."""

    def __init__(self, reader, writer):
        self._reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, port, database, key):
        """Opens a session; raises ``ConnectionError`` if it is refused."""
        reader, writer = await asyncio.open_connection(HOST, port)
        session = cls(reader, writer)
        writer.write(f"START {database} {key}\r\n".encode())
        line = await reader.readline()
        if not line.startswith(b"READY"):
            writer.close()
            raise ConnectionError(line.decode() or "closed")
        return session

    async def ask(self, request, text):
        """Sends a statement; ``kind`` is ``CUT`` without a complete answer."""
        rows = []
        kind, detail = "CUT", ""
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode())
            while line := (await self._reader.readline()).decode():
                if not line.endswith("\n"):
                    break
                verb, _, rest = line.rstrip("\r\n").partition(" ")
                if verb == "READY":
                    return Answer(kind, detail, rows, rest.split(" ")[0])
                if verb == "ROW":
                    rows.append(rest)
                else:
                    kind, detail = verb, rest
        except ConnectionError:
            pass
        return Answer("CUT", detail, rows, "")

    def close(self):
        """Closes the connection."""
        self.writer.close()


class Fleet:
    """The system's processes with the stand-ins around them."""

    def __init__(self, folder, instances):
        self._folder = pathlib.Path(folder)
        self._temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._record = open(self._folder / "record.txt", "w")
        self._started_at = time.monotonic()
        self._names = [f"front-{number + 1}" for number in range(instances)]
        self._processes = {}
        self._first_ports = {}
        self._reserved = []
        self._restarts = []
        self._closing = False
        self.exits = collections.Counter()
        self.store = Store()
        self.services = {}
        self.cloud = Cloud(self.services, self.note)
        self.ports = {}
        self._ready_ports = {}
        self._requests = 0

    def note(self, event, **fields):
        """Writes a line to the record."""
        at = time.monotonic() - self._started_at
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        self._record.write(f"{at:8.3f} {event} {details}\n")
        self._record.flush()

    def request_id(self):
        """Returns a new request id."""
        self._requests += 1
        return f"q{self._requests:06d}"

    async def start_platform(self):
        """Starts the store and the promotion call."""
        await self.store.start()
        await self.cloud.start()

    async def add_service(self, name, **options):
        """Adds a service of three databases, one in each zone."""
        service = Service(name, self.store, self.note, **options)
        self.services[name] = service
        for number, zone in enumerate(ZONES[:3], 1):
            await service.add(f"i-{name}{number}", zone)
        return service

    async def start(self):
        """Starts all processes and waits until they are ready."""
        for number, name in enumerate(self._names):
            self._write_settings(name, ZONES[number])
            await self._launch(name)
        deadline = time.monotonic() + READY_SECONDS
        waiting = set(self._names)
        while waiting or not all(
            self.store.value("lagoonstair", f"group/{service}")
            for service in self.services
        ):
            if time.monotonic() > deadline:
                raise TimeoutError("the processes did not become ready")
            for name in [*waiting]:
                if await self.is_ready(name):
                    waiting.discard(name)
            await asyncio.sleep(0.1)
        self.note("ready")

    def _write_settings(self, name, zone):
        first = self._free_ports()
        self._first_ports[name] = first
        self.ports[name] = first + 4
        self._ready_ports[name] = first + 5
        fields = {
            "node": name,
            "zone": zone,
            "ip": HOST,
            "listen": {
                "front": f"{HOST}:{first + 4}",
                "ready": f"{HOST}:{first + 5}",
            },
            "internal_ports": [first, first + 3],
            "platform": {"address": f"{HOST}:{self.store.port}"},
            "cloud": {"address": f"{HOST}:{self.cloud.port}"},
            "bootstrap": True,
            "limits": LIMITS,
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
        }

        def fill(match):
            value = fields
            for part in match.group(1).split("."):
                value = value[part]
            return json.dumps(value)

        template = (ROOT / self._role()["template"]).read_text()
        text = re.sub(r"\{\{([\w.]+)\|json\}\}", fill, template)
        (self._temporary / f"{name}.json").write_text(text)

    def _role(self):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            return tomllib.load(file)["roles"]["entry"]

    def _free_ports(self):
        for first in range(21000 + os.getpid() % 500 * 16, 60000, PORTS):
            sockets = [socket.socket() for _ in range(PORTS)]
            try:
                for offset, sock in enumerate(sockets):
                    sock.bind((HOST, first + offset))
            except OSError:
                continue
            else:
                self._reserved.append(sockets.pop())
                return first
            finally:
                for sock in sockets:
                    sock.close()
        raise OSError("no free ports")

    async def _launch(self, name):
        log = open(self._temporary / f"{name}.log", "ab")
        process = await asyncio.create_subprocess_exec(
            *shlex.split(self._role()["run"]),
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/tmp"),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "LAGOONSTAIR_SETTINGS": str(self._temporary / f"{name}.json"),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self._processes[name] = process
        self._restarts.append(asyncio.create_task(self._watch(name, process)))

    async def _watch(self, name, process):
        """Starts a process that has ended again, as the platform does."""
        code = await process.wait()
        if self._closing:
            return
        self.note("process ended", name=name, code=code)
        self.exits[name] += 1
        await asyncio.sleep(RESTART_SECONDS)
        if not self._closing:
            await self._launch(name)

    def signal(self, name, number):
        """Sends a signal to a process."""
        self.note("signal", name=name, signal=signal.Signals(number).name)
        self._processes[name].send_signal(number)

    async def is_ready(self, name):
        """Asks a process for its readiness."""
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self._ready_ports[name]
            )
            writer.write(
                b"GET /-/readiness HTTP/1.1\r\nhost: x\r\n"
                b"connection: close\r\n\r\n"
            )
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (TimeoutError, OSError):
            return False
        return b" 200 " in line

    def log_events(self, name, event):
        """Returns the events of one kind that a process has logged."""
        path = self._temporary / f"{name}.log"
        found = []
        for line in path.read_text(errors="replace").splitlines():
            if line.startswith("{") and f'"{event}"' in line:
                found.append(json.loads(line))
        return found

    def log_text(self, name):
        """Returns the whole output of a process."""
        return (self._temporary / f"{name}.log").read_text(errors="replace")

    def note_runs(self):
        """Writes to the record what each database has run."""
        for service in self.services.values():
            for database in service.databases.values():
                runs = collections.defaultdict(list)
                for _, request, kind, _ in database.runs:
                    runs[kind].append(request)
                for kind, requests in runs.items():
                    self.note(
                        "ran",
                        by=database.name,
                        kind=kind,
                        ids=",".join(requests),
                    )

    async def stop(self):
        """Ends all processes and removes the temporary folder."""
        self._closing = True
        # A process may just be starting again; its task adds it to the others.
        while waiting := [task for task in self._restarts if not task.done()]:
            for process in self._processes.values():
                if process.returncode is None:
                    process.kill()
            await asyncio.wait(waiting, timeout=0.1)
        for sock in self._reserved:
            sock.close()
        if os.environ.get("KEEP_LOGS"):
            print(self._temporary)
        else:
            shutil.rmtree(self._temporary, ignore_errors=True)
        self._record.close()


def run_case(folder, instances, play):
    """Runs a case and exits with its code: 0 held, 1 broken, 2 not run.

    Args:
        folder: The case's folder, for ``record.txt``.
        instances: The number of processes to start.
        play: A coroutine function that gets the fleet and returns whether the
            rule held.
    """

    async def main():
        fleet = Fleet(folder, instances)
        code = 2
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            held = await asyncio.wait_for(play(fleet), 110)
            code = 0 if held else 1
        except Exception as exc:
            fleet.note("could not run", cause=repr(exc))
            print(f"could not run: {exc!r}", file=sys.stderr)
        except asyncio.CancelledError:
            fleet.note("ended by a signal")
        finally:
            try:
                fleet.note_runs()
                fleet.note("result", exit=code)
            finally:
                await fleet.stop()
        os._exit(code)

    asyncio.run(main())


def configuration(version, routes, services, tenants=8, **limits):
    """Returns an operator's configuration.

    Args:
        version: Its version.
        routes: The routes, each with ``database``, ``service``, ``route_type``
            and further fields.
        services: The ``sync_replicas`` and ``max_conns`` of each service.
        tenants: The number of tenants; tenant N has the key ``key-N``.
        limits: The limits.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"route-{row['database']}",
                "timeout_ms": 1000,
                "target_latency_ms": 400,
                "priority": 2,
                "max_staleness_ms": 0,
                "public": False,
                **row,
            }
            for row in routes
        ],
        "services": [{"name": name, **row} for name, row in services.items()],
        "limits": {"tx_idle_ms": 3000, **limits},
        "tenants": [
            {
                "name": f"tenant{number}",
                "api_keys": [f"key-{number}"],
                "rate_per_s": 1000,
                "burst": 1000,
            }
            for number in range(tenants)
        ],
    }
