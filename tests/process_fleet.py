"""A fleet of separate processes that tests can kill and freeze."""

import json
import os
import signal
import subprocess
import sys
from contextlib import asynccontextmanager

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.demo import SCHEMA, load_sample
from lagoonstair.demo._fleet import (
    FAILURE_DOMAINS,
    HOST,
    OPERATOR_KEY,
    call,
    domain_of,
    free_port,
    instance_settings,
)


class Process:
    """One process of the fleet.

    Attributes:
        name: The name of the process.
        printed: Its output so far, from both standard streams.
    """

    def __init__(self, name, process):
        self.name = name
        self.printed = b""
        self._process = process

    @classmethod
    async def start(cls, name, args, nursery, *, ready, env=None):
        """Starts a process and waits until its output contains ``ready``."""
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", *args],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            env=env,
        )
        self = cls(name, process)
        await nursery.start(self._read, ready)
        return self

    async def _read(self, ready, *, task_status):
        waiting = True
        async for chunk in self._process.stdout:
            self.printed += chunk
            if waiting and ready in self.printed:
                waiting = False
                task_status.started()
        assert not waiting, self.printed.decode()

    @property
    def alive(self):
        return self._process.poll() is None

    def send(self, number):
        self._process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)

    def freeze(self):
        os.kill(self._process.pid, signal.SIGSTOP)

    def thaw(self):
        os.kill(self._process.pid, signal.SIGCONT)

    async def wait(self):
        return await self._process.wait()

    async def stop(self):
        with trio.CancelScope(shield=True):
            if self._process.poll() is None:
                self.thaw()
                self.kill()
            await self._process.wait()


