"""What instances tell each other between two reads of the store."""

import itertools
import random
from collections.abc import Callable, Sequence

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.peers import HandlerRegistry as Handlers
from lagoonstair.peers import (
    PeerClient,
    PeerContext,
    PeerLostError,
    PeerNotSentError,
    Ping,
)
from lagoonstair.primacy import GroupReport
from lagoonstair.proxy._fleet import Fleet, epochs_of
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._registry import Registry
from lagoonstair.proxy._tables import KnownVersions, Tables, Update

ROUND_PERIOD_SECONDS = 0.45
"""Between two rounds. A proof that another instance passes on is up to two
rounds old, which is half of the time for which it holds."""

URGENT_PERIOD_SECONDS = 0.05
"""Between two rounds while a promotion waits for the others' words."""

SWEEP_PERIOD_SECONDS = 2.0
"""Between two rounds to the instances that are no voters."""

SAME_DOMAIN_WEIGHT = 6
"""How much more often a voter in the same failure domain is asked than one
elsewhere: bytes between domains cost."""

CALL_TIMEOUT_SECONDS = 0.4
"""After which a peer is taken not to answer in this round."""

RECONNECT_SECONDS = 0.02
"""Before a call is tried on a new connection; the old one is being closed."""

CONTACT_SECONDS = 10.0
"""Within which an instance hears from most voters; it asks one of them a
round, and all of them when it has just started."""

ALIVE_SECONDS = 1.3
"""An instance that answered a question of this age counts as alive; two of
three rounds may be lost."""

LOST_ROUNDS = 4
"""Rounds without an answer after which a peer is told as lost."""


class Ask(msgspec.Struct, frozen=True, array_like=True):
    """Asks an instance what it knows.

    Attributes:
        suspects: Groups whose primary the asker can't reach.
        starting: Groups whose promotion the asker has begun, with the epoch.
        knowledge: What the asker knows already; without it, it learns the
            rest from somebody else.
    """

    suspected_groups: tuple[str, ...]
    promotions: tuple[tuple[str, int], ...]
    known_versions: KnownVersions | None


class GossipReply(msgspec.Struct, frozen=True, array_like=True):
    """What an instance knows.

    Attributes:
        members_version: The version at which it knows the instances.
        proof_age: The age in seconds of its proof that this is current.
        statements: What it says of each group.
        update: What the asker lacks.
    """

    members_version: int
    proof_age: float
    group_reports: tuple[GroupReport, ...]
    update: Update


