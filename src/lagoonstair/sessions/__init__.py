"""Session tokens, by which a caller reads its own writes."""

from lagoonstair.sessions._state import GroupMark, SessionState
from lagoonstair.sessions._token import TokenCodec, TransactionToken

__all__ = ["GroupMark", "SessionState", "TokenCodec", "TransactionToken"]
