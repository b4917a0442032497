"""The borrowing side: loans from other holders and asks for more."""

import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from lagoonstair.limits._messages import (
    LoanReport,
    TokenAsk,
    TokenDemand,
    TokenGrant,
)
from lagoonstair.limits._settings import LimitSettings


@dataclass(slots=True)
class _Loan:
    lender: str
    workspace: str
    loan_id: int
    amount: int
    expires: float
    spent: int = 0
    closed: bool = False


class _Pending(NamedTuple):
    """An ask without an answer, and the closed loans that it reports."""

    seq: int
    asked_at: float
    workspaces: frozenset[str]
    closed: tuple[_Loan, ...]


@dataclass(slots=True)
class _Peer:
    seq: int = 0
    asked_at: float = float("-inf")
    pending: _Pending | None = None
    loans: dict[tuple[str, int], _Loan] = field(default_factory=dict)


class Borrower:
    """Loans that one instance holds, of all workspaces and lenders.

    At most one ask to each lender is without an answer. A grant counts only
    for that ask; a later one is ignored, and its loan is missing from the
    next ask's reports, by which the lender takes it back.
    """

    def __init__(self, incarnation: str, settings: LimitSettings) -> None:
        self._incarnation = incarnation
        self._settings = settings
        self._peers: dict[str, _Peer] = {}
        self._open: dict[str, list[_Loan]] = {}

    def available(self, now: float, workspace: str) -> int:
        """Micro-tokens of unexpired loans."""
        self._close_expired(now, workspace)
        loans = self._open.get(workspace, ())
        return sum(loan.amount - loan.spent for loan in loans)

    def spend(self, now: float, workspace: str, amount: int) -> int:
        """Spends up to ``amount`` micro-tokens, first those expiring first."""
        self._close_expired(now, workspace)
        left = amount
        for loan in self._open.get(workspace, ()):
            part = min(left, loan.amount - loan.spent)
            loan.spent += part
            left -= part
            loan.closed = loan.spent == loan.amount
            if left == 0:
                break
        self._drop_closed(workspace)
        return amount - left

    def asked_at(self, lender: str) -> float:
        """When the lender was last asked, in seconds."""
        peer = self._peers.get(lender)
        return float("-inf") if peer is None else peer.asked_at

    def is_waiting(self, lender: str) -> bool:
        """Whether an ask to the lender has no answer yet."""
        peer = self._peers.get(lender)
        return peer is not None and peer.pending is not None

    def lenders_to_report(self, now: float) -> list[str]:
        """Lenders of loans that are closed and not yet reported so."""
        for workspace in list(self._open):
            self._close_expired(now, workspace)
        return [
            name
            for name, peer in self._peers.items()
            if any(loan.closed for loan in peer.loans.values())
        ]

    def ask(
        self, now: float, lender: str, wants: Mapping[str, int]
    ) -> TokenAsk:
        """Makes the next ask to a lender that owes no answer."""
        peer = self._peers.setdefault(lender, _Peer())
        if peer.pending is not None:
            raise ValueError(f"{lender} owes an answer")
        peer.seq += 1
        peer.asked_at = now
        self._forget_old(now, peer)
        loans = tuple(peer.loans.values())
        closed = tuple(loan for loan in loans if loan.closed)
        peer.pending = _Pending(peer.seq, now, frozenset(wants), closed)
        return TokenAsk(
            incarnation=self._incarnation,
            seq=peer.seq,
            reports=tuple(
                LoanReport(x.workspace, x.loan_id, x.spent, x.closed)
                for x in loans
            ),
            wants=tuple(itertools.starmap(TokenDemand, wants.items())),
        )

    def accept(self, now: float, lender: str, grant: TokenGrant) -> bool:
        """Takes a grant; returns false when no ask waits for it."""
        peer = self._peers.get(lender)
        pending = None if peer is None else peer.pending
        if peer is None or pending is None or pending.seq != grant.seq:
            return False
        peer.pending = None
        for loan in pending.closed:
            peer.loans.pop((loan.workspace, loan.loan_id), None)
        expires = pending.asked_at + self._settings.loan_ttl
        for lent in grant.lent:
            if lent.amount > 0 and lent.workspace in pending.workspaces:
                loan = _Loan(
                    lender, lent.workspace, grant.seq, lent.amount, expires
                )
                self._add(peer, loan)
        return True

    def give_up(self, lender: str, seq: int) -> bool:
        """Stops waiting for an answer; returns whether it was waited for."""
        peer = self._peers.get(lender)
        if peer is None or peer.pending is None or peer.pending.seq != seq:
            return False
        peer.pending = None
        return True

    def _add(self, peer: _Peer, loan: _Loan) -> None:
        peer.loans[loan.workspace, loan.loan_id] = loan
        loans = self._open.setdefault(loan.workspace, [])
        loans.append(loan)
        loans.sort(key=lambda x: x.expires)

    def _close_expired(self, now: float, workspace: str) -> None:
        loans = self._open.get(workspace, ())
        if not loans or loans[0].expires > now:
            return
        for loan in loans:
            loan.closed = loan.closed or loan.expires <= now
        self._drop_closed(workspace)

    def _drop_closed(self, workspace: str) -> None:
        loans = [x for x in self._open.get(workspace, ()) if not x.closed]
        if loans:
            self._open[workspace] = loans
        else:
            self._open.pop(workspace, None)

    def _forget_old(self, now: float, peer: _Peer) -> None:
        """Drops loans that the lender has dropped too."""
        kept = now - self._settings.lender_ttl
        peer.loans = {
            key: loan
            for key, loan in peer.loans.items()
            if loan.expires > kept or not loan.closed
        }
