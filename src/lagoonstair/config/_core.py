"""The decisions of one instance, without I/O, clock or randomness."""

import math
from collections import deque
from collections.abc import Iterable
from itertools import chain, dropwhile
from typing import NamedTuple

from lagoonstair.config._electorates import may_accept, prune
from lagoonstair.config._freshness import (
    FRESHNESS_BOUND,
    Freshness,
    Proof,
    majority_proof,
    relayed_proof,
)
from lagoonstair.config._log import Entry, History
from lagoonstair.config._messages import Delta, Word
from lagoonstair.config._model import MemberId
from lagoonstair.config._state import Configuration

KEPT_ENTRIES = 256
"""How many of the latest entries are kept for peers that lag."""

PAUSE_SECONDS = 2.5
"""Seconds without a tick after which an instance was paused."""


class Advance(NamedTuple):
    """A step to newer versions.

    Attributes:
        old: The configuration before.
        new: The configuration now in force.
    """

    old: Configuration
    new: Configuration

    @property
    def withdrawn(self) -> frozenset[str]:
        """The ids of the keys that are live no more."""
        return frozenset(self.old.keys) - frozenset(self.new.keys)


class Core:
    """What one instance knows and decides.

    Attributes:
        me: The instance's name and incarnation.
        history: The state in force.
        freshness: The latest proofs.
        accepted: The greatest version known as accepted.
        leaving: Whether the instance may no longer be counted.
    """

    def __init__(
        self, me: MemberId, *, bound: float = FRESHNESS_BOUND, now: float
    ) -> None:
        self.me = me
        self.history = History()
        self.freshness = Freshness(bound=bound)
        self.accepted = 0
        self.leaving = False
        self._entries: deque[Entry] = deque(maxlen=KEPT_ENTRIES)
        self._heard: dict[MemberId, int] = {}
        self._ticked_at = now
        self._woken_at = -math.inf

    @property
    def version(self) -> int:
        """The version in force."""
        return self.history.version

    @property
    def joined(self) -> bool:
        """Whether this run is a member."""
        return self.me in self.history.members

    def renew(self, incarnation: str) -> None:
        """Takes another incarnation, after this one was removed."""
        self.me = self.me._replace(incarnation=incarnation)

    def tick(self, now: float) -> None:
        """Takes note that the instance runs; needed once a second.

        An instance that was paused may have been replaced meanwhile, so it is
        not counted in a majority until it has a proof asked for since.
        """
        if now - self._ticked_at > PAUSE_SECONDS:
            self._woken_at = now
        self._ticked_at = now

    def fresh(self, now: float) -> bool:
        """Tells whether the version in force may be served."""
        return self.freshness.holds(now)

    def learn(self, entries: Iterable[Entry]) -> None:
        """Puts committed entries in force; older ones and gaps are left out."""
        for entry in entries:
            if entry.version == self.version + 1:
                self.history = self.history.append(entry)
                self._entries.append(entry)
                self._advanced()

    def load(self, history: History) -> None:
        """Puts a committed state in force, unless it is older."""
        if history.version > self.version:
            self.history = history
            self._entries.clear()
            self._advanced()

    def _advanced(self) -> None:
        self.accepted = max(self.accepted, self.history.accepted)
        self.freshness = self.freshness.advance(self.version)
        self._forget()

    def _forget(self) -> None:
        known = chain.from_iterable(
            electorate.members for electorate in self.history.electorates
        )
        heard = self._heard
        self._heard = {id_: heard[id_] for id_ in known if id_ in heard}

    def delta_after(self, version: int) -> Delta:
        """Returns what brings an instance of a version up to this one."""
        if version >= self.version:
            return Delta(accepted=self.accepted)
        entries = tuple(
            dropwhile(lambda entry: entry.version <= version, self._entries)
        )
        if entries and entries[0].version == version + 1:
            written = tuple(entry.to_bytes() for entry in entries)
            return Delta(accepted=self.accepted, entries=written)
        snapshot = self.history.to_snapshot()
        return Delta(accepted=self.accepted, snapshot=snapshot)

    def take(self, delta: Delta) -> None:
        """Puts what a peer sent in force."""
        if delta.snapshot is not None:
            self.load(History.from_snapshot(delta.snapshot))
        self.learn(map(Entry.from_bytes, delta.entries))
        self.note_accepted(delta.accepted)

    def note_accepted(self, version: int) -> None:
        """Notes that a version was accepted, if it is in force here."""
        self.accepted = max(self.accepted, min(version, self.version))

    def word(self, now: float) -> Word:
        """Returns what this instance says of itself."""
        proof = self.freshness.proof
        fresh = self.fresh(now)
        return Word(
            name=self.me.name,
            incarnation=self.me.incarnation,
            version=self.version,
            accepted=self.accepted,
            votes=self._votes(now),
            proof_version=proof.version if fresh else 0,
            proof_age=self.freshness.age(now) if fresh else None,
        )

    def _votes(self, now: float) -> bool:
        ticking = now - self._ticked_at <= PAUSE_SECONDS
        proved = self.freshness.proof.asked_at >= self._woken_at
        return self.joined and ticking and proved and not self.leaving

    def hear(self, word: Word) -> None:
        """Takes note of a peer's version, and accepts what that allows."""
        known = self._heard.get(word.id, 0)
        self._heard[word.id] = max(known, word.version)
        self.accepted = max(self.accepted, min(word.accepted, self.version))
        self._accept()

    def _accept(self) -> None:
        if self.accepted == self.version:
            return
        candidates = {self.version, *self._heard.values()}
        self.accepted = max(
            (
                version
                for version in candidates
                if version <= self.version and self.in_force(version)
            ),
            default=self.accepted,
        )

    def heard(self, member: MemberId) -> int:
        """Returns the greatest version that a member told; 0 if none."""
        return self._heard.get(member, 0)

    def in_force(self, version: int) -> bool:
        """Tells whether a version is accepted, as far as is known here."""
        if version <= self.accepted:
            return True
        if version > self.version:
            return False
        done = self._confirmed(version) | self.history.stopped
        electorates = prune(self.history.electorates, self.accepted)
        return may_accept(electorates, version, done)

    def pending(self, version: int) -> tuple[str, ...]:
        """Names the members not known to have a version in force."""
        confirmed = self._confirmed(version)
        waited = self.history.members - confirmed
        return tuple(sorted(member.name for member in waited))

    def _confirmed(self, version: int) -> frozenset[MemberId]:
        heard = {
            member for member, known in self._heard.items() if known >= version
        }
        return frozenset(
            heard | {self.me} if self.version >= version else heard
        )

    def prove_by_store(self, head: int, asked_at: float) -> None:
        """Takes the head's version, read from the store."""
        self._prove(Proof(head, asked_at))

    def prove_by_peer(self, word: Word, asked_at: float) -> None:
        """Takes a peer's own proof, if it brings one."""
        proof = relayed_proof(word, asked_at)
        if proof is not None:
            self._prove(proof)

    def prove_by_majority(
        self, words: Iterable[Word], asked_at: float, now: float
    ) -> bool:
        """Takes the words of peers, and tells whether they are a proof."""
        proof = majority_proof(
            self.history.members,
            self.version,
            [self.word(now), *words],
            asked_at,
        )
        if proof is not None:
            self._prove(proof)
        return proof is not None

    def _prove(self, proof: Proof) -> None:
        self.freshness = self.freshness.prove(proof, self.version)
