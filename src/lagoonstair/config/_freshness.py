"""Freshness proofs: how long an instance may serve its configuration.

A proof (version, time) states that no greater version had been accepted when
the proof was requested. An instance with at least that version in force may
serve it until ``bound`` seconds after the request.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from lagoonstair.config._electorates import is_majority
from lagoonstair.config._messages import VersionReport
from lagoonstair.config._model import MemberId

FRESHNESS_BOUND_SECONDS = 5.0
"""Seconds for which a proof is valid by default."""

CLOCK_DRIFT_FACTOR = 1.02
"""Factor applied to an age measured by another machine's clock."""


class FreshnessProof(NamedTuple):
    """Proof that no newer version had been accepted at a point in time.

    Attributes:
        version: The version; no greater one had been accepted.
        asked_at: When the proof was requested, in seconds of the local clock.
    """

    version: int
    asked_at: float


NO_PROOF = FreshnessProof(0, -math.inf)


def relayed_proof(
    report: VersionReport, asked_at: float
) -> FreshnessProof | None:
    """Returns a peer's own proof, dated back by its age.

    Args:
        report: The peer's report.
        asked_at: When the peer was asked, in seconds of the local clock.
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
    """Returns a proof if a majority of the joined members gives one.

    A member counts if it may vote and has no version greater than
    ``version`` in force.

    Args:
        members: The members of the local version.
        version: The local version when the last report arrived.
        reports: The reports, all requested at ``asked_at`` or later.
        asked_at: When the first report was requested, in seconds of the local
            clock.
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
        bound: Seconds for which a proof is valid.
    """

    proof: FreshnessProof = NO_PROOF
    pending_proof: FreshnessProof = NO_PROOF
    bound: float = FRESHNESS_BOUND_SECONDS

    def with_proof(self, proof: FreshnessProof, version: int) -> "Freshness":
        """Returns the proofs after one more, with ``version`` in force."""
        if proof.version <= version:
            return self._replace(proof=_later_proof(self.proof, proof))
        return self._replace(
            pending_proof=_later_proof(self.pending_proof, proof)
        )

    def with_version(self, version: int) -> "Freshness":
        """Returns the proofs after ``version`` has come into force.

        A pending proof of at most that version now covers it.
        """
        if self.pending_proof.version > version:
            return self
        proof = _later_proof(self.proof, self.pending_proof)
        return self._replace(proof=proof, pending_proof=NO_PROOF)

    def age(self, now: float) -> float:
        """Returns the seconds since the covering proof was requested."""
        return now - self.proof.asked_at

    def is_fresh(self, now: float) -> bool:
        """Returns whether the version in force may be served."""
        return self.age(now) < self.bound


def _later_proof(one: FreshnessProof, other: FreshnessProof) -> FreshnessProof:
    return max(one, other, key=lambda proof: proof.asked_at)
