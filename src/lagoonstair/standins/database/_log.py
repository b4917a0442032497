"""The replicated log of a group and the comparison of two copies."""

import itertools
from typing import NamedTuple

import msgspec

from lagoonstair._types import EMPTY_LOG_POSITION, Position
from lagoonstair.ports import Result, Statement, TermStart


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """A log entry: a committed transaction, or the start of a term.

    Attributes:
        term: The term in which the entry was written.
        offset: The entry's number in the log, counted from 1.
        workspace: The workspace whose request wrote it.
        request_id: The request id recorded with it, if any.
        digest: The digest of the request, recorded with the id.
        statements: The statements to run when the entry is applied.
        results: The results of the statements on the primary.
    """

    term: int
    offset: int
    workspace: str = ""
    request_id: str | None = None
    digest: str = ""
    statements: tuple[Statement, ...] = ()
    results: tuple[Result, ...] = ()

    @property
    def position(self) -> Position:
        """The entry's position in the log."""
        return Position(self.term, self.offset)


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """A range of a member's log, with what is needed to compare the log.

    Attributes:
        name: The member's name.
        term: The member's term.
        history: The start of each term in the member's whole log.
        last: The position of the last entry in the member's whole log.
        entries: The entries after the requested offset.
    """

    name: str
    term: int
    history: tuple[TermStart, ...]
    last: Position
    entries: tuple[Entry, ...]


class RequestKey(NamedTuple):
    """Identifies a request; request ids are unique in a workspace only."""

    workspace: str
    request_id: str


class Log:
    """One member's copy of the log, indexed by request id.

    Attributes:
        entries: The entries in the order of their offsets.
    """

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self._requests: dict[RequestKey, Entry] = {}

    @property
    def last(self) -> Position:
        """The position of the last entry."""
        return self.entries[-1].position if self.entries else EMPTY_LOG_POSITION

    @property
    def history(self) -> tuple[TermStart, ...]:
        """The start of each term, oldest first."""
        runs = itertools.groupby(self.entries, key=lambda e: e.term)
        return tuple(TermStart(term, next(run).offset) for term, run in runs)

    def append(self, entry: Entry) -> None:
        """Appends an entry and indexes its request id."""
        self.entries.append(entry)
        if entry.request_id is not None:
            key = RequestKey(entry.workspace, entry.request_id)
            self._requests[key] = entry

    def find(self, workspace: str, request_id: str | None) -> Entry | None:
        """Returns the entry with a request id; ``None`` if there is none."""
        if request_id is None:
            return None
        return self._requests.get(RequestKey(workspace, request_id))

    def prefix(self, offset: int) -> list[Entry]:
        """Returns the entries up to and including an offset."""
        return self.entries[:offset]


def common_offset(
    history: tuple[TermStart, ...],
    last: Position,
    other: tuple[TermStart, ...],
    other_last: Position,
) -> int:
    """Returns the offset of the last entry that two logs have in common.

    All entries of a term are written by one primary, so two logs that contain
    the same term agree up to the end of that term in the shorter of them.

    Args:
        history: The start of each term in the first log.
        last: The position of the first log's last entry.
        other: The start of each term in the second log.
        other_last: The position of the second log's last entry.

    Returns:
        The offset, 0 if the logs have no entry in common.
    """
    ends = _term_ends(history, last)
    other_ends = _term_ends(other, other_last)
    shared = ends.keys() & other_ends.keys()
    return max((min(ends[t], other_ends[t]) for t in shared), default=0)


def _term_ends(
    history: tuple[TermStart, ...], last: Position
) -> dict[TermStart, int]:
    ends = [start.offset - 1 for start in history[1:]]
    return dict(zip(history, [*ends, last.offset], strict=False))
