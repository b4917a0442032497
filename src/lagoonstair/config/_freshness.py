"""Until when an instance may trust its configuration.

A proof of (version, time) says: when it was asked for, no version greater than
this one had been accepted. An instance in a version of at least that may serve
until ``bound`` seconds after the proof was asked for.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from lagoonstair.config._electorates import is_majority
from lagoonstair.config._messages import VersionReport
from lagoonstair.config._model import MemberId

FRESHNESS_BOUND_SECONDS = 5.0
"""Seconds for which a proof holds."""

CLOCK_DRIFT_FACTOR = 1.02
"""Factor on an age that another machine's clock measured."""


class FreshnessProof(NamedTuple):
    """A proof that no newer version had been accepted.

    Attributes:
        version: The version.
        asked_at: When the proof was asked for, in seconds of the own clock.
    """

    version: int
    asked_at: float


NO_PROOF = FreshnessProof(0, -math.inf)


def relayed_proof(
    report: VersionReport, asked_at: float
) -> FreshnessProof | None:
    """Returns a peer's own proof, made older by its age.

    Args:
        report: The peer's answer.
        asked_at: When the peer was asked, in seconds of the own clock.
    """
    if report.proof_age is None:
        return None
    age = report.proof_age * CLOCK_DRIFT_FACTOR
    return FreshnessProof(report.proof_version, asked_at - age)


def majority_proof(
    members: frozenset[MemberId],
    version: int,
    reports: Iterable[VersionReport],
    asked_at: float,
) -> FreshnessProof | None:
    """Returns the proof by a majority of the joined members, if they give it.

    Args:
        members: The members of the own version.
        version: The own version when the last word arrived.
        reports: The answers, all asked for at ``asked_at`` or later.
        asked_at: When the first was asked, in seconds of the own clock.
    """
    voters = {
        report.id
        for report in reports
        if report.votes and report.version <= version
    }
    if not is_majority(voters, members):
        return None
    return FreshnessProof(version, asked_at)


class Freshness(NamedTuple):
    """The latest proofs of one instance.

    Attributes:
        proof: The latest proof that covers the version in force.
        pending_proof: The latest proof of a version that is not yet in force.
        bound: Seconds for which a proof holds.
    """

    proof: FreshnessProof = NO_PROOF
    pending_proof: FreshnessProof = NO_PROOF
    bound: float = FRESHNESS_BOUND_SECONDS

    def with_proof(self, proof: FreshnessProof, version: int) -> "Freshness":
        """Takes a proof, with ``version`` in force."""
        if proof.version <= version:
            return self._replace(proof=_later_proof(self.proof, proof))
        return self._replace(
            pending_proof=_later_proof(self.pending_proof, proof)
        )

    def with_version(self, version: int) -> "Freshness":
        """Takes note that a version is in force."""
        if self.pending_proof.version > version:
            return self
        proof = _later_proof(self.proof, self.pending_proof)
        return self._replace(proof=proof, pending_proof=NO_PROOF)

    def age(self, now: float) -> float:
        """Seconds since the covering proof was asked for."""
        return now - self.proof.asked_at

    def is_fresh(self, now: float) -> bool:
        """Tells whether the version in force may be served."""
        return self.age(now) < self.bound


def _later_proof(one: FreshnessProof, other: FreshnessProof) -> FreshnessProof:
    return max(one, other, key=lambda proof: proof.asked_at)
