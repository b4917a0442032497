"""Distributed rate limits of workspaces, enforced across all instances."""

from lagoonstair.limits._borrower import Borrower
from lagoonstair.limits._holder import ShareBucket
from lagoonstair.limits._lender import Lender
from lagoonstair.limits._limiter import Admit, Effect, Limiter, Refuse, SendAsk
from lagoonstair.limits._messages import (
    LoanReport,
    TokenAsk,
    TokenDemand,
    TokenGrant,
    TokenLoan,
)
from lagoonstair.limits._service import (
    REFUSAL_MESSAGES,
    LimitService,
    LimitStatus,
)
from lagoonstair.limits._settings import LimitSettings, WorkspaceLimit
from lagoonstair.limits._units import MICROS_PER_TOKEN

__all__ = [
    "MICROS_PER_TOKEN",
    "REFUSAL_MESSAGES",
    "Admit",
    "Borrower",
    "Effect",
    "Lender",
    "LimitService",
    "LimitSettings",
    "LimitStatus",
    "Limiter",
    "LoanReport",
    "Refuse",
    "SendAsk",
    "ShareBucket",
    "TokenAsk",
    "TokenDemand",
    "TokenGrant",
    "TokenLoan",
    "WorkspaceLimit",
]
