"""Queries on a log's term history: which positions a log contains."""

from collections.abc import Sequence
from itertools import pairwise

from lagoonstair._types import EMPTY_LOG_POSITION, Position
from lagoonstair.ports import EndpointStatus, TermStart


def last_offset_of_term(
    term: int, history: Sequence[TermStart], last: Position
) -> int | None:
    """Returns the last offset of a term in a log.

    Args:
        term: The term.
        history: The first entry of each term in the log, oldest first.
        last: The last position of the log.

    Returns:
        The offset, or ``None`` if the log has no entry of the term.
    """
    if history and history[-1].term == term:
        return last.offset
    return next(
        (
            later.offset - 1
            for start, later in pairwise(history)
            if start.term == term
        ),
        None,
    )


def log_contains(status: EndpointStatus, position: Position) -> bool:
    """Returns whether a member's log contains the entry at a position."""
    if position == EMPTY_LOG_POSITION:
        return True
    end = last_offset_of_term(position.term, status.history, status.last)
    start = next(
        (s.offset for s in status.history if s.term == position.term), 0
    )
    return end is not None and start <= position.offset <= end


def is_discarded(status: EndpointStatus, position: Position) -> bool:
    """Returns whether a log continued without the entry at a position.

    A log whose last term is not later than that of the position proves
    nothing, as the member may only be lagging.
    """
    if status.last.term <= position.term:
        return False
    return not log_contains(status, position)


def truncate_to_log(status: EndpointStatus, position: Position) -> Position:
    """Returns the last position up to a given one that the log still has.

    Args:
        status: The report of a member.
        position: The position to truncate if the log discarded it.

    Returns:
        ``position`` itself unless it was discarded. Otherwise the greatest
        position that precedes it and is in the log.
    """
    if not is_discarded(status, position):
        return position
    kept = [s for s in status.history if s.term <= position.term]
    if not kept:
        return EMPTY_LOG_POSITION
    term = kept[-1].term
    end = last_offset_of_term(term, status.history, status.last) or 0
    if term == position.term:
        end = min(end, position.offset)
    return Position(term, end)
