"""An in-memory member of a database group, for measurements and tests.

It behaves as the port ``Endpoint`` requires: a member grants a term to one
candidate only and refuses lower terms, each promotion writes an entry, and a
replica drops the entries at the end of its log that its primary lacks.
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
    """One entry of a member's log.

    Attributes:
        term: The term in which the entry was written.
        payload: The data of a write; empty for the entry of a promotion.
    """

    term: int
    payload: str


class Member:
    """The state of one database, without a network.

    Attributes:
        name: The member's name.
        term: The greatest term that the member has accepted.
        role: The member's role in the term.
        primary: The name of the primary that the member follows, or of the
            member itself; empty while the primary is unknown.
        log: The entries of the log; the first has offset 1.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.term = 0
        self.role = Role.REPLICA
        self.primary = ""
        self.log: list[Entry] = []
        self._candidate = ""
        self._history: list[TermStart] = []
        self._log_agrees = False

    @property
    def last(self) -> Position:
        """The position of the last entry of the log."""
        if not self.log:
            return EMPTY_LOG_POSITION
        return Position(self.log[-1].term, len(self.log))

    def status(self) -> EndpointStatus:
        """Returns the member's state."""
        return EndpointStatus(
            name=self.name,
            role=self.role,
            term=self.term,
            last=self.last,
            history=tuple(self._history),
            primary=self.primary,
        )

    def fence(self, term: int, candidate: str) -> FenceAnswer:
        """Grants a term to the first candidate that asks for it.

        Args:
            term: The term that the candidate asks for.
            candidate: The name of the candidate.

        Returns:
            Whether the term was granted, with the member's state.
        """
        if term > self.term:
            self._accept_term(term)
            self._candidate = candidate
        granted = term == self.term and candidate == self._candidate
        return FenceAnswer(granted=granted, status=self.status())

    def promote(self, term: int, candidate: str) -> EndpointStatus:
        """Makes the member the primary of a term that it has granted.

        Args:
            term: The granted term.
            candidate: The candidate that the term was granted to.

        Returns:
            The member's state.

        Raises:
            EndpointRefusedError: The term is not the member's, or was
                granted to another candidate.
        """
        if term != self.term or candidate != self._candidate:
            raise self._refuse(EndpointRefusal.STALE_TERM)
        if self.role is not Role.PRIMARY:
            self.role = Role.PRIMARY
            self.primary = self.name
            self.append([Entry(term, "")])
        return self.status()

    def follow(self, term: int, primary: str) -> EndpointStatus:
        """Makes the member a replica of a term's primary.

        Args:
            term: The term.
            primary: The name of the term's primary.

        Returns:
            The member's state.

        Raises:
            EndpointRefusedError: The term is lower than the member's, or the
                member itself is the primary of the term.
        """
        if term < self.term:
            raise self._refuse(EndpointRefusal.STALE_TERM)
        if self.role is Role.PRIMARY and term == self.term:
            raise self._refuse(EndpointRefusal.BAD_REQUEST)
        if term > self.term:
            self._accept_term(term)
        if primary != self.primary:
            self._log_agrees = False
        self.primary = primary
        return self.status()

    def replicate(self, primary: "Member", count: int) -> None:
        """Copies entries from the primary, once the logs agree.

        Entries that the primary lacks are dropped first. Nothing is done
        unless the member follows this primary in the same term.

        Args:
            primary: The member to copy from.
            count: The greatest number of entries to copy.
        """
        if primary.role is not Role.PRIMARY or primary.term != self.term:
            return
        if self.primary != primary.name or primary is self:
            return
        if not self._log_agrees:
            kept = self.log[: self._find_common_length(primary)]
            self.log, self._history = [], []
            self.append(kept)
            self._log_agrees = True
        start = len(self.log)
        self.append(primary.log[start : start + count])

    def commit(self, term: int, payload: str) -> Position:
        """Writes an entry as the primary of a term.

        Args:
            term: The term in which the caller expects the member.
            payload: The data to write.

        Returns:
            The position of the entry.

        Raises:
            EndpointRefusedError: The member is in another term, or is not
                the primary.
        """
        if term != self.term:
            raise self._refuse(EndpointRefusal.STALE_TERM)
        if self.role is not Role.PRIMARY:
            raise self._refuse(EndpointRefusal.NOT_PRIMARY)
        self.append([Entry(term, payload)])
        return self.last

    def read(self, term: int) -> list[str]:
        """Returns the payloads of all entries.

        Args:
            term: The term in which the caller expects the member.

        Raises:
            EndpointRefusedError: The member is in another term.
        """
        if term != self.term:
            raise self._refuse(EndpointRefusal.STALE_TERM)
        return [entry.payload for entry in self.log]

    def append(self, entries: Iterable[Entry]) -> None:
        """Appends entries to the log and records where a term starts."""
        for entry in entries:
            self.log.append(entry)
            if not self._history or self._history[-1].term != entry.term:
                self._history.append(TermStart(entry.term, len(self.log)))

    def _accept_term(self, term: int) -> None:
        self.term = term
        self.role = Role.REPLICA
        self.primary = ""
        self._candidate = ""
        self._log_agrees = False

    def _find_common_length(self, primary: "Member") -> int:
        """Returns how many entries from the start have equal terms."""
        pairs = enumerate(zip(self.log, primary.log, strict=False))
        shorter = min(len(self.log), len(primary.log))
        return next((i for i, (a, b) in pairs if a.term != b.term), shorter)

    def _refuse(self, refusal: EndpointRefusal) -> EndpointRefusedError:
        return EndpointRefusedError(refusal, self.name, term=self.term)
