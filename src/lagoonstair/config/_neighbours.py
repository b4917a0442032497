"""Calls to other instances: push, fetch and ask."""

from collections.abc import Iterable
from random import Random
from typing import Any, Protocol, TypeVar

import trio

from lagoonstair._types import Address
from lagoonstair.config._local import Local
from lagoonstair.config._messages import (
    ConfigAsk,
    ConfigFetch,
    ConfigPush,
    Delta,
    Word,
)
from lagoonstair.config._model import Member
from lagoonstair.config._timing import SyncTiming
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.peers import PeerLostError, PeerNotSentError

CALLS_AT_ONCE = 64
"""Calls to peers that run at the same time."""
PUSH_TRIES = 5
"""How often a push is tried; later the peer's own poll brings it."""
RELAYS = 2
"""How many peers are asked for their own proof."""

AnswerT = TypeVar("AnswerT")


class Caller(Protocol):
    """What is used of ``PeerClient``."""

    async def call(
        self, address: Address, message: Any, answer: type[AnswerT]
    ) -> AnswerT:
        """Calls a peer and returns its answer."""
        ...


class Neighbours:
    """The other instances, as this one reaches them."""

    def __init__(
        self,
        local: Local,
        caller: Caller,
        own: Address,
        seeds: Iterable[Address],
        timing: SyncTiming,
        rng: Random,
    ) -> None:
        self._local = local
        self._caller = caller
        self._own = own
        self._seeds = tuple(seeds)
        self._timing = timing
        self._rng = rng
        self._calls = trio.CapacityLimiter(CALLS_AT_ONCE)
        self._pushing: set[str] = set()

    def others(self) -> list[Member]:
        """Returns the joined members but this instance."""
        me = self._local.core.me.name
        members = self._local.core.history.configuration.members
        return [member for member in members.values() if member.name != me]

    def _addresses(self) -> list[Address]:
        joined = [member.peers for member in self.others()]
        known = dict.fromkeys([*joined, *self._seeds])
        return [address for address in known if address != self._own]

    async def _call(
        self, address: Address, message: Any, answer: type[AnswerT]
    ) -> AnswerT | None:
        """Returns a peer's answer, or ``None`` when there is none in time."""
        try:
            async with self._calls:
                with trio.fail_after(self._timing.call):
                    return await self._caller.call(address, message, answer)
        except (
            PeerLostError,
            PeerNotSentError,
            LagoonstairError,
            trio.TooSlowError,
        ):
            return None

    async def words(self) -> dict[str, Word]:
        """Asks every other member; returns the answers by name."""
        words: dict[str, Word] = {}

        async def ask(member: Member) -> None:
            word = await self._call(member.peers, ConfigAsk(), Word)
            if word is not None:
                self._local.hear(word)
                words[member.name] = word

        async with trio.open_nursery() as nursery:
            for member in self.others():
                nursery.start_soon(ask, member)
        return words

    async def ask_relays(self) -> None:
        """Asks a few peers for their own proofs."""
        addresses = self._addresses()
        count = min(RELAYS, len(addresses))
        async with trio.open_nursery() as nursery:
            for address in self._rng.sample(addresses, count):
                nursery.start_soon(self._ask_relay, address)

    async def _ask_relay(self, address: Address) -> None:
        asked_at = trio.current_time()
        word = await self._call(address, ConfigAsk(), Word)
        if word is None:
            return
        self._local.hear(word)
        await self._catch_up(address, word)
        self._local.prove_by_peer(word, asked_at)

    async def ask_majority(self) -> None:
        """Asks all peers until a majority of the members has answered."""
        asked_at = trio.current_time()
        words: list[Word] = []
        async with trio.open_nursery() as nursery:

            async def ask(address: Address) -> None:
                word = await self._call(address, ConfigAsk(), Word)
                if word is None:
                    return
                words.append(word)
                self._local.hear(word)
                await self._catch_up(address, word)
                if self._local.prove_by_majority(words, asked_at):
                    nursery.cancel_scope.cancel()

            for address in self._addresses():
                nursery.start_soon(ask, address)
        # An instance alone is a majority of itself.
        self._local.prove_by_majority(words, asked_at)

    async def _catch_up(self, address: Address, word: Word) -> None:
        version = self._local.core.version
        if word.version <= version:
            return
        delta = await self._call(address, ConfigFetch(version), Delta)
        if delta is not None:
            self._local.take(delta)

    async def push(self) -> None:
        """Brings every other member up to the version in force here."""
        async with trio.open_nursery() as nursery:
            for member in self.others():
                if member.name not in self._pushing:
                    nursery.start_soon(self._push_to, member)

    async def _push_to(self, member: Member) -> None:
        self._pushing.add(member.name)
        try:
            for attempt in range(PUSH_TRIES):
                if attempt:
                    await trio.sleep(self._delay(attempt))
                if await self._push_until_level(member):
                    return
        finally:
            self._pushing.discard(member.name)

    def _delay(self, attempt: int) -> float:
        longest = self._timing.retry * 2**attempt
        return self._rng.uniform(longest / 2, longest)

    async def _push_until_level(self, member: Member) -> bool:
        """Pushes until the member is level; false when it does not answer."""
        core = self._local.core
        after = core.heard(member.id) or core.version - 1
        while core.heard(member.id) < core.version:
            delta = core.delta_after(after)
            word = await self._call(member.peers, ConfigPush(delta), Word)
            if word is None:
                return False
            self._local.hear(word)
            if word.id != member.id:
                return True
            if word.version == after:
                return False
            after = word.version
        return True
