"""A database group with its network and its watchers, in virtual time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

import trio

from lagoonstair._types import Address
from lagoonstair.groups import GroupView, GroupViewAsk, GroupWatch, Timing
from lagoonstair.measure._member import Member
from lagoonstair.peers import PeerNotSentError
from lagoonstair.ports import (
    EndpointConnection,
    EndpointStatus,
    EndpointUnreachableError,
    FenceAnswer,
    ListedEndpoint,
    ListedGroup,
    Role,
)

REPLICATION_INTERVAL_SECONDS = 0.005
REPLICATION_CHECK_SECONDS = 0.05

ResultT = TypeVar("ResultT")


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """The distances of a deployment.

    Attributes:
        name: Its name.
        hop: Seconds from one failure domain to another, one way.
        slots: Calls that a database runs at once.
    """

    name: str
    hop: float
    slots: int


MEDOSTREH = Deployment(name="medostreh", hop=0.001, slots=5)
VEMBANAD = Deployment(name="vembanad", hop=0.0015, slots=2)
DEPLOYMENTS = (MEDOSTREH, VEMBANAD)


@dataclass(slots=True, kw_only=True)
class Faults:
    """What is broken now.

    Attributes:
        killed: Nodes whose process is gone.
        cut: Nodes that no packet reaches or leaves.
        unreachable: Pairs of nodes between which no packet passes.
        frozen: Nodes that are stopped, and the event that ends it.
        jitter: Greatest random addition to a hop, in seconds.
    """

    killed: set[str] = field(default_factory=set)
    cut: set[str] = field(default_factory=set)
    unreachable: set[tuple[str, str]] = field(default_factory=set)
    frozen: dict[str, trio.Event] = field(default_factory=dict)
    jitter: float = 0.0


class ModelGroup:
    """Three members, their replication and their network.

    Attributes:
        members: The databases by name.
        faults: What is broken now.
        replication: Seconds between two copies to a replica, by its name.
        control_calls: Counts the calls that watchers make.
    """

    def __init__(
        self, deployment: Deployment, rng: random.Random, *, members: int = 3
    ) -> None:
        names = [f"db{i}" for i in range(members)]
        self.members = {name: Member(name) for name in names}
        self.faults = Faults()
        self.replication_intervals = dict.fromkeys(
            names, REPLICATION_INTERVAL_SECONDS
        )
        self.control_calls = 0
        self._hop = deployment.hop
        self._rng = rng
        self.listed = ListedGroup(
            name="group",
            members=tuple(
                ListedEndpoint(
                    name=name,
                    failure_domain=f"domain{i}",
                    address=Address("127.0.0.1", i + 1),
                    slots=deployment.slots,
                    connections=30,
                )
                for i, name in enumerate(names)
            ),
        )

    def primaries(self) -> list[Member]:
        """The members that call themselves primary, the latest first."""
        found = [m for m in self.members.values() if m.role is Role.PRIMARY]
        return sorted(found, key=lambda m: -m.term)

    async def call(
        self, caller: str, name: str, action: Callable[[Member], ResultT]
    ) -> ResultT:
        """Runs an action at a member over the network."""
        await self._cross_network(caller, name)
        if name in self.faults.killed:
            raise EndpointUnreachableError(name)
        if name in self.faults.frozen:
            await self.faults.frozen[name].wait()
        result = action(self.members[name])
        await self._cross_network(caller, name)
        return result

    async def replicate(self) -> None:
        """Copies logs from primaries to replicas until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in self.members:
                nursery.start_soon(self._replicate_to, name)

    async def _replicate_to(self, name: str) -> None:
        replica = self.members[name]
        copied_at = trio.current_time()
        while True:
            await trio.sleep(
                min(self.replication_intervals[name], REPLICATION_CHECK_SECONDS)
            )
            if (
                trio.current_time() - copied_at
                < self.replication_intervals[name]
            ):
                continue
            copied_at = trio.current_time()
            source = self.members.get(replica.primary)
            if source is not None and self._can_replicate(source.name, name):
                replica.replicate(source, 1000)

    def _can_replicate(self, one: str, other: str) -> bool:
        faults = self.faults
        broken = faults.killed | faults.cut | faults.frozen.keys()
        pairs = {(one, other), (other, one)}
        return not broken & {one, other} and not pairs & faults.unreachable

    async def _cross_network(self, one: str, other: str) -> None:
        await trio.sleep(self._hop + self._rng.random() * self.faults.jitter)
        lost = {one, other} & self.faults.cut
        pairs = {(one, other), (other, one)}
        if lost or pairs & self.faults.unreachable:
            await trio.sleep_forever()


