"""Rate and burst of workspaces, across all instances together."""

from lagoonstair.limits._borrower import Borrower
from lagoonstair.limits._holder import ShareHolder
from lagoonstair.limits._lender import Lender
from lagoonstair.limits._limiter import Admit, Effect, Limiter, Refuse, SendAsk
from lagoonstair.limits._messages import (
    Lent,
    LoanReport,
    TokenAsk,
    TokenGrant,
    Want,
)
from lagoonstair.limits._service import LimitService, LimitStatus
from lagoonstair.limits._settings import LimitSettings, WorkspaceLimit
from lagoonstair.limits._units import MICRO

__all__ = [
    "MICRO",
    "Admit",
    "Borrower",
    "Effect",
    "Lender",
    "Lent",
    "LimitService",
    "LimitSettings",
    "LimitStatus",
    "Limiter",
    "LoanReport",
    "Refuse",
    "SendAsk",
    "ShareHolder",
    "TokenAsk",
    "TokenGrant",
    "Want",
    "WorkspaceLimit",
]
