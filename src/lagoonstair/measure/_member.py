"""An in-memory member of a database group, for measurements and tests.

It keeps the assumptions that the port makes of an endpoint: one candidate a
term, lower terms refused, an entry written by each promotion, and the tail
that a primary lacks dropped by whoever follows it.
"""

from collections.abc import Iterable
from typing import NamedTuple

from lagoonstair._types import EMPTY_LOG_POSITION, Position
from lagoonstair.ports import (
    EndpointRefusal,
    EndpointRefusedError,
    EndpointStatus,
    FenceAnswer,
    Role,
    TermStart,
)


class Entry(NamedTuple):
    """One entry of a log.

    Attributes:
        term: The term in which it was written.
        payload: What was written; empty for the entry of a promotion.
    """

    term: int
    payload: str


class Member:
    """One database, without a network.

    Attributes:
        name: Its name.
        term: The greatest term it has accepted.
        role: Its role in the term.
        primary: Whom it follows, or itself.
        log: Its entries; the first has offset 1.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.term = 0
        self.role = Role.REPLICA
        self.primary = ""
        self.log: list[Entry] = []
        self._candidate = ""
        self._history: list[TermStart] = []
        self._follows_primary_log = False

    @property
    def last(self) -> Position:
        """The position of the last entry."""
        if not self.log:
            return EMPTY_LOG_POSITION
        return Position(self.log[-1].term, len(self.log))

    def status(self) -> EndpointStatus:
        """Reports the member's state."""
        return EndpointStatus(
            name=self.name,
            role=self.role,
            term=self.term,
            last=self.last,
            history=tuple(self._history),
            primary=self.primary,
        )

    def fence(self, term: int, candidate: str) -> FenceAnswer:
        """Grants a term to one candidate only."""
        if term > self.term:
            self._accept_term(term)
            self._candidate = candidate
        granted = term == self.term and candidate == self._candidate
        return FenceAnswer(granted=granted, status=self.status())

    def promote(self, term: int, candidate: str) -> EndpointStatus:
        """Becomes the primary of a term that was granted."""
        if term != self.term or candidate != self._candidate:
            raise self._refuse(EndpointRefusal.STALE_TERM)
        if self.role is not Role.PRIMARY:
            self.role = Role.PRIMARY
            self.primary = self.name
            self.append([Entry(term, "")])
        return self.status()

    def follow(self, term: int, primary: str) -> EndpointStatus:
        """Follows the primary of a term."""
        if term < self.term:
            raise self._refuse(EndpointRefusal.STALE_TERM)
        if self.role is Role.PRIMARY and term == self.term:
            raise self._refuse(EndpointRefusal.BAD_REQUEST)
        if term > self.term:
            self._accept_term(term)
        if primary != self.primary:
            self._follows_primary_log = False
        self.primary = primary
        return self.status()

    def replicate(self, primary: "Member", count: int) -> None:
        """Drops what its primary lacks, then copies entries from it."""
        if primary.role is not Role.PRIMARY or primary.term != self.term:
            return
        if self.primary != primary.name or primary is self:
            return
        if not self._follows_primary_log:
            kept = self.log[: self._find_common_length(primary)]
            self.log, self._history = [], []
            self.append(kept)
            self._follows_primary_log = True
        start = len(self.log)
        self.append(primary.log[start : start + count])

    def commit(self, term: int, payload: str) -> Position:
        """Writes an entry as the primary of a term."""
        if term != self.term:
            raise self._refuse(EndpointRefusal.STALE_TERM)
        if self.role is not Role.PRIMARY:
            raise self._refuse(EndpointRefusal.NOT_PRIMARY)
        self.append([Entry(term, payload)])
        return self.last

    def read(self, term: int) -> list[str]:
        """Reads every payload, if the member is in the term."""
        if term != self.term:
            raise self._refuse(EndpointRefusal.STALE_TERM)
        return [entry.payload for entry in self.log]

    def append(self, entries: Iterable[Entry]) -> None:
        """Adds entries to the log."""
        for entry in entries:
            self.log.append(entry)
            if not self._history or self._history[-1].term != entry.term:
                self._history.append(TermStart(entry.term, len(self.log)))

    def _accept_term(self, term: int) -> None:
        self.term = term
        self.role = Role.REPLICA
        self.primary = ""
        self._candidate = ""
        self._follows_primary_log = False

    def _find_common_length(self, primary: "Member") -> int:
        pairs = enumerate(zip(self.log, primary.log, strict=False))
        shorter = min(len(self.log), len(primary.log))
        return next((i for i, (a, b) in pairs if a.term != b.term), shorter)

    def _refuse(self, refusal: EndpointRefusal) -> EndpointRefusedError:
        return EndpointRefusedError(refusal, self.name, term=self.term)
