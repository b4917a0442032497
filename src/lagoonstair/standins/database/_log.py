"""The log of a group and how two copies of it compare."""

import itertools
from typing import NamedTuple

import msgspec

from lagoonstair._types import EMPTY_LOG_POSITION, Position
from lagoonstair.ports import Result, Statement, TermStart


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """One entry: a committed transaction, or the start of a term.

    Attributes:
        term: The term in which it was written.
        offset: Its number, counted from 1.
        workspace: On whose behalf it was written.
        request_id: The id recorded with it.
        digest: The digest recorded with the id.
        statements: What it runs.
        results: What its statements returned when it was written.
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
        """The entry's place in the log."""
        return Position(self.term, self.offset)


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a member's log.

    Attributes:
        name: The member.
        term: Its term.
        history: The start of each term in its log.
        last: The position of its last entry.
        entries: The entries after the one that was asked for.
    """

    name: str
    term: int
    history: tuple[TermStart, ...]
    last: Position
    entries: tuple[Entry, ...]


class RequestKey(NamedTuple):
    """Names a request of a workspace."""

    workspace: str
    request_id: str


class Log:
    """The entries of one member, with an index of the request ids."""

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
        groups = itertools.groupby(self.entries, key=lambda e: e.term)
        return tuple(
            TermStart(term, next(group).offset) for term, group in groups
        )

    def append(self, entry: Entry) -> None:
        """Adds the next entry."""
        self.entries.append(entry)
        if entry.request_id is not None:
            key = RequestKey(entry.workspace, entry.request_id)
            self._requests[key] = entry

    def find(self, workspace: str, request_id: str | None) -> Entry | None:
        """Returns the entry that recorded a request id."""
        if request_id is None:
            return None
        return self._requests.get(RequestKey(workspace, request_id))

    def prefix(self, offset: int) -> list[Entry]:
        """Returns the entries up to an offset."""
        return self.entries[:offset]


def common_offset(
    history: tuple[TermStart, ...],
    last: Position,
    other: tuple[TermStart, ...],
    other_last: Position,
) -> int:
    """Returns the offset of the last entry that two logs share.

    Entries of one term come from one primary, so two logs that hold the same
    term agree up to the end of it in the shorter.
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
