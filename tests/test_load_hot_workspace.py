"""Load pattern: one workspace sends many times its rate; no network."""

import itertools
import random

import msgspec

from lagoonstair.limits import Admit, Limiter, SendAsk, WorkspaceLimit
from lagoonstair.proxy._quota import LIMIT_SETTINGS

NAMES = ("a", "b", "c")
HOT, HOT_RATE = "hot", 100
OTHERS, OTHER_RATE = 40, 10
HOPS = 2
"""Steps that a message takes."""

STEP_SECONDS = 0.002
START_SECONDS = 20
"""After which the shares of a new workspace count."""

SECONDS = 6

MOST_LOANS = 4
"""Loans of one workspace that an instance holds of another at once: one a
period of asks, until they expire."""


def _limit(rate):
    return WorkspaceLimit.from_config(rate=rate, burst=rate, holders=NAMES)


def _play(hot_factor):
    """Plays all instances in virtual time.

    Args:
        hot_factor: By how much the hot workspace exceeds its rate in all.

    Returns:
        How many of its requests were admitted, how often tokens of the other
        workspaces were asked for, the asks, and their bytes in all.
    """
    draw = random.Random(5)
    limits = {f"w{n}": _limit(OTHER_RATE) for n in range(OTHERS)}
    limits[HOT] = _limit(HOT_RATE)
    limiters = {n: Limiter(n, f"{n}1", LIMIT_SETTINGS) for n in NAMES}
    for limiter in limiters.values():
        limiter.apply(0.0, 1, limits)
    tickets = itertools.count()
    hot = set()
    asks = []
    admitted = 0
    under_way = []
    for step in range(int(SECONDS / STEP_SECONDS)):
        now = START_SECONDS + step * STEP_SECONDS
        arrived = [m for m in under_way if m[0] <= step]
        under_way = [m for m in under_way if m[0] > step]
        for name, limiter in limiters.items():
            effects = []
            for _, sender, target, body in arrived:
                if target != name:
                    continue
                if sender is None:
                    lender, grant = body
                    effects += limiter.handle_grant(
                        now, lender, grant, fresh=True
                    )
                    continue
                grant = limiter.answer(now, sender, body, fresh=True)
                under_way.append((step + HOPS, None, sender, (name, grant)))
            for workspace in limits:
                rate = HOT_RATE * hot_factor if workspace == HOT else 4
                if draw.random() < rate / len(NAMES) * STEP_SECONDS:
                    ticket = next(tickets)
                    hot |= {ticket} if workspace == HOT else set()
                    effects += limiter.request(
                        now, workspace, ticket, fresh=True
                    )
            effects += limiter.tick(now, fresh=True)
            for effect in effects:
                match effect:
                    case Admit(ticket=ticket):
                        admitted += ticket in hot
                    case SendAsk(lender=lender, ask=ask):
                        asks.append(ask)
                        under_way.append((step + HOPS, name, lender, ask))
    others = sum(want.workspace != HOT for ask in asks for want in ask.wants)
    size = sum(len(msgspec.msgpack.encode(ask)) for ask in asks)
    return admitted, others, len(asks), size


def test_load_pattern_one_workspace_far_over_its_rate():
    _, alone, _, _ = _play(hot_factor=0.5)
    admitted, others, asked, size = _play(hot_factor=4)
    # It gets its rate and its burst, wherever it sends.
    assert admitted >= 0.95 * HOT_RATE * SECONDS
    # An ask for it alone is a few loans long, not one of each workspace.
    assert size / asked <= 40 * MOST_LOANS
    # Its need has nothing to do with the other workspaces' asks.
    assert others <= 1.2 * alone
