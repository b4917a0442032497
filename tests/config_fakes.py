"""An in-memory platform and network with fault injection."""

from random import Random

import msgspec
import trio

from lagoonstair import config
from lagoonstair._types import Address
from lagoonstair.peers import (
    HandlerRegistry,
    PeerContext,
    PeerLostError,
    PeerNotSentError,
)
from lagoonstair.peers._messages import Call
from lagoonstair.ports import Listing, PlatformUnavailableError, Row

NO_ROW = Row(0, b"")


class FakePlatform:
    """An in-memory store and listing.

    Attributes:
        rows: The rows by key.
        objects: The objects by name.
        down: The names of instances that can't reach the platform.
        delay: Seconds that each request takes.
        lose_answers: How many of the next transactions are applied without a
            response.
        listed: The instances in the listing.
    """

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.down = set()
        self.delay = 0.0
        self.lose_answers = 0
        self.listed = ()

    def client(self, name):
        return _Client(self, name)


class _Client:
    def __init__(self, platform, name):
        self._platform = platform
        self._name = name

    async def _reach(self):
        await trio.sleep(self._platform.delay)
        if self._name in self._platform.down:
            raise PlatformUnavailableError("down", may_have_applied=False)

    async def read(self, keys):
        await self._reach()
        return {key: self._platform.rows.get(key, NO_ROW) for key in keys}

    async def scan(self, prefix, *, after, limit):
        await self._reach()
        rows = sorted(self._platform.rows.items())
        found = [
            (key, row)
            for key, row in rows
            if key.startswith(prefix) and key > after
        ]
        return found[:limit]

    async def transact(self, transaction):
        await self._reach()
        rows = self._platform.rows
        if any(
            rows.get(key, NO_ROW).version != version
            for key, version in transaction.conditions.items()
        ):
            return False
        for key, value in transaction.writes.items():
            version = rows.get(key, NO_ROW).version + 1
            rows[key] = Row(version, value)
        if self._platform.lose_answers:
            self._platform.lose_answers -= 1
            raise PlatformUnavailableError("answer lost", may_have_applied=True)
        return True

    async def put_object(self, name, content):
        await self._reach()
        self._platform.objects[name] = content

    async def get_object(self, name):
        await self._reach()
        return self._platform.objects.get(name)

    async def listing(self):
        await self._reach()
        return Listing(version=1, instances=self._platform.listed, groups=())


class FakeNet:
    """An in-memory network between the registries of instances.

    Attributes:
        registries: The handlers of each address.
        cut: The pairs (sender, receiver) of addresses without a connection.
        lost_kinds: The message types whose calls are lost.
    """

    def __init__(self):
        self.registries = {}
        self.cut = set()
        self.lost_kinds = set()

    def caller(self, address):
        return _Caller(self, address)

    def isolate(self, address, others):
        self.cut |= {(address, other) for other in others if other != address}
        self.cut |= {(other, address) for other in others if other != address}


class _Caller:
    def __init__(self, net, own):
        self._net = net
        self._own = own

    async def call(self, address, message, answer):
        await trio.lowlevel.checkpoint()
        registry = self._net.registries.get(address)
        kind = type(message).__name__
        if registry is None or (self._own, address) in self._net.cut:
            raise PeerNotSentError("cut")
        if kind in self._net.lost_kinds:
            raise PeerLostError("lost")
        body = msgspec.Raw(msgspec.msgpack.encode(message))
        reply = await registry.dispatch(Call(1, kind, body), PeerContext("x"))
        return msgspec.msgpack.decode(
            msgspec.msgpack.encode(reply), type=answer
        )


class Fleet:
    """Instances that run in one nursery on the fake platform and network."""

    def __init__(self, nursery, size, **timing):
        self.platform = FakePlatform()
        self.net = FakeNet()
        self.timing = config.SyncTiming(**timing)
        self.addresses = [Address("10.0.0.1", n) for n in range(size)]
        self.syncs = {}
        self._scopes = {}
        self._runs = 0
        self._nursery = nursery

    async def start(self, number):
        self._runs += 1
        name = f"i{number}"
        address = self.addresses[number]
        registry = HandlerRegistry()
        sync = config.ConfigSync(
            name=name,
            incarnation=f"run{self._runs}",
            failure_domain=f"f{number % 3}",
            peers=address,
            platform=self.platform.client(name),
            caller=self.net.caller(address),
            registry=registry,
            seeds=self.addresses,
            timing=self.timing,
            rng=Random(self._runs),
        )
        self.net.registries[address] = registry
        self.syncs[number] = sync
        scope = self._scopes[number] = trio.CancelScope()

        async def run(task_status=trio.TASK_STATUS_IGNORED):
            with scope:
                await sync.run(task_status=task_status)

        await self._nursery.start(run)
        return sync

    async def start_all(self):
        for number in range(len(self.addresses)):
            await self.start(number)
        for sync in self.syncs.values():
            await sync.wait_fresh()
            await self.until(
                sync,
                lambda sync=sync: len(sync.current.members) == len(self.syncs),
            )

    def kill(self, number):
        self._scopes[number].cancel()
        del self.net.registries[self.addresses[number]]
        return self.syncs.pop(number)

    async def until(self, sync, condition):
        with trio.fail_after(60):
            await sync._replica.wait_until(condition)

    def store_down(self, *numbers):
        chosen = numbers or range(len(self.addresses))
        self.platform.down = {f"i{number}" for number in chosen}
