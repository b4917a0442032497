"""Whether a position survives in a log's term history."""

from collections.abc import Sequence
from itertools import pairwise

from lagoonstair._types import EMPTY_LOG_POSITION, Position
from lagoonstair.ports import EndpointStatus, TermStart


def last_offset_of_term(
    term: int, history: Sequence[TermStart], last: Position
) -> int | None:
    """Finds the last offset of a term in a log.

    Args:
        term: The term.
        history: The start of each term in the log, oldest first.
        last: The last position of the log.

    Returns:
        The offset, or ``None`` when the log has no entry of the term.
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
    """Whether a member's log holds the entry at a position."""
    if position == EMPTY_LOG_POSITION:
        return True
    end = last_offset_of_term(position.term, status.history, status.last)
    start = next(
        (s.offset for s in status.history if s.term == position.term), 0
    )
    return end is not None and start <= position.offset <= end


def is_discarded(status: EndpointStatus, position: Position) -> bool:
    """Whether a log went on without a position.

    A log whose last term is older says nothing: it may only be behind.
    """
    if status.last.term <= position.term:
        return False
    return not log_contains(status, position)


def truncate_to_log(status: EndpointStatus, position: Position) -> Position:
    """Moves a lost position back to the end of what its log kept of it.

    The result is at most ``position``, and is in the log.
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
