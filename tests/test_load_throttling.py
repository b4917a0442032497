"""Load pattern of a workspace at 6 times its rate, over many entry instances.

Callers try each operation up to three times, each time through another entry.
"""

import heapq
import itertools
import random
from collections import Counter

import pytest

from lagoonstair.limits import Admit, Limiter, Refuse, SendAsk, WorkspaceLimit
from lagoonstair.proxy._quota import OVERLOAD_LIMIT_SETTINGS
from lagoonstair.throttling import Throttler

HOMES = tuple(f"h{n}" for n in range(7))
CANDIDATES = HOMES[:6]
ENTRIES = 74
HOT, HOT_FACTOR = "hot", 6
OTHERS, OTHER_RATE, OTHER_DEMAND = 10, 15, 8
"""Number of other workspaces, their rate and their demand (1/s)."""

STEP_SECONDS = 0.002
HOP_STEPS = 1
START_SECONDS = 20
"""Start of the simulation, in seconds; the shares of new workspaces count by
then."""

SECONDS = 7
RETRY_STEPS = 10
ATTEMPTS = 3


class _Pattern:
    """Simulates entries, homes and callers in virtual time."""

    def __init__(self, hot_rate, settings, *, throttled):
        self.rng = random.Random(7)
        rates = {f"w{n}": OTHER_RATE for n in range(OTHERS)} | {HOT: hot_rate}
        self.demand = dict.fromkeys(rates, OTHER_DEMAND)
        self.demand[HOT] = hot_rate * HOT_FACTOR
        limits = {
            name: WorkspaceLimit.from_config(
                rate=rate, burst=rate, holders=CANDIDATES
            )
            for name, rate in rates.items()
        }
        self.homes = {n: Limiter(n, f"{n}1", settings) for n in HOMES}
        for home in self.homes.values():
            home.apply(0.0, 1, limits)
        self.entries = [Throttler() for _ in range(ENTRIES)]
        self.throttled = throttled
        self.counts = Counter()
        self.waited = []
        self._events = []
        self._order = itertools.count()
        self._ops = {}

    def run(self):
        for step in range(int(SECONDS / STEP_SECONDS)):
            self.step = step
            self.now = START_SECONDS + step * STEP_SECONDS
            for name, rate in self.demand.items():
                count = int(rate * STEP_SECONDS + self.rng.random())
                for _ in range(count):
                    self._attempt(name, 1)
            while self._events and self._events[0][0] <= step:
                _, _, act, args = heapq.heappop(self._events)
                act(*args)
            for name, home in self.homes.items():
                self._perform(name, home.tick(self.now, fresh=True))
        return self

    def _later(self, steps, act, *args):
        event = (self.step + steps, next(self._order), act, args)
        heapq.heappush(self._events, event)

    def _attempt(self, workspace, attempt):
        entry = self.rng.choice(self.entries)
        draw = self.rng.random()
        if self.throttled and entry.refuse(self.now, workspace, draw):
            self.counts[workspace, "entry"] += 1
            self._retry(workspace, attempt)
            return
        ticket = next(self._order)
        self._ops[ticket] = workspace, attempt, entry, self.now
        home = self.rng.choice(CANDIDATES)
        effects = self.homes[home].request(
            self.now, workspace, ticket, fresh=True
        )
        self._perform(home, effects)

    def _retry(self, workspace, attempt):
        if attempt < ATTEMPTS:
            self._later(RETRY_STEPS, self._attempt, workspace, attempt + 1)

    def _perform(self, name, effects):
        for effect in effects:
            match effect:
                case Admit(ticket=ticket):
                    workspace, _, entry, _ = self._ops.pop(ticket)
                    self.counts[workspace, "admitted"] += 1
                    entry.record(self.now, workspace, None)
                case Refuse(ticket=ticket):
                    workspace, attempt, entry, since = self._ops.pop(ticket)
                    self.counts[workspace, "home"] += 1
                    self.waited.append(self.now - since)
                    entry.record(self.now, workspace, 100)
                    self._retry(workspace, attempt)
                case SendAsk(lender=lender, ask=ask):
                    self._later(HOP_STEPS, self._answer, name, lender, ask)

    def _answer(self, borrower, lender, ask):
        grant = self.homes[lender].answer(self.now, borrower, ask, fresh=True)
        self._later(HOP_STEPS, self._grant, borrower, lender, grant)

    def _grant(self, borrower, lender, grant):
        effects = self.homes[borrower].handle_grant(
            self.now, lender, grant, fresh=True
        )
        self._perform(borrower, effects)


# Guards against: homes that spend their time on refusals that the entries can
# make, and entries that deny a workspace a part of its rate.
@pytest.mark.parametrize("hot_rate", [50, 120])
def test_load_pattern_six_times_the_rate_over_many_entries(hot_rate):
    pattern = _Pattern(hot_rate, OVERLOAD_LIMIT_SETTINGS, throttled=True).run()
    counts = pattern.counts
    by_entry, by_home = counts[HOT, "entry"], counts[HOT, "home"]
    assert by_entry >= 0.75 * (by_entry + by_home)
    allowed = hot_rate * SECONDS + hot_rate
    assert counts[HOT, "admitted"] >= 0.95 * allowed
    # Refused at once, because no token can arrive within the longest wait.
    assert sum(pattern.waited) / len(pattern.waited) <= 0.005
    others = [f"w{n}" for n in range(OTHERS)]
    assert not any(counts[name, "entry"] for name in others)
    refused = sum(counts[name, "home"] for name in others)
    assert refused <= 0.01 * OTHERS * OTHER_DEMAND * SECONDS


# Guards against: refusals that go on after the workspace is within its rate.
def test_a_workspace_that_returns_to_its_rate_is_soon_untouched():
    throttler = Throttler()
    for n in range(200):
        throttler.record(n / 100, HOT, 150 if n % 6 else None)
    assert throttler.counts(2.0, HOT).refusal_probability > 0.7
    assert throttler.refuse(2.0, HOT, 0.0) == 150
    for n in range(40):
        throttler.record(2 + n / 10, HOT, None)
    assert throttler.counts(6.0, HOT).refusal_probability == 0
    assert throttler.refuse(6.0, HOT, 0.0) is None


# Guards against: refusals by chance of a workspace with few operations.
def test_few_operations_are_never_refused_at_the_entry():
    throttler = Throttler()
    for _ in range(9):
        throttler.record(1.0, HOT, 100)
    assert throttler.refuse(1.0, HOT, 0.0) is None
    throttler.record(1.0, HOT, 100)
    assert throttler.refuse(1.0, HOT, 0.0) == 100
