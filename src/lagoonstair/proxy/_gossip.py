"""What instances tell each other between two reads of the store."""

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.peers import (
    PeerClient,
    PeerContext,
    PeerLostError,
    PeerNotSentError,
)
from lagoonstair.peers import Registry as Handlers
from lagoonstair.primacy import Statement
from lagoonstair.proxy._fleet import Fleet, epochs_of, jittered
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._registry import Registry

PERIOD_SECONDS = 0.5
"""Between two rounds: a quarter of the time for which a proof holds."""

URGENT_SECONDS = 0.05
"""Between two rounds while a promotion waits for the others' words."""

CALL_SECONDS = 0.4
"""After which a peer is taken not to answer in this round."""

SILENT_ROUNDS = 4
"""Rounds without an answer after which a peer is told as lost."""


class Ask(msgspec.Struct, frozen=True, array_like=True):
    """Asks an instance what it knows.

    Attributes:
        suspects: Groups whose primary the asker can't reach.
    """

    suspects: tuple[str, ...]


class Word(msgspec.Struct, frozen=True, array_like=True):
    """What an instance knows.

    Attributes:
        members_version: The version at which it knows the instances.
        config_version: The version of its configuration.
        store_read_age: Seconds since it read the store.
        statements: What it says of each group.
    """

    members_version: int
    config_version: int
    store_read_age: float
    statements: tuple[Statement, ...]


class Gossip:
    """Asks every other instance, round after round.

    Attributes:
        words: The last answer of each instance, by name.
        suspected: When others last asked for a try of a group's primary.
        urgent: Groups for which rounds follow each other fast.
    """

    def __init__(
        self,
        fleet: Fleet,
        registry: Registry,
        peers: PeerClient,
        handlers: Handlers,
        metrics: Metrics,
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self._peers = peers
        self._metrics = metrics
        self._missed: dict[str, int] = {}
        self._wake = trio.Event()
        self.words: dict[str, Word] = {}
        self.suspected: dict[str, float] = {}
        self.urgent: set[str] = set()
        handlers.add(Ask, self._answer)

    async def run(self) -> None:
        """Runs rounds until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for name, member in [*self._registry.members.items()]:
                    if name != self._fleet.name:
                        nursery.start_soon(self._ask, name, member.address)
                period = URGENT_SECONDS if self.urgent else PERIOD_SECONDS
                with trio.move_on_after(jittered(period)):
                    self._wake = trio.Event()
                    await self._wake.wait()

    def hurry(self, group: str) -> None:
        """Has rounds follow each other fast, from now on."""
        self.urgent.add(group)
        self._wake.set()

    def relax(self, group: str) -> None:
        """Ends the hurry of a group."""
        self.urgent.discard(group)

    def silent_for(self, name: str) -> int:
        """Rounds in a row that an instance has not answered."""
        return self._missed.get(name, 0)

    def statements_of(self, group: str, within: float) -> dict[str, Statement]:
        """What others said of a group of late, by name."""
        now = trio.current_time()
        heard = self._fleet.primacy.heard(now, within)
        return {
            name: statement
            for name in heard
            if name in self.words
            for statement in self.words[name].statements
            if statement.group == group
        }

    async def _ask(self, name: str, address: Address) -> None:
        asked_at = trio.current_time()
        word = None
        with trio.move_on_after(CALL_SECONDS):
            try:
                word = await self._peers.call(
                    address, Ask(self._suspects()), Word
                )
            except (LagoonstairError, PeerLostError, PeerNotSentError):
                # Counted below, like a peer that is silent.
                word = None
        if word is None:
            missed = self._missed.get(name, 0) + 1
            self._missed[name] = missed
            if missed == SILENT_ROUNDS:
                log_event("instance lost", peer=name)
            return
        if self._missed.pop(name, 0) >= SILENT_ROUNDS:
            log_event("instance regained", peer=name)
        self.words[name] = word
        self._fleet.primacy.note_word(
            name,
            asked_at,
            members_version=word.members_version,
            epochs=epochs_of(word.statements),
            store_read_age=word.store_read_age,
        )
        self._fleet.take_statements(word.statements, asked_at)

    async def _answer(self, ask: Ask, ctx: PeerContext) -> Word:
        now = trio.current_time()
        for group in ask.suspects:
            self.suspected[group] = now
        config = self._fleet.config
        primacy = self._fleet.primacy
        age = min(now - primacy.store_read_at, 1e6)
        return Word(
            members_version=primacy.members_version,
            config_version=0 if config is None else config.version,
            store_read_age=round(age, 4),
            statements=tuple(self._fleet.statements()),
        )

    def _suspects(self) -> tuple[str, ...]:
        now = trio.current_time()
        records = self._fleet.primacy.records
        pools = self._fleet.pools
        return tuple(
            group
            for group, record in records.items()
            if record.primary in pools
            and pools[record.primary].failing(now) > 0
        )
