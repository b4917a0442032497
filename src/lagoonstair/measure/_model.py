"""A model of a database group, its network and the watches of the group."""

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
"""Seconds between two copies to a replica that does not lag."""

REPLICATION_CHECK_SECONDS = 0.05
"""Greatest time in seconds between two checks whether a copy is due.

It bounds the time after which a changed replication interval takes effect.
"""

ResultT = TypeVar("ResultT")


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """The network delay and the database slots of a deployment.

    Attributes:
        name: The name of the deployment.
        hop: One-way network delay in seconds between two failure domains.
        slots: Number of calls that a database runs concurrently.
    """

    name: str
    hop: float
    slots: int


MEDOSTREH = Deployment(name="medostreh", hop=0.001, slots=5)
VEMBANAD = Deployment(name="vembanad", hop=0.0015, slots=2)
DEPLOYMENTS = (MEDOSTREH, VEMBANAD)


@dataclass(slots=True, kw_only=True)
class Faults:
    """The faults that are injected at present.

    A node is a member of the group or an instance.

    Attributes:
        killed: Nodes whose process has ended.
        cut: Nodes that are isolated from the network.
        unreachable: Pairs of nodes between which all packets are lost, in
            both directions.
        frozen: Nodes that are suspended, each with the event that is set
            when the node resumes.
        jitter: Greatest random delay in seconds that is added to a hop.
    """

    killed: set[str] = field(default_factory=set)
    cut: set[str] = field(default_factory=set)
    unreachable: set[tuple[str, str]] = field(default_factory=set)
    frozen: dict[str, trio.Event] = field(default_factory=dict)
    jitter: float = 0.0


class ModelGroup:
    """The members of a group, their replication and their network.

    Attributes:
        members: The members by name.
        faults: The faults that are injected at present.
        replication_intervals: Seconds between two copies to a replica, by
            the replica's name.
        control_calls: Number of calls that watches have made to members.
        listed: The group as the platform lists it.

    Args:
        deployment: The network delay and the slots of the members.
        rng: Draws the jitter of the network.
        members: Number of members, three unless given.
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
        """Returns the members in the role of primary, greatest term first."""
        primaries = [m for m in self.members.values() if m.role is Role.PRIMARY]
        return sorted(primaries, key=lambda m: -m.term)

    async def call(
        self, caller: str, name: str, action: Callable[[Member], ResultT]
    ) -> ResultT:
        """Runs an action at a member, with the delays of the network.

        A call never returns if a packet is lost, even after the fault has
        been removed. It waits while the member is frozen.

        Args:
            caller: The name of the calling node.
            name: The name of the member.
            action: The function to run with the member.

        Returns:
            What the action returns.

        Raises:
            EndpointUnreachableError: The member's process has ended.
        """
        await self._cross_network(caller, name)
        if name in self.faults.killed:
            raise EndpointUnreachableError(name)
        if name in self.faults.frozen:
            await self.faults.frozen[name].wait()
        result = action(self.members[name])
        await self._cross_network(caller, name)
        return result

    async def replicate(self) -> None:
        """Copies log entries from primaries to replicas until cancelled."""
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
    """An ``Endpoint`` by which one instance calls a member of the model.

    Args:
        group: The model of the group.
        caller: The name of the instance.
        name: The name of the member.
    """

    def __init__(self, group: ModelGroup, caller: str, name: str) -> None:
        self._group = group
        self._caller = caller
        self._name = name

    async def connect(self) -> EndpointConnection:
        """Fails, since the model has no connections for statements.

        Raises:
            EndpointUnreachableError: Always.
        """
        raise EndpointUnreachableError(self._name)

    async def status(self) -> EndpointStatus:
        """Returns the member's state."""
        return await self._call(Member.status)

    async def fence(self, term: int, candidate: str) -> FenceAnswer:
        """Asks the member to grant a term to a candidate."""
        return await self._call(lambda m: m.fence(term, candidate))

    async def promote(self, term: int, candidate: str) -> EndpointStatus:
        """Makes the member the primary of a term that it has granted."""
        return await self._call(lambda m: m.promote(term, candidate))

    async def follow(self, term: int, primary: str) -> EndpointStatus:
        """Makes the member a replica of the term's primary."""
        return await self._call(lambda m: m.follow(term, primary))

    async def _call(self, action: Callable[[Member], ResultT]) -> ResultT:
        self._group.control_calls += 1
        return await self._group.call(self._caller, self._name, action)


class ModelFleet:
    """The instances that watch one group.

    Attributes:
        watches: The watch of each instance by the instance's name; the
            group's owner comes first.

    Args:
        group: The model of the group.
        rng: Draws the seeds of the watches.
        instances: Number of instances, three unless given.
        timing: The timing of the watches; the default timing if ``None``.
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
        """Number of promotions that all watches together have finished."""
        return sum(w.promotions for w in self.watches.values())

    async def run(self) -> None:
        """Runs all watches until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in self.watches:
                nursery.start_soon(self._run, name)

    def kill(self, name: str) -> None:
        """Kills one instance and cancels its watch."""
        self._group.faults.killed.add(name)
        self._scopes[name].cancel()

    def find_serving_watch(self) -> GroupWatch | None:
        """Returns the first watch that can serve requests.

        Returns:
            The first watch that does not defer to another and whose instance
            is neither killed nor isolated; ``None`` if there is none.
        """
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
