"""Cost of one request for tokens that covers several workspaces."""

import time

import msgspec

from lagoonstair.limits import (
    Limiter,
    LimitSettings,
    SendAsk,
    TokenAsk,
    TokenGrant,
    WorkspaceLimit,
)

ASK_COUNT = 20
"""Least number of requests for tokens that a run averages over."""

REQUESTS_PER_TICK = 60
"""Requests to each workspace between two ticks of the borrower."""

HOLDERS = ("lender", "borrower")
"""Instances that hold a share of every workspace's rate limit."""


def loan_lender(workspaces: int) -> float:
    """Returns the CPU seconds of one answer by the lender.

    Decoding the request for tokens and encoding the grant are included.
    """
    _, lender, _ = _run_loans(workspaces)
    return lender


def loan_borrower(workspaces: int) -> float:
    """Returns the CPU seconds of one request for tokens at the borrower.

    The tick that creates it, its encoding, and the decoding and handling of
    the grant are included.
    """
    borrower, _, _ = _run_loans(workspaces)
    return borrower


def loan_bytes(workspaces: int) -> float:
    """Returns the bytes of one request for tokens and its grant."""
    _, _, size = _run_loans(workspaces)
    return size


def _run_loans(workspaces: int) -> tuple[float, float, float]:
    """Runs a borrower and a lender and measures their exchanges.

    Args:
        workspaces: The number of workspaces that each exchange covers.

    Returns:
        Means per exchange: the CPU seconds of the borrower, the CPU seconds
        of the lender, and the bytes of both messages.
    """
    borrower, lender = _limiter("borrower"), _limiter("lender")
    limits = {
        f"ws{number}": WorkspaceLimit.from_config(
            rate=1000.0, burst=1000.0, holders=HOLDERS
        )
        for number in range(workspaces)
    }
    for limiter in (borrower, lender):
        limiter.apply(0.0, 1, limits)
    borrower_seconds, lender_seconds, size, asks, ticket = 0.0, 0.0, 0, 0, 0
    now = 30.0
    while asks < ASK_COUNT:
        now += 0.1
        for name in limits:
            for _ in range(REQUESTS_PER_TICK):
                ticket += 1
                borrower.request(now, name, ticket, fresh=True)
        started_at = time.process_time()
        ask_effects = [
            effect
            for effect in borrower.tick(now, fresh=True)
            if isinstance(effect, SendAsk)
        ]
        borrower_seconds += time.process_time() - started_at
        for ask_effect in ask_effects:
            asks += 1
            started_at = time.process_time()
            ask = msgspec.msgpack.encode(ask_effect.ask)
            borrower_seconds += time.process_time() - started_at
            started_at = time.process_time()
            answer = lender.answer(
                now,
                "borrower",
                msgspec.msgpack.decode(ask, type=TokenAsk),
                fresh=True,
            )
            grant = msgspec.msgpack.encode(answer)
            lender_seconds += time.process_time() - started_at
            size += len(ask) + len(grant)
            started_at = time.process_time()
            decoded_grant = msgspec.msgpack.decode(grant, type=TokenGrant)
            borrower.handle_grant(
                now, ask_effect.lender, decoded_grant, fresh=True
            )
            borrower_seconds += time.process_time() - started_at
    return borrower_seconds / asks, lender_seconds / asks, size / asks


def _limiter(name: str) -> Limiter:
    return Limiter(name, f"{name}-1", LimitSettings())