class Gossip:
    """Asks other instances, round after round.

    The voters ask each other. Every other instance asks one voter a round,
    so that what this costs grows with the instances, not with their square.

    Attributes:
        words: The last answer of each instance, by name.
        suspected: When others last asked for a try of a group's primary.
        urgent: Groups for which rounds to all instances follow each other
            fast.
    """

    def __init__(
        self,
        fleet: Fleet,
        registry: Registry,
        tables: Tables,
        peers: PeerClient,
        handlers: Handlers,
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self._tables = tables
        self._peers = peers
        self._missed_rounds: dict[str, int] = {}
        self._wake = trio.Event()
        self._turns = itertools.count()
        self.replies: dict[str, GossipReply] = {}
        self.probe_requested_at: dict[str, float] = {}
        self.urgent_groups: set[str] = set()
        handlers.register(Ask, self._answer)

    async def run(self) -> None:
        """Runs rounds until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._run_rounds, self._round_targets, ROUND_PERIOD_SECONDS
            )
            nursery.start_soon(
                self._run_rounds, self._sweep_targets, SWEEP_PERIOD_SECONDS
            )

    def start_urgent_rounds(self, group: str) -> None:
        """Has rounds to all instances follow each other fast."""
        self.urgent_groups.add(group)
        self._wake.set()

    def stop_urgent_rounds(self, group: str) -> None:
        """Ends the hurry of a group."""
        self.urgent_groups.discard(group)

    def missed_rounds(self, name: str) -> int:
        """Rounds in a row that an instance has not answered."""
        return self._missed_rounds.get(name, 0)

    async def reaches(self, name: str) -> bool:
        """Whether an instance answers a call now.

        A connection that breaks says nothing of the instance: the call is
        tried again on a new one. Nobody who listens there does.
        """
        member = self._registry.members.get(name)
        if member is None:
            return False
        with trio.move_on_after(CALL_TIMEOUT_SECONDS):
            while True:
                try:
                    await self._peers.call(member.address, Ping(), type(None))
                except PeerLostError:
                    await trio.sleep(RECONNECT_SECONDS)
                except (LagoonstairError, PeerNotSentError) as exc:
                    log_event("check failed", peer=name, cause=str(exc))
                    return False
                else:
                    return True
        return False

    def peer_reports(self, group: str, within: float) -> dict[str, GroupReport]:
        """What others said of a group of late, by name."""
        now = trio.current_time()
        return {
            name: statement
            for name, word in self.replies.items()
            if now - self._tables.last_asked_at.get(name, 0.0) <= within
            for statement in word.group_reports
            if statement.group == group
        }

    def _round_targets(self) -> list[str]:
        """Whom to ask in each round."""
        if self.urgent_groups:
            return [*self._registry.members]
        voters = self._registry.voters()
        now = trio.current_time()
        known = self._fleet.primacy.has_majority(now, CONTACT_SECONDS)
        if self._fleet.name in voters or not known:
            return [*voters]
        near = [
            name
            for name in voters
            if self._registry.members[name].failure_domain
            == self._fleet.failure_domain
            and not self._missed_rounds.get(name)
        ]
        choice = [*near * SAME_DOMAIN_WEIGHT, *voters]
        return [choice[next(self._turns) % len(choice)]] if choice else []

    def _sweep_targets(self) -> list[str]:
        """Whom to ask once in a while, to see who is gone."""
        voters = self._registry.voters()
        alive = self._fleet.primacy.responsive_voters(
            trio.current_time(), SWEEP_PERIOD_SECONDS
        )
        if self._fleet.name != min(alive | {self._fleet.name}):
            return []
        return [name for name in self._registry.members if name not in voters]

    async def _run_rounds(
        self, whom: Callable[[], list[str]], period: float
    ) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                others = [name for name in whom() if name != self._fleet.name]
                teacher = self._choose_update_source(others)
                for name in others:
                    member = self._registry.members.get(name)
                    learns = self._tables.is_complete or name == teacher
                    if member is not None:
                        nursery.start_soon(
                            self._ask, name, member.address, learns
                        )
                pause = URGENT_PERIOD_SECONDS if self.urgent_groups else period
                with trio.move_on_after(pause):
                    self._wake = trio.Event()
                    await self._wake.wait()

    def _choose_update_source(self, others: Sequence[str]) -> str | None:
        """Who tells an instance that has just started what it lacks.

        The answers of all of them would fill its link, and all instances
        start at once after a power failure.
        """
        if not others:
            return None
        near = [
            name
            for name in others
            if self._registry.members[name].failure_domain
            == self._fleet.failure_domain
            and not self._missed_rounds.get(name)
        ]
        return random.choice(near or list(others))

    async def _ask(self, name: str, address: Address, learns: bool) -> None:
        asked_at = trio.current_time()
        word = None
        ask = Ask(
            self._suspects(),
            tuple(self._fleet.primacy.own_promotions().items()),
            self._tables.known_versions() if learns else None,
        )
        with trio.move_on_after(CALL_TIMEOUT_SECONDS):
            try:
                word = await self._peers.call(address, ask, GossipReply)
            except (LagoonstairError, PeerLostError, PeerNotSentError):
                # Counted below, like a peer that is silent.
                word = None
        if word is None:
            missed = self._missed_rounds.get(name, 0) + 1
            self._missed_rounds[name] = missed
            if missed == LOST_ROUNDS:
                log_event("instance lost", peer=name)
            return
        if self._missed_rounds.pop(name, 0) >= LOST_ROUNDS:
            log_event("instance regained", peer=name)
        self.replies[name] = word
        self._tables.apply_update(name, word.update, asked_at)
        self._fleet.primacy.note_report(
            name,
            asked_at,
            members_version=word.members_version,
            epochs=epochs_of(word.group_reports),
            proof_age=word.proof_age,
        )
        self._fleet.apply_group_reports(word.group_reports, asked_at)

    async def _answer(self, ask: Ask, ctx: PeerContext) -> GossipReply:
        now = trio.current_time()
        for group in ask.suspected_groups:
            self.probe_requested_at[group] = now
        primacy = self._fleet.primacy
        for group, epoch in ask.promotions:
            primacy.note_promotion(group, epoch)
        age = min(now - primacy.proved_at(now), 1e6)
        return GossipReply(
            members_version=primacy.members_version,
            proof_age=round(age, 4),
            group_reports=tuple(self._fleet.group_reports()),
            update=self._tables.update_for(ask.known_versions),
        )

    def _suspects(self) -> tuple[str, ...]:
        now = trio.current_time()
        records = self._fleet.primacy.records
        pools = self._fleet.pools
        return tuple(
            group
            for group, record in records.items()
            if record.primary in pools
            and pools[record.primary].unreachable_seconds(now) > 0
        )
