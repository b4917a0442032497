"""Runs simulated dependencies and instances embedded in one process."""

import hashlib
import itertools
import os
import socket
from dataclasses import dataclass
from typing import Any

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.demo._samples import SCHEMA
from lagoonstair.ports import ListedEndpoint, ListedGroup, ListedInstance
from lagoonstair.service import Daemon
from lagoonstair.settings import parse_settings
from lagoonstair.standins.database import Database, DatabaseConfig
from lagoonstair.standins.platform import (
    ListingChange,
    PlatformConfig,
    PlatformStandin,
)
from lagoonstair.wire import ClientResponse, HttpConnection

HOST = "127.0.0.1"
ANY_PORT = Address(HOST, 0)
"""Address whose port the operating system chooses."""
OPERATOR_KEY = "demo-operator-key"
FAILURE_DOMAINS = "abc"
"""Names of the failure domains, one letter each."""
FIRST_PORT = 15_000
"""Lowest TCP port that ``free_port`` returns."""
PORT_COUNT = 15_000
"""Number of TCP ports, from ``FIRST_PORT`` on, that ``free_port`` tries."""

_PORT_CANDIDATES = itertools.cycle(
    FIRST_PORT + (os.getpid() * 97 + number) % PORT_COUNT
    for number in range(PORT_COUNT)
)
"""Endless sequence of ports; its start depends on the process id."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPlan:
    """Size and timing of a fleet.

    Attributes:
        instances: The number of instances.
        groups: The number of database groups, of three databases each.
        slots: The number of calls that each database runs at once.
        timing: The ``timing`` section of the instances' settings.
    """

    instances: int = 7
    groups: int = 3
    slots: int = 5
    timing: dict[str, float] | None = None


class Fleet:
    """A running fleet.

    Attributes:
        platform: The simulated platform.
        listing: The initial list of instances and groups.
        databases: The simulated databases by name.
        database_addresses: The address of each database by name.
        daemons: The instances by name.
    """

    def __init__(self, plan: FleetPlan, nursery: trio.Nursery) -> None:
        """Creates a fleet without starting anything; use ``start``."""
        self._plan = plan
        self._nursery = nursery
        self.platform: PlatformStandin
        self.listing = ListingChange()
        self.databases: dict[str, Database] = {}
        self.database_addresses: dict[str, Address] = {}
        self.daemons: dict[str, Daemon] = {}

    @classmethod
    async def start(cls, plan: FleetPlan, nursery: trio.Nursery) -> "Fleet":
        """Starts the simulated dependencies, then the instances.

        Args:
            plan: Size and timing of the fleet.
            nursery: Runs the fleet; cancel it to stop the fleet.

        Returns:
            The fleet, once all instances are started.
        """
        fleet = cls(plan, nursery)
        groups = [
            await fleet._start_group(f"g{number}")
            for number in range(1, plan.groups + 1)
        ]
        peers = {
            f"i{number}": Address(HOST, free_port())
            for number in range(1, plan.instances + 1)
        }
        fleet.listing = ListingChange(
            instances=tuple(
                ListedInstance(
                    name=name, failure_domain=domain_of(index), peers=address
                )
                for index, (name, address) in enumerate(peers.items())
            ),
            groups=tuple(groups),
        )
        port = await fleet._start_platform(fleet.listing)
        async with trio.open_nursery() as starting:
            for index, (name, address) in enumerate(peers.items()):
                text = fleet._settings(name, domain_of(index), address, port)
                daemon = Daemon(parse_settings(text))
                fleet.daemons[name] = daemon
                starting.start_soon(nursery.start, daemon.run)
        return fleet

    async def call_operator(
        self, method: str, target: str, body: Any = None
    ) -> dict[str, Any]:
        """Sends an operator's request to the first instance.

        Returns:
            The decoded response body.

        Raises:
            RuntimeError: The response is an error.
        """
        daemon = next(iter(self.daemons.values()))
        assert daemon.operators is not None
        answer = await call(
            daemon.operators, method, target, body, key=OPERATOR_KEY
        )
        response: dict[str, Any] = msgspec.json.decode(answer.body)
        if answer.status >= 400:
            raise RuntimeError(f"{method} {target}: {response}")
        return response

    async def issue_key(self, workspace: str) -> str:
        """Issues a caller's key for a workspace and returns it."""
        answer = await self.call_operator(
            "POST", "/v1/keys", {"workspace": workspace}
        )
        key: str = answer["key"]
        return key

    async def _start_group(self, name: str) -> ListedGroup:
        """Starts the databases of a group, one per failure domain."""
        members = {
            f"{name}{domain}": Address(HOST, free_port())
            for domain in FAILURE_DOMAINS
        }
        for member, address in members.items():
            cfg = DatabaseConfig(
                name=member,
                primary=next(iter(members)),
                members=members,
                host=address.host,
                port=address.port,
                slots=self._plan.slots,
                schema=SCHEMA,
                record=True,
            )
            database = Database.from_config(cfg)
            self.databases[member] = database
            self.database_addresses[member] = address
            await self._nursery.start(
                database.serve, address.host, address.port
            )
        return ListedGroup(
            name=name,
            members=tuple(
                ListedEndpoint(
                    name=member,
                    failure_domain=domain,
                    address=address,
                    slots=self._plan.slots,
                    connections=30,
                )
                for domain, (member, address) in zip(
                    FAILURE_DOMAINS, members.items(), strict=True
                )
            ),
        )

    async def _start_platform(self, listing: ListingChange) -> int:
        """Starts the simulated platform and returns its port."""
        cfg = PlatformConfig(host=HOST, listing=listing)
        self.platform = PlatformStandin.from_config(cfg)
        port: int = await self._nursery.start(self.platform.serve, HOST, 0)
        return port

    def _settings(
        self, name: str, domain: str, peers: Address, platform: int
    ) -> bytes:
        """Returns the settings of an instance of this fleet, as JSON."""
        return msgspec.json.encode(
            instance_settings(
                name=name,
                domain=domain,
                peers=peers,
                platform=Address(HOST, platform),
                timing=self._plan.timing or {},
            )
        )


