"""Pure decisions on promotions that may still take effect.

A promotion is recorded in the store before the platform is called for it. An
accepted promotion without known effect is an open question: it may take effect
at any later time. Until one of these observations ends the doubt, the previous
primary is not used again:

- an endpoint whose promotion was called leads a newer term. Promotions called
  before its own, with a lower or the same fencing token, have then no effect
  any more;
- the process that was to become primary has ended. Its entry is gone, or states
  another start.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from lagoonstair._types import Position
from lagoonstair.primacy._record import GroupRecord, PendingPromotion


def choose_target(
    received: Mapping[str, Position],
    *,
    previous: str = "",
    pending: Sequence[str] = (),
) -> str | None:
    """Returns the endpoint to promote.

    Without pending promotions it is the endpoint with the longest log. A
    pending promotion may take effect at any time, so its endpoint is promoted
    again; the last one called comes first. If none of them answers, another
    endpoint is promoted, but never the previous primary: promoting an endpoint
    that still leads changes nothing, so the pending promotion could replace it
    unnoticed later.

    Args:
        received: The end of the received log by name, of each endpoint that
            may be promoted.
        previous: The primary that is being replaced.
        pending: The endpoints whose promotion may still take effect, in the
            order of their calls.

    Returns:
        The endpoint's name, or ``None`` without a candidate. A tie goes to the
        previous primary, which may still lead, then to the name that sorts
        first.
    """
    for name in reversed(pending):
        if name in received:
            return name
    names = sorted(
        received.keys() - ({previous} if pending else set()),
        key=lambda name: (name != previous, name),
    )
    return max(names, key=lambda name: received[name], default=None)


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
    others = (p for p in pending if p.endpoint != called.endpoint)
    return msgspec.structs.replace(
        record,
        epoch=record.epoch + 1,
        term=record.term if pending else max([record.term, *terms]),
        pending=(*others, called),
    )


def promoted_endpoint(
    record: GroupRecord,
    pending: Iterable[PendingPromotion],
    terms: Mapping[str, int],
) -> str | None:
    """Returns the endpoint that a pending promotion has made primary.

    An endpoint that led an older term may still regard itself as the primary,
    so only a newer term shows an effect. The previous primary keeps its term
    when it is promoted itself.

    Args:
        record: The record of a group.
        pending: The promotions that may still take effect.
        terms: The term of each endpoint that regards itself as the primary.

    Returns:
        The name of the one with the newest term, or ``None`` if no promotion
        has taken effect.
    """
    names = [promotion.endpoint for promotion in pending]
    least_term = record.term + (names != [record.primary])
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