class ModelEndpoint:
    """The port to a member, as seen from one instance."""

    def __init__(self, group: ModelGroup, caller: str, name: str) -> None:
        self._group = group
        self._caller = caller
        self._name = name

    async def connect(self) -> EndpointConnection:
        """Refuses: the model serves statements without connections."""
        raise EndpointUnreachableError(self._name)

    async def status(self) -> EndpointStatus:
        """Reads the member's state."""
        return await self._call(Member.status)

    async def fence(self, term: int, candidate: str) -> FenceAnswer:
        """Asks the member for a term."""
        return await self._call(lambda m: m.fence(term, candidate))

    async def promote(self, term: int, candidate: str) -> EndpointStatus:
        """Makes the member the primary of a term."""
        return await self._call(lambda m: m.promote(term, candidate))

    async def follow(self, term: int, primary: str) -> EndpointStatus:
        """Tells the member whom to follow."""
        return await self._call(lambda m: m.follow(term, primary))

    async def _call(self, action: Callable[[Member], ResultT]) -> ResultT:
        self._group.control_calls += 1
        return await self._group.call(self._caller, self._name, action)


class ModelFleet:
    """The watchers of one group, the owner first.

    Attributes:
        watches: The watch of each instance.
    """

    def __init__(
        self,
        group: ModelGroup,
        rng: random.Random,
        *,
        instances: int = 3,
        timing: Timing | None = None,
    ) -> None:
        self._group = group
        self._scopes: dict[str, trio.CancelScope] = {}
        names = [f"instance{i}" for i in range(instances)]
        self.watches = {
            name: self._watch(name, timing or Timing(), rng) for name in names
        }
        for watch in self.watches.values():
            watch.set_watchers(names)

    @property
    def promotions(self) -> int:
        """How many promotions all watches have finished."""
        return sum(w.promotions for w in self.watches.values())

    async def run(self) -> None:
        """Runs all watches until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in self.watches:
                nursery.start_soon(self._run, name)

    def kill(self, name: str) -> None:
        """Ends one instance."""
        self._group.faults.killed.add(name)
        self._scopes[name].cancel()

    def find_serving_watch(self) -> GroupWatch | None:
        """The first watch that an entry instance could use."""
        faults = self._group.faults
        return next(
            (
                watch
                for name, watch in self.watches.items()
                if name not in faults.killed | faults.cut
                and not watch.snapshot().deferring
            ),
            None,
        )

    async def _run(self, name: str) -> None:
        with trio.CancelScope() as scope:
            self._scopes[name] = scope
            await self.watches[name].run()

    def _watch(
        self, name: str, timing: Timing, rng: random.Random
    ) -> GroupWatch:
        group = self._group

        async def ask_peer(peer: str, ask: GroupViewAsk) -> GroupView:
            faults = group.faults
            await trio.sleep(0.001)
            if peer in faults.killed:
                raise PeerNotSentError(peer)
            pairs = {(name, peer), (peer, name)}
            if {name, peer} & faults.cut or pairs & faults.unreachable:
                await trio.sleep_forever()
            return self.watches[peer].view()

        return GroupWatch(
            group.listed,
            instance=name,
            connect=lambda m: ModelEndpoint(group, name, m.name),
            ask_peer=ask_peer,
            timing=timing,
            rng=random.Random(rng.random()),
        )