def instance_settings(
    *,
    name: str,
    domain: str,
    peers: Address,
    platform: Address,
    timing: dict[str, float],
    callers: Address = ANY_PORT,
    operators: Address = ANY_PORT,
) -> dict[str, Any]:
    """Returns the settings of one sample instance, as JSON values.

    Args:
        name: The instance's name.
        domain: The instance's failure domain.
        peers: The address on which to listen for other instances.
        platform: The platform's address.
        timing: The ``timing`` section.
        callers: The address on which to listen for callers.
        operators: The address on which to listen for operators.
    """
    return {
        "name": name,
        "failure_domain": domain,
        "callers": callers._asdict(),
        "operators": operators._asdict(),
        "peers": peers._asdict(),
        "platform": platform._asdict(),
        "peer_secret": "demo-peer-secret",
        "session_secrets": ["demo-session-secret"],
        "operator_keys_sha256": [
            hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
        ],
        "timing": timing,
        "log": {"level": "WARNING"},
    }


def domain_of(index: int) -> str:
    """Returns the failure domain of an instance, given its index from 0."""
    return next(itertools.islice(itertools.cycle(FAILURE_DOMAINS), index, None))


def free_port() -> int:
    """Finds a TCP port that no process listens on.

    The port is below those that the system assigns to outgoing connections.
    """
    for port in _PORT_CANDIDATES:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
            return port
    raise AssertionError("the sequence of ports never ends")


async def call(
    address: Address,
    method: str,
    target: str,
    body: Any = None,
    *,
    key: str | None = None,
) -> ClientResponse:
    """Sends one request on a connection of its own.

    Args:
        address: The listener to send it to.
        method: The HTTP method.
        target: The request target.
        body: The value to send as JSON; None for no body.
        key: The key to authenticate with, if any.
    """
    headers = [] if key is None else [("authorization", f"Bearer {key}")]
    content = b"" if body is None else msgspec.json.encode(body)
    conn = await HttpConnection.open(address)
    try:
        return await conn.call(method, target, content, headers=headers)
    finally:
        conn.close()
