"""Pure decisions on promotions that may still take effect.

A promotion is recorded in the store before the platform is called for it. An
accepted promotion without known effect is an open question: it may take effect
at any later time. It has no effect any more once one of these holds:

- an endpoint leads a newer term, and its own promotion was called later, with
  a higher or the same fencing token;
- the process that was to become primary has ended. Its entry is gone, or states
  another start.

No endpoint of the group is used as primary before an endpoint leads a newer
term and no other endpoint's promotion may still take effect. An endpoint that
leads a newer term while a later promotion of another one is pending may be
replaced at any moment.
"""

import itertools
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

import msgspec

from lagoonstair._types import Position
from lagoonstair.primacy._record import GroupRecord, PendingPromotion


def choose_target(
    received: Mapping[str, Position],
    *,
    previous: str = "",
    pending: Sequence[str] = (),
    leader: str | None = None,
) -> str | None:
    """Returns the endpoint to promote.

    Without pending promotions it is the endpoint with the longest log.
    Otherwise the endpoint that was called last comes first, since its own
    effect ends the doubt about all others. Next come endpoints that have not
    been called: their effect ends it as well, whereas an endpoint that was
    called before another one may lead because of its earlier promotion. Of
    these, the one with the latest first call leaves the fewest others open.

    While promotions are pending, the endpoint that may lead is not promoted:
    this would change nothing, so another pending promotion could replace it
    unnoticed later.

    Args:
        received: The end of the received log by name, of each endpoint that
            may be promoted.
        previous: The primary that is being replaced.
        pending: The endpoints whose promotion may still take effect, in the
            order of their calls.
        leader: The endpoint that leads a newer term than the previous primary;
            ``None`` if none is known to.

    Returns:
        The endpoint's name, or ``None`` without a candidate. A tie goes to the
        previous primary, which may still lead, then to the name that sorts
        first.
    """
    if not pending:
        return _longest_log(received, received.keys(), previous)
    last = pending[-1]
    if last in received and last != leader:
        return last
    names = received.keys() - {previous if leader is None else leader}
    uncalled = names - set(pending)
    if uncalled:
        return _longest_log(received, uncalled, previous)
    if leader is not None and len(names) < 2:
        # The two would replace each other again and again: either may lead
        # because of a call made before the other's last one.
        return None
    return max(names, key=pending.index, default=None)


def _longest_log(
    received: Mapping[str, Position], names: Iterable[str], preferred: str
) -> str | None:
    """Returns the name with the longest log; a tie goes to the preferred."""
    ordered = sorted(names, key=lambda name: (name != preferred, name))
    return max(ordered, key=lambda name: received[name], default=None)


def unresolved_promotions(
    record: GroupRecord, processes: Mapping[str, int]
) -> tuple[PendingPromotion, ...]:
    """Returns the pending promotions that may still take effect.

    Args:
        record: The record of a group.
        processes: The start time of each endpoint's present process, by name.
    """
    return tuple(
        promotion
        for promotion in record.pending
        if processes.get(promotion.endpoint) == promotion.started
    )


def record_call(
    record: GroupRecord,
    pending: Iterable[PendingPromotion],
    called: PendingPromotion,
    terms: Iterable[int],
) -> GroupRecord:
    """Returns the record to write before the platform is called.

    Args:
        record: The group's present record.
        pending: The promotions that may still take effect.
        called: The promotion that is about to be called.
        terms: The newest term that each endpoint knows. They complete a record
            that was written while the primary's term was unknown, unless a
            pending promotion may have begun a newer one.
    """
    pending = tuple(pending)
    return msgspec.structs.replace(
        record,
        epoch=record.epoch + 1,
        term=record.term if pending else max([record.term, *terms]),
        pending=_without_middle_calls((*pending, called)),
    )


def withdraw_call(
    record: GroupRecord, pending: Iterable[PendingPromotion]
) -> GroupRecord:
    """Returns the record to write after the platform has refused a call.

    Args:
        record: The group's present record, which lists the call.
        pending: The promotions that could take effect before the call.
    """
    return msgspec.structs.replace(
        record, epoch=record.epoch + 1, pending=tuple(pending)
    )


