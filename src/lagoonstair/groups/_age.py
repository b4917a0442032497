"""Proves how fresh a position is, by one observer's clock."""

from collections import Counter
from collections.abc import Collection
from typing import NamedTuple

from lagoonstair._types import Position
from lagoonstair.ports import EndpointStatus, Role

MAX_PROOFS = 256


class FreshnessProof(NamedTuple):
    """All writes answered before ``asked_at`` are at or before ``position``.

    Attributes:
        position: What the primary of the term reported.
        asked_at: When the round was asked, in the observer's seconds.
    """

    position: Position
    asked_at: float


def derive_proof(
    asked_at: float, statuses: Collection[EndpointStatus], quorum: int
) -> FreshnessProof | None:
    """Derives a proof from the reports of one round.

    A majority in a term, asked after ``asked_at``, means that no later term
    had answered a write by then; the primary's position covers its own.

    Args:
        asked_at: When the round was asked, in the observer's seconds.
        statuses: The reports that answer this round, one from a member.
        quorum: How many members are a majority of the group.
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
    """The proofs that an observer keeps, newest last."""

    def __init__(self) -> None:
        self._proofs: list[FreshnessProof] = []

    def add(self, proof: FreshnessProof) -> None:
        """Adds a proof and drops those that it makes useless."""
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
        """The proofs, oldest first."""
        return tuple(self._proofs)


def fresh_as_of(
    proofs: Collection[FreshnessProof], position: Position
) -> float | None:
    """When a log that ends at a position was surely up to date.

    Args:
        proofs: The observer's proofs.
        position: The last position of a log that follows its term's primary.

    Returns:
        The observer's time in seconds, or ``None`` without a proof.
    """
    return max(
        (p.asked_at for p in proofs if p.position <= position), default=None
    )