class ProcessFleet:
    """A platform, databases and instances, each in a process of its own."""

    def __init__(self, folder, nursery):
        self._folder = folder
        self._nursery = nursery
        self.platform = None
        self.platform_address = None
        self.databases = {}
        self.database_addresses = {}
        self.instances = {}
        self.callers = {}
        self.operators = {}
        self._entries = []
        self._lost = {}

    def environment_of(self, name):
        """Returns a process's environment; ``None`` to inherit the test's."""
        return None

    async def operate(self, method, target, body=None, *, instance="i1"):
        answer = await call(
            self.operators[instance], method, target, body, key=OPERATOR_KEY
        )
        found = json.loads(answer.body)
        assert answer.status < 400, found
        return found

    async def apply_samples(self, workspace, **params):
        """Applies both samples and issues a key for one workspace.

        Args:
            workspace: The workspace.
            params: Values that replace the sample's workspace parameters.
        """
        for sample in ("medostreh", "vembanad"):
            body = load_sample(sample)
            if workspace in body["workspaces"]:
                body["workspaces"][workspace]["params"].update(params)
            await self.operate("POST", "/v1/apply", body)
        issued = await self.operate(
            "POST", "/v1/keys", {"workspace": workspace}
        )
        return issued["key"]

    @property
    def entries(self):
        """The instances that callers send requests to."""
        return self._entries

    def lose(self, instance):
        """Removes an instance from the entries, as a load balancer would.

        Requests that wait for the instance end with an unknown outcome.
        """
        self._entries.remove(instance)
        self._lost[instance].set()

    async def request_unless_lost(self, instance, *args, **more):
        """Sends a request; its outcome is unknown if the instance is lost."""
        answers = []
        async with trio.open_nursery() as nursery:

            async def send():
                answers.append(await self.request(instance, *args, **more))
                nursery.cancel_scope.cancel()

            nursery.start_soon(send)
            await self._lost[instance].wait()
            nursery.cancel_scope.cancel()
        return answers[0] if answers else {"outcome": "unknown"}

    async def owner(self, group="g1"):
        """Returns the name of the instance that owns a group."""
        for name in self.instances:
            status = await self.operate("GET", "/v1/status", instance=name)
            if status["groups"].get(group, {}).get("active"):
                return name
        raise AssertionError("no instance owns the group")

    async def heal(self):
        """Ends every fault; killed processes stay dead."""
        for process in [*self.databases.values(), *self.instances.values()]:
            if process.alive:
                process.thaw()
        await self.fault_platform(all={"down": False})
        for name, process in self.databases.items():
            if process.alive:
                await self.fault_database(name, cut=[], lag=0.0)

    async def surviving_log(self, group="g1"):
        """Returns the request IDs in the most recent log of a group.

        This is the log with the greatest last position among the databases
        that are alive.
        """
        pages = [
            await self.log_of(name)
            for name, process in self.databases.items()
            if name.startswith(group) and process.alive
        ]
        last = max(pages, key=lambda page: page["last"])
        return [
            entry["request_id"]
            for entry in last["entries"]
            if entry["request_id"] is not None
        ]

    async def wait_started(self, instance, count):
        """Waits until an instance has at least ``count`` requests in progress.

        Open transactions count too.
        """
        while True:
            status = await self.operate("GET", "/v1/status", instance=instance)
            if status["started"] >= count:
                return

    async def request(self, instance, workspace, route, params, **more):
        key = more.pop("key", None)
        answer = await call(
            self.callers[instance],
            "POST",
            f"/v1/workspaces/{workspace}/routes/{route}",
            {"params": params, **more},
            key=key,
        )
        return json.loads(answer.body)

    async def fault_database(self, name, **faults):
        address = self.database_addresses[name]
        answer = await call(address, "POST", "/admin/faults", faults)
        assert answer.status == 200, answer.body

    async def fault_platform(self, **faults):
        answer = await call(
            self.platform_address, "POST", "/admin/faults", faults
        )
        assert answer.status == 200, answer.body

    async def log_of(self, name):
        answer = await call(self.database_addresses[name], "GET", "/v1/log")
        return json.loads(answer.body)

    async def start_group(self, name, *, slots):
        members = {
            f"{name}{d}": Address(HOST, free_port()) for d in FAILURE_DOMAINS
        }
        for member, address in members.items():
            cfg = {
                "name": member,
                "primary": f"{name}{FAILURE_DOMAINS[0]}",
                "members": members,
                "host": address.host,
                "port": address.port,
                "slots": slots,
                "schema": SCHEMA,
                "record": True,
            }
            self.databases[member] = await self._start(
                member, "lagoonstair.standins.database", cfg, b"listening"
            )
        self.database_addresses.update(members)
        return {
            "name": name,
            "members": [
                {
                    "name": member,
                    "failure_domain": domain,
                    "address": address,
                    "slots": slots,
                    "connections": 30,
                }
                for domain, (member, address) in zip(
                    FAILURE_DOMAINS, members.items(), strict=True
                )
            ],
        }

    async def start_instance(self, name, domain, peers, timing):
        self.callers[name] = Address(HOST, free_port())
        self.operators[name] = Address(HOST, free_port())
        cfg = instance_settings(
            name=name,
            domain=domain,
            peers=peers,
            platform=self.platform_address,
            timing=timing,
            callers=self.callers[name],
            operators=self.operators[name],
        )
        cfg["log"] = {"level": "INFO"}
        self._entries.append(name)
        self._lost[name] = trio.Event()
        self.instances[name] = await self._start(
            name, "lagoonstair.service", cfg, b"serving callers"
        )

    async def start_platform(self, listing):
        port = free_port()
        self.platform_address = Address(HOST, port)
        cfg = {"host": HOST, "port": port, "listing": listing}
        self.platform = await self._start(
            "platform", "lagoonstair.standins.platform", cfg, b"\n"
        )

    async def _start(self, name, module, cfg, ready):
        path = self._folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(cfg))
        return await Process.start(
            name,
            [module, "--config", str(path)],
            self._nursery,
            ready=ready,
            env=self.environment_of(name),
        )

    async def stop(self):
        processes = [*self.instances.values(), *self.databases.values()]
        for process in [*processes, self.platform]:
            if process is not None:
                await process.stop()


@asynccontextmanager
async def process_fleet(folder, *, instances=7, groups=3, slots=5, timing=None):
    """Runs a fleet for the duration of the context.

    Args:
        folder: The directory for the settings files.
        instances: The number of instances.
        groups: The number of database groups.
        slots: The number of slots of each database.
        timing: Timing settings that differ from the defaults.
    """
    async with trio.open_nursery() as nursery:
        fleet = ProcessFleet(folder, nursery)
        try:
            listed = [
                await fleet.start_group(f"g{n + 1}", slots=slots)
                for n in range(groups)
            ]
            peers = {
                f"i{n + 1}": Address(HOST, free_port())
                for n in range(instances)
            }
            members = [
                {"name": name, "failure_domain": domain_of(n), "peers": address}
                for n, (name, address) in enumerate(peers.items())
            ]
            await fleet.start_platform({"instances": members, "groups": listed})
            async with trio.open_nursery() as starting:
                for n, (name, address) in enumerate(peers.items()):
                    starting.start_soon(
                        fleet.start_instance,
                        name,
                        domain_of(n),
                        address,
                        timing or {},
                    )
            yield fleet
        finally:
            await fleet.stop()
            nursery.cancel_scope.cancel()
