"""Holds loans from other instances and asks them for more tokens."""

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


class _OutstandingAsk(NamedTuple):
    """An unanswered ask, and the closed loans that it reports."""

    seq: int
    asked_at: float
    workspaces: frozenset[str]
    closed: tuple[_Loan, ...]


@dataclass(slots=True)
class _LenderState:
    seq: int = 0
    asked_at: float = float("-inf")
    outstanding: _OutstandingAsk | None = None
    loans: dict[tuple[str, int], _Loan] = field(default_factory=dict)


class Borrower:
    """Loans that one instance holds, for all workspaces and lenders.

    At most one ask to each lender is outstanding. A grant is accepted only for
    the outstanding ask. A later grant is ignored. Its loan is then missing
    from the reports of the next ask, upon which the lender takes it back.
    """

    def __init__(self, incarnation: str, settings: LimitSettings) -> None:
        self._incarnation = incarnation
        self._settings = settings
        self._lenders: dict[str, _LenderState] = {}
        self._open_loans: dict[str, list[_Loan]] = {}

    def available(self, now: float, workspace: str) -> int:
        """Returns the unspent micro-tokens of unexpired loans."""
        self._close_expired(now, workspace)
        loans = self._open_loans.get(workspace, ())
        return sum(loan.amount - loan.spent for loan in loans)

    def spend(self, now: float, workspace: str, amount: int) -> int:
        """Spends up to ``amount`` micro-tokens, from the earliest expiry on.

        Returns:
            The micro-tokens spent.
        """
        self._close_expired(now, workspace)
        remaining = amount
        for loan in self._open_loans.get(workspace, ()):
            part = min(remaining, loan.amount - loan.spent)
            loan.spent += part
            remaining -= part
            loan.closed = loan.spent == loan.amount
            if remaining == 0:
                break
        self._drop_closed(workspace)
        return amount - remaining

    def asked_at(self, lender: str) -> float:
        """Returns when the lender was last asked, in seconds."""
        state = self._lenders.get(lender)
        return float("-inf") if state is None else state.asked_at

    def has_outstanding_ask(self, lender: str) -> bool:
        """Returns whether an ask to the lender is still unanswered."""
        state = self._lenders.get(lender)
        return state is not None and state.outstanding is not None

    def lenders_to_report(self, now: float) -> list[str]:
        """Lists lenders of loans that are closed but not yet reported so."""
        for workspace in list(self._open_loans):
            self._close_expired(now, workspace)
        return [
            name
            for name, state in self._lenders.items()
            if any(loan.closed for loan in state.loans.values())
        ]

    def ask(
        self, now: float, lender: str, wants: Mapping[str, int]
    ) -> TokenAsk:
        """Creates the next ask to a lender.

        Raises:
            ValueError: The previous ask is still outstanding.
        """
        state = self._lenders.setdefault(lender, _LenderState())
        if state.outstanding is not None:
            raise ValueError(f"an ask to {lender} is still outstanding")
        state.seq += 1
        state.asked_at = now
        self._drop_settled(now, state)
        loans = tuple(state.loans.values())
        closed = tuple(loan for loan in loans if loan.closed)
        state.outstanding = _OutstandingAsk(
            state.seq, now, frozenset(wants), closed
        )
        return TokenAsk(
            incarnation=self._incarnation,
            seq=state.seq,
            reports=tuple(
                LoanReport(x.workspace, x.loan_id, x.spent, x.closed)
                for x in loans
            ),
            wants=tuple(itertools.starmap(TokenDemand, wants.items())),
        )

    def accept_grant(self, now: float, lender: str, grant: TokenGrant) -> bool:
        """Adds the loans of a grant; returns false if no ask waits for it."""
        state = self._lenders.get(lender)
        outstanding = None if state is None else state.outstanding
        if state is None or outstanding is None or outstanding.seq != grant.seq:
            return False
        state.outstanding = None
        for loan in outstanding.closed:
            state.loans.pop((loan.workspace, loan.loan_id), None)
        expires = outstanding.asked_at + self._settings.loan_ttl
        for lent in grant.lent:
            if lent.amount > 0 and lent.workspace in outstanding.workspaces:
                loan = _Loan(
                    lender, lent.workspace, grant.seq, lent.amount, expires
                )
                self._add_loan(state, loan)
        return True

    def abandon(self, lender: str, seq: int) -> bool:
        """Abandons an ask; returns whether it was outstanding."""
        state = self._lenders.get(lender)
        if (
            state is None
            or state.outstanding is None
            or state.outstanding.seq != seq
        ):
            return False
        state.outstanding = None
        return True

    def _add_loan(self, state: _LenderState, loan: _Loan) -> None:
        state.loans[loan.workspace, loan.loan_id] = loan
        loans = self._open_loans.setdefault(loan.workspace, [])
        loans.append(loan)
        loans.sort(key=lambda x: x.expires)

    def _close_expired(self, now: float, workspace: str) -> None:
        loans = self._open_loans.get(workspace, ())
        if not loans or loans[0].expires > now:
            return
        for loan in loans:
            loan.closed = loan.closed or loan.expires <= now
        self._drop_closed(workspace)

    def _drop_closed(self, workspace: str) -> None:
        loans = [x for x in self._open_loans.get(workspace, ()) if not x.closed]
        if loans:
            self._open_loans[workspace] = loans
        else:
            self._open_loans.pop(workspace, None)

    def _drop_settled(self, now: float, state: _LenderState) -> None:
        """Drops closed loans that the lender has dropped as well."""
        kept = now - self._settings.lender_ttl
        state.loans = {
            key: loan
            for key, loan in state.loans.items()
            if loan.expires > kept or not loan.closed
        }
