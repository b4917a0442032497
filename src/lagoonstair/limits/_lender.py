"""The lending side: an instance's shares and what it has lent."""

import heapq
import math
from dataclasses import dataclass, field

from lagoonstair.limits._holder import ShareBucket
from lagoonstair.limits._messages import (
    LoanReport,
    TokenAsk,
    TokenDemand,
    TokenGrant,
    TokenLoan,
)
from lagoonstair.limits._settings import LimitSettings

ACCOUNT_IDLE_SECONDS = 60.0


@dataclass(slots=True)
class _Loan:
    amount: int
    spent: int
    expires: float


@dataclass(slots=True)
class _Account:
    """What one run of a borrower has been lent, by (workspace, loan id)."""

    last_seq: int = 0
    heard_at: float = 0.0
    loans: dict[tuple[str, int], _Loan] = field(default_factory=dict)


class Lender:
    """Answers asks from an instance's shares.

    A repeated or late ask changes nothing and is granted nothing. A loan
    whose grant never reached the borrower comes back with the next ask. What
    is neither reported nor given back is lost when the loan expires.

    Attributes:
        holders: The shares, by workspace.
    """

    def __init__(self, name: str, settings: LimitSettings) -> None:
        self._name = name
        self._settings = settings
        self._accepted = math.inf
        self._accounts: dict[tuple[str, str], _Account] = {}
        self._expiries: list[tuple[float, tuple[str, str], str, int]] = []
        self.holders: dict[str, ShareBucket] = {}

    def holder(self, workspace: str) -> ShareBucket:
        """The share of a workspace, made when it is first named."""
        holder = self.holders.get(workspace)
        if holder is None:
            holder = ShareBucket(
                self._name, self._settings, accepted=self._accepted
            )
            self.holders[workspace] = holder
        return holder

    def accept(self, now: float, version: float) -> None:
        """Notes the greatest configuration version known as accepted."""
        self._accepted = version
        for holder in self.holders.values():
            holder.accept(now, version)

    def answer(
        self, now: float, borrower: str, ask: TokenAsk, *, fresh: bool
    ) -> TokenGrant:
        """Takes an ask's reports and lends what it can.

        Args:
            now: The time, in seconds.
            borrower: The asking instance's authenticated name.
            ask: The ask.
            fresh: Whether this instance's configuration is fresh; if not, it
                lends nothing.
        """
        self.expire(now)
        key = (borrower, ask.incarnation)
        account = self._accounts.setdefault(key, _Account())
        if ask.seq <= account.last_seq:
            return TokenGrant(seq=ask.seq)
        account.last_seq = ask.seq
        account.heard_at = now
        self._take_reports(now, account, ask.reports)
        wants = ask.wants if fresh else ()
        lent = tuple(self._lend(now, key, ask.seq, want) for want in wants)
        return TokenGrant(seq=ask.seq, lent=lent)

    def expire(self, now: float) -> None:
        """Drops loans that no borrower may spend any more."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key, workspace, loan_id = heapq.heappop(self._expiries)
            account = self._accounts.get(key)
            if account is None:
                continue
            loan = account.loans.pop((workspace, loan_id), None)
            if loan is not None:
                lost = loan.amount - loan.spent
                self.holders[workspace].settle(now, lost)

    def forget(self, now: float) -> None:
        """Drops accounts without loans that have long been silent."""
        cutoff = now - ACCOUNT_IDLE_SECONDS
        self._accounts = {
            key: account
            for key, account in self._accounts.items()
            if account.loans or account.heard_at > cutoff
        }

    def _take_reports(
        self, now: float, account: _Account, reports: tuple[LoanReport, ...]
    ) -> None:
        listed = {(report.workspace, report.loan_id) for report in reports}
        for report in reports:
            self._take_report(now, account, report)
        for key in [key for key in account.loans if key not in listed]:
            loan = account.loans.pop(key)
            self.holders[key[0]].refund(now, loan.amount - loan.spent)

    def _take_report(
        self, now: float, account: _Account, report: LoanReport
    ) -> None:
        key = (report.workspace, report.loan_id)
        loan = account.loans.get(key)
        if loan is None:
            return
        holder = self.holders[report.workspace]
        spent = max(loan.spent, min(report.spent, loan.amount))
        holder.settle(now, spent - loan.spent)
        loan.spent = spent
        if report.closed:
            holder.refund(now, loan.amount - spent)
            del account.loans[key]

    def _lend(
        self, now: float, key: tuple[str, str], seq: int, want: TokenDemand
    ) -> TokenLoan:
        holder = self.holders.get(want.workspace)
        if holder is None:
            return TokenLoan(want.workspace, 0, 0)
        amount = holder.lend(now, max(0, want.amount))
        if amount > 0:
            expires = now + self._settings.lender_ttl
            loan = _Loan(amount, 0, expires)
            self._accounts[key].loans[want.workspace, seq] = loan
            entry = (expires, key, want.workspace, seq)
            heapq.heappush(self._expiries, entry)
        return TokenLoan(want.workspace, amount, holder.available(now))
