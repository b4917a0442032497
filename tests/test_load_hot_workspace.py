"""Load pattern of one workspace that far exceeds its rate, without network."""

import itertools
import random

import msgspec

from lagoonstair.limits import Admit, Limiter, SendAsk, WorkspaceLimit
from lagoonstair.proxy._quota import LIMIT_SETTINGS

NAMES = ("a", "b", "c")
HOT, HOT_RATE = "hot", 100
OTHERS, OTHER_RATE = 40, 10
HOPS = 2
"""Number of time steps that a message needs to arrive."""

STEP_SECONDS = 0.002
START_SECONDS = 20
"""Start of the simulation, in seconds; the shares of new workspaces count by
then."""

SECONDS = 6

MAX_LOANS = 4
"""Maximum number of loans of one workspace's tokens that an instance holds from
another at a time: one for each period of requests, until they expire."""


def _limit(rate):
    return WorkspaceLimit.from_config(rate=rate, burst=rate, holders=NAMES)


def _simulate(hot_factor):
    """Simulates all instances in virtual time.

    Args:
        hot_factor: Total rate of the hot workspace's operations, as a multiple
            of its limit.

    Returns:
        The number of its admitted operations, the number of requests for
        tokens of other workspaces, the number of messages with requests, and
        their total size in bytes.
    """
    rng = random.Random(5)
    limits = {f"w{n}": _limit(OTHER_RATE) for n in range(OTHERS)}
    limits[HOT] = _limit(HOT_RATE)
    limiters = {n: Limiter(n, f"{n}1", LIMIT_SETTINGS) for n in NAMES}
    for limiter in limiters.values():
        limiter.apply(0.0, 1, limits)
    tickets = itertools.count()
    hot = set()
    asks = []
    admitted = 0
    in_transit = []
    for step in range(int(SECONDS / STEP_SECONDS)):
        now = START_SECONDS + step * STEP_SECONDS
        arrived = [m for m in in_transit if m[0] <= step]
        in_transit = [m for m in in_transit if m[0] > step]
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
                in_transit.append((step + HOPS, None, sender, (name, grant)))
            for workspace in limits:
                rate = HOT_RATE * hot_factor if workspace == HOT else 4
                if rng.random() < rate / len(NAMES) * STEP_SECONDS:
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
                        in_transit.append((step + HOPS, name, lender, ask))
    others = sum(want.workspace != HOT for ask in asks for want in ask.wants)
    size = sum(len(msgspec.msgpack.encode(ask)) for ask in asks)
    return admitted, others, len(asks), size


def test_load_pattern_one_workspace_far_over_its_rate():
    _, alone, _, _ = _simulate(hot_factor=0.5)
    admitted, others, asked, size = _simulate(hot_factor=4)
    # The hot workspace gets its rate and its burst, whichever instance it uses.
    assert admitted >= 0.95 * HOT_RATE * SECONDS
    # A message about it alone has a few loans, not one of each workspace.
    assert size / asked <= 40 * MAX_LOANS
    # Its demand does not increase the requests for the other workspaces.
    assert others <= 1.2 * alone
