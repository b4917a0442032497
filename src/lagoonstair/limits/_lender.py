"""Lends tokens from an instance's shares and keeps account of the loans."""

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
"""Seconds without an ask after which an account without loans is dropped."""


@dataclass(slots=True)
class _Loan:
    amount: int
    spent: int
    expires: float


@dataclass(slots=True)
class _Account:
    """Loans to one run of a borrower, by (workspace, loan id)."""

    last_seq: int = 0
    last_heard_at: float = 0.0
    loans: dict[tuple[str, int], _Loan] = field(default_factory=dict)


class Lender:
    """Answers asks from an instance's shares.

    A duplicate or late ask changes nothing and is granted nothing. The tokens
    of a loan whose grant never reached the borrower return with the next ask.
    Tokens that are neither reported nor returned are lost when the loan
    expires.

    Attributes:
        buckets: The share of each workspace.
    """

    def __init__(self, name: str, settings: LimitSettings) -> None:
        self._name = name
        self._settings = settings
        self._accepted_version = math.inf
        self._accounts: dict[tuple[str, str], _Account] = {}
        self._expiries: list[tuple[float, tuple[str, str], str, int]] = []
        self.buckets: dict[str, ShareBucket] = {}

    def bucket(self, workspace: str) -> ShareBucket:
        """Returns the share of a workspace, creating it on first use."""
        bucket = self.buckets.get(workspace)
        if bucket is None:
            bucket = ShareBucket(
                self._name, self._settings, accepted=self._accepted_version
            )
            self.buckets[workspace] = bucket
        return bucket

    def set_accepted_version(self, now: float, version: float) -> None:
        """Sets the greatest configuration version known to be accepted."""
        self._accepted_version = version
        for bucket in self.buckets.values():
            bucket.set_accepted_version(now, version)

    def answer(
        self, now: float, borrower: str, ask: TokenAsk, *, fresh: bool
    ) -> TokenGrant:
        """Applies an ask's reports and lends as much as possible.

        Args:
            now: The time, in seconds.
            borrower: The asking instance's authenticated name.
            ask: The ask.
            fresh: Whether this instance's configuration is fresh. If it isn't,
                nothing is lent.
        """
        self.expire(now)
        key = (borrower, ask.incarnation)
        account = self._accounts.setdefault(key, _Account())
        if ask.seq <= account.last_seq:
            return TokenGrant(seq=ask.seq)
        account.last_seq = ask.seq
        account.last_heard_at = now
        self._apply_reports(now, account, ask.reports)
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
                self.buckets[workspace].settle(now, lost)

    def prune(self, now: float) -> None:
        """Drops accounts without loans that have been idle for long."""
        cutoff = now - ACCOUNT_IDLE_SECONDS
        self._accounts = {
            key: account
            for key, account in self._accounts.items()
            if account.loans or account.last_heard_at > cutoff
        }

    def _apply_reports(
        self, now: float, account: _Account, reports: tuple[LoanReport, ...]
    ) -> None:
        listed = {(report.workspace, report.loan_id) for report in reports}
        for report in reports:
            self._apply_report(now, account, report)
        for key in [key for key in account.loans if key not in listed]:
            loan = account.loans.pop(key)
            self.buckets[key[0]].refund(now, loan.amount - loan.spent)

    def _apply_report(
        self, now: float, account: _Account, report: LoanReport
    ) -> None:
        key = (report.workspace, report.loan_id)
        loan = account.loans.get(key)
        if loan is None:
            return
        bucket = self.buckets[report.workspace]
        spent = max(loan.spent, min(report.spent, loan.amount))
        bucket.settle(now, spent - loan.spent)
        loan.spent = spent
        if report.closed:
            bucket.refund(now, loan.amount - spent)
            del account.loans[key]

    def _lend(
        self, now: float, key: tuple[str, str], seq: int, want: TokenDemand
    ) -> TokenLoan:
        bucket = self.buckets.get(want.workspace)
        if bucket is None:
            return TokenLoan(want.workspace, 0, 0)
        amount = bucket.lend(now, max(0, want.amount))
        if amount > 0:
            expires = now + self._settings.lender_ttl
            loan = _Loan(amount, 0, expires)
            self._accounts[key].loans[want.workspace, seq] = loan
            entry = (expires, key, want.workspace, seq)
            heapq.heappush(self._expiries, entry)
        return TokenLoan(want.workspace, amount, bucket.available(now))
