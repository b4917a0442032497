"""Proofs of data freshness, measured on the clock of a single watcher."""

from collections import Counter
from collections.abc import Collection
from typing import NamedTuple

from lagoonstair._types import Position
from lagoonstair.ports import EndpointStatus, Role

MAX_PROOFS = 256
"""Number of proofs that are kept; the oldest are dropped first."""


class FreshnessProof(NamedTuple):
    """States that ``position`` covers every write answered by ``asked_at``.

    Attributes:
        position: The last position that the primary of the term reported.
        asked_at: The time at which the status requests of the round were
            sent, in seconds of the watcher's clock.
    """

    position: Position
    asked_at: float


def derive_proof(
    asked_at: float, statuses: Collection[EndpointStatus], quorum: int
) -> FreshnessProof | None:
    """Derives a freshness proof from the status reports of one round.

    If a majority reports a term in answer to requests sent at ``asked_at``,
    no later term had answered a write by then. The position of the term's
    primary covers the writes of its own term.

    Args:
        asked_at: The time at which the requests were sent, in seconds of the
            watcher's clock.
        statuses: The reports received in this round, at most one per member.
        quorum: The number of members that form a majority of the group.

    Returns:
        The proof, or ``None`` if no majority reports the same term or the
        primary of that term is not among the reports.
    """
    counts = Counter(s.term for s in statuses)
    term = next((t for t, count in counts.items() if count >= quorum), None)
    if term is None:
        return None
    return next(
        (
            FreshnessProof(s.last, asked_at)
            for s in statuses
            if s.role is Role.PRIMARY and s.term == term == s.last.term
        ),
        None,
    )


class FreshnessProofs:
    """The freshness proofs of one watcher, sorted by time, newest last."""

    def __init__(self) -> None:
        self._proofs: list[FreshnessProof] = []

    def add(self, proof: FreshnessProof) -> None:
        """Adds a proof and drops the proofs that it supersedes.

        A proof supersedes another if it is at least as recent and its
        position is not greater.

        Args:
            proof: The proof; ignored if a kept proof supersedes it.
        """
        if any(
            p.asked_at >= proof.asked_at and p.position <= proof.position
            for p in self._proofs
        ):
            return
        kept = [
            p
            for p in self._proofs
            if p.asked_at > proof.asked_at or p.position < proof.position
        ]
        kept.append(proof)
        kept.sort(key=lambda p: p.asked_at)
        self._proofs = kept[-MAX_PROOFS:]

    def snapshot(self) -> tuple[FreshnessProof, ...]:
        """Returns the proofs, oldest first."""
        return tuple(self._proofs)


def fresh_as_of(
    proofs: Collection[FreshnessProof], position: Position
) -> float | None:
    """Returns the latest time at which a log was provably up to date.

    Args:
        proofs: The proofs of one watcher.
        position: The last position of a log that replicates its term's
            primary.

    Returns:
        The time in seconds of the watcher's clock, or ``None`` if no proof
        applies.
    """
    return max(
        (p.asked_at for p in proofs if p.position <= position), default=None
    )
