"""Cost of one ask for tokens that covers several workspaces."""

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

ASKS = 20
REQUESTS = 60
HOLDERS = ("lender", "borrower")


def loan_lender(workspaces: int) -> float:
    """CPU seconds of one answer, decoding and encoding included."""
    _, lender, _ = _run_loans(workspaces)
    return lender


def loan_borrower(workspaces: int) -> float:
    """CPU seconds of one ask and of taking its answer."""
    borrower, _, _ = _run_loans(workspaces)
    return borrower


def loan_bytes(workspaces: int) -> float:
    """Bytes of one ask and its answer."""
    _, _, size = _run_loans(workspaces)
    return size


def _run_loans(workspaces: int) -> tuple[float, float, float]:
    """Returns the cost of the borrower, the lender, and the bytes per ask."""
    borrower, lender = _limiter("borrower"), _limiter("lender")
    limits = {
        f"ws{number}": WorkspaceLimit.from_config(
            rate=1000.0, burst=1000.0, holders=HOLDERS
        )
        for number in range(workspaces)
    }
    for limiter in (borrower, lender):
        limiter.apply(0.0, 1, limits)
    spent, lent, size, asks, ticket = 0.0, 0.0, 0, 0, 0
    now = 30.0
    while asks < ASKS:
        now += 0.1
        for name in limits:
            for _ in range(REQUESTS):
                ticket += 1
                borrower.request(now, name, ticket, fresh=True)
        began = time.process_time()
        sends = [
            effect
            for effect in borrower.tick(now, fresh=True)
            if isinstance(effect, SendAsk)
        ]
        spent += time.process_time() - began
        for send in sends:
            asks += 1
            began = time.process_time()
            ask = msgspec.msgpack.encode(send.ask)
            spent += time.process_time() - began
            began = time.process_time()
            answer = lender.answer(
                now,
                "borrower",
                msgspec.msgpack.decode(ask, type=TokenAsk),
                fresh=True,
            )
            grant = msgspec.msgpack.encode(answer)
            lent += time.process_time() - began
            size += len(ask) + len(grant)
            began = time.process_time()
            taken = msgspec.msgpack.decode(grant, type=TokenGrant)
            borrower.handle_grant(now, send.lender, taken, fresh=True)
            spent += time.process_time() - began
    return spent / asks, lent / asks, size / asks


def _limiter(name: str) -> Limiter:
    return Limiter(name, f"{name}-1", LimitSettings())