def _without_middle_calls(
    pending: Sequence[PendingPromotion],
) -> tuple[PendingPromotion, ...]:
    """Keeps the first and the last call of each endpoint.

    Only these matter: any of an endpoint's calls may be the one that made it
    primary, and any may be the one that has not taken effect. Calls without
    another endpoint's between them count as one.
    """
    first = {p: number for number, p in reversed([*enumerate(pending)])}
    last = {p: number for number, p in enumerate(pending)}
    kept = [
        promotion
        for number, promotion in enumerate(pending)
        if number in (first[promotion], last[promotion])
    ]
    return tuple(promotion for promotion, _ in itertools.groupby(kept))


class PromotionOutcome(NamedTuple):
    """What the observed terms say about a group's pending promotions.

    Attributes:
        leader: The endpoint that leads the newest term by a pending promotion;
            ``None`` if none is known to have taken effect.
        term: The term that it leads; 0 without one.
        pending: The promotions that may still take effect, in the order of
            their calls.
    """

    leader: str | None
    term: int
    pending: tuple[PendingPromotion, ...]

    @classmethod
    def from_terms(
        cls,
        record: GroupRecord,
        pending: Iterable[PendingPromotion],
        terms: Mapping[str, int],
    ) -> "PromotionOutcome":
        """Derives the outcome from the terms that the endpoints report.

        Which of several calls made the leader primary is unknown, so only the
        promotions called before its first one are known to have no effect any
        more.

        Args:
            record: The record of a group.
            pending: The promotions that may still take effect.
            terms: The term of each endpoint that regards itself as the
                primary.
        """
        pending = tuple(pending)
        leader = _newest_leader(record, pending, terms)
        if leader is None:
            return cls(None, 0, pending)
        later = itertools.dropwhile(lambda p: p.endpoint != leader, pending)
        return cls(leader, terms[leader], tuple(later))

    @property
    def is_final(self) -> bool:
        """Whether no pending promotion can replace the leader any more."""
        return self.leader is not None and all(
            promotion.endpoint == self.leader for promotion in self.pending
        )


def promoted_endpoint(
    record: GroupRecord,
    pending: Iterable[PendingPromotion],
    terms: Mapping[str, int],
) -> str | None:
    """Returns the endpoint that no pending promotion can replace any more.

    Args:
        record: The record of a group.
        pending: The promotions that may still take effect.
        terms: The term of each endpoint that regards itself as the primary.

    Returns:
        The endpoint's name, or ``None`` if no promotion is known to have taken
        effect or another endpoint's may still do so.
    """
    outcome = PromotionOutcome.from_terms(record, pending, terms)
    return outcome.leader if outcome.is_final else None


def _newest_leader(
    record: GroupRecord,
    pending: Iterable[PendingPromotion],
    terms: Mapping[str, int],
) -> str | None:
    """Returns the endpoint that a pending promotion has made primary last.

    An endpoint that led an older term may still regard itself as the primary,
    so only a newer term shows an effect. The previous primary keeps its term
    when it is promoted itself.
    """
    names = {promotion.endpoint for promotion in pending}
    least_term = record.term + (names != {record.primary})
    led = {name: terms.get(name, -1) for name in names}
    return max(
        (name for name in sorted(led) if led[name] >= least_term),
        key=led.__getitem__,
        default=None,
    )


def unrecorded_primary(
    record: GroupRecord, terms: Mapping[str, int]
) -> str | None:
    """Returns the endpoint that a promotion without a record has made primary.

    A restore of the store may have lost the record.

    Args:
        record: The record of a group, without pending promotions.
        terms: The term of each endpoint that regards itself as the primary.

    Returns:
        The name of the one with the newest term, or ``None`` if no term is
        newer than the recorded one.
    """
    leader = max(sorted(terms), key=terms.__getitem__, default=None)
    if leader is None or terms[leader] <= record.term:
        return None
    return leader


def confirmed_primary(
    record: GroupRecord, terms: Mapping[str, int]
) -> str | None:
    """Returns the endpoint that leads, whether it is recorded or not.

    Args:
        record: The record of a group, without pending promotions.
        terms: The term of each endpoint that regards itself as the primary.

    Returns:
        The name of the one with the newest term, or ``None`` if the newest is
        older than the recorded one or its leader is unknown.
    """
    leader = unrecorded_primary(record, terms)
    if leader is None and terms.get(record.primary, -1) >= record.term:
        return record.primary
    return leader
