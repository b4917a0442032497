"""Until when an instance may trust its configuration.

A proof of (version, time) says: when it was asked for, no version greater than
this one had been accepted. An instance in a version of at least that may serve
until ``bound`` seconds after the proof was asked for.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from lagoonstair.config._electorates import is_majority
from lagoonstair.config._messages import Word
from lagoonstair.config._model import MemberId

FRESHNESS_BOUND = 5.0
"""Seconds for which a proof holds."""

CLOCK_MARGIN = 1.02
"""Factor on an age that another machine's clock measured."""


class Proof(NamedTuple):
    """A proof that no newer version had been accepted.

    Attributes:
        version: The version.
        asked_at: When the proof was asked for, in seconds of the own clock.
    """

    version: int
    asked_at: float


NO_PROOF = Proof(0, -math.inf)


def relayed_proof(word: Word, asked_at: float) -> Proof | None:
    """Returns a peer's own proof, made older by its age.

    Args:
        word: The peer's answer.
        asked_at: When the peer was asked, in seconds of the own clock.
    """
    if word.proof_age is None:
        return None
    age = word.proof_age * CLOCK_MARGIN
    return Proof(word.proof_version, asked_at - age)


def majority_proof(
    members: frozenset[MemberId],
    version: int,
    words: Iterable[Word],
    asked_at: float,
) -> Proof | None:
    """Returns the proof by a majority of the joined members, if they give it.

    Args:
        members: The members of the own version.
        version: The own version when the last word arrived.
        words: The answers, all asked for at ``asked_at`` or later.
        asked_at: When the first was asked, in seconds of the own clock.
    """
    voters = {
        word.id for word in words if word.votes and word.version <= version
    }
    if not is_majority(voters, members):
        return None
    return Proof(version, asked_at)


class Freshness(NamedTuple):
    """The latest proofs of one instance.

    Attributes:
        proof: The latest proof that covers the version in force.
        ahead: The latest proof of a version that is not yet in force.
        bound: Seconds for which a proof holds.
    """

    proof: Proof = NO_PROOF
    ahead: Proof = NO_PROOF
    bound: float = FRESHNESS_BOUND

    def prove(self, proof: Proof, version: int) -> "Freshness":
        """Takes a proof, with ``version`` in force."""
        if proof.version <= version:
            return self._replace(proof=_later(self.proof, proof))
        return self._replace(ahead=_later(self.ahead, proof))

    def advance(self, version: int) -> "Freshness":
        """Takes note that a version is in force."""
        if self.ahead.version > version:
            return self
        proof = _later(self.proof, self.ahead)
        return self._replace(proof=proof, ahead=NO_PROOF)

    def age(self, now: float) -> float:
        """Seconds since the covering proof was asked for."""
        return now - self.proof.asked_at

    def holds(self, now: float) -> bool:
        """Tells whether the version in force may be served."""
        return self.age(now) < self.bound


def _later(one: Proof, other: Proof) -> Proof:
    return max(one, other, key=lambda proof: proof.asked_at)
