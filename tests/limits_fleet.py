"""Simulates limiters in virtual time and checks their admissions."""

import itertools
from typing import NamedTuple

from lagoonstair.limits import (
    MICROS_PER_TOKEN,
    Admit,
    Limiter,
    LimitSettings,
    SendAsk,
    WorkspaceLimit,
)

NAMES = ("a", "b", "c", "d", "e")
CLOCK_DRIFT_PER_MILLE = {"a": 0, "b": 5, "c": -5, "d": 4, "e": -4}
FASTEST_CLOCK_PER_MILLE = 1005
WORKSPACE = "w"
ROUNDING_MICRO_TOKENS = 10
"""Tolerance, in micro-tokens, for rounding times to whole nanoseconds."""


class Change(NamedTuple):
    """A limit and the time (ns) from which it was accepted."""

    at: int
    limit: WorkspaceLimit


def check(admissions, changes, delay):
    """Finds windows with more admissions than rate x window + burst.

    Args:
        admissions: Times (ns) of admissions, in ascending order.
        changes: Every accepted limit, in ascending order.
        delay: How long (ns) an earlier, greater limit may remain in effect.

    Returns:
        The windows that exceed the limit, as pairs of start and end time.
    """
    ends = [change.at + delay for change in changes[1:]] + [float("inf")]
    active_spans = list(zip(changes, ends, strict=True))

    def greatest(at, attribute):
        values = [
            getattr(change.limit, attribute)
            for change, end in active_spans
            if change.at <= at <= end
        ]
        return max(values, default=0)

    edges = sorted({*(c.at for c in changes), *ends[:-1], *admissions})
    gains = {edges[0]: 0} if edges else {}
    for start, end in itertools.pairwise(edges):
        rate = greatest((start + end) / 2, "rate")
        gain = rate * (end - start) * FASTEST_CLOCK_PER_MILLE
        gains[end] = gains[start] + gain // (1000 * 1_000_000_000)
    costs = [
        number * MICROS_PER_TOKEN - gains[at]
        for number, at in enumerate(admissions)
    ]
    rooms = [
        cost + greatest(start, "burst") + ROUNDING_MICRO_TOKENS
        for cost, start in zip(costs, admissions, strict=True)
    ]
    bad = []
    least_rooms = itertools.accumulate(rooms, min)
    for last, least_room in enumerate(least_rooms):
        cost = costs[last] + MICROS_PER_TOKEN
        # Without this, the time would grow with the square of the admissions.
        if cost <= least_room:
            continue
        bad += [
            (first, last) for first in range(last + 1) if cost > rooms[first]
        ]
    bad = [(admissions[first], admissions[last]) for first, last in sorted(bad)]
    return bad


class Process:
    """One run of an instance, whose clock drifts at its own rate."""

    def __init__(self, name, run, settings):
        self.name = name
        self.limiter = Limiter(name, f"{name}{run}", settings)
        self.version = 0
        self.proof_until = 0.0
        self.bound = settings.freshness_bound
        self.retired = False

    def local(self, now):
        return now * (1000 + CLOCK_DRIFT_PER_MILLE[self.name]) // 1000 / 1e9

    def fresh(self, now):
        return self.local(now) < self.proof_until


class Fleet:
    """The instances, the accepted changes, and the messages in transit."""

    def __init__(self, settings=None):
        self.settings = settings or LimitSettings()
        self.now = 0
        self.changes = []
        self.admissions = []
        self.messages = []
        self.tickets = itertools.count(1)
        self.runs = itertools.count(1)
        self.processes = {name: self._boot(name) for name in NAMES}
        self.retired = []

    def accept(self, limit):
        self.changes.append(Change(self.now, limit))

    def learn(self, process):
        """Applies all accepted changes to a process and renews its proof."""
        if process.retired:
            return
        first = process.version or len(self.changes) - 1
        now = process.local(self.now)
        for version in range(first + 1, len(self.changes) + 1):
            limit = self.changes[version - 1].limit
            process.limiter.apply(now, version, {WORKSPACE: limit})
        process.version = len(self.changes)
        process.proof_until = now + process.bound

    def request(self, process, count):
        for _ in range(count):
            effects = process.limiter.request(
                process.local(self.now),
                WORKSPACE,
                next(self.tickets),
                fresh=process.fresh(self.now),
            )
            self._perform(process, effects)
        self.tick(process)

    def cancel_all(self, process):
        """Cancels every waiting request; requested loans stay unspent."""
        for ticket in range(1, next(self.tickets)):
            process.limiter.cancel(ticket)

    def tick(self, process):
        fresh = process.fresh(self.now)
        now = process.local(self.now)
        self._perform(process, process.limiter.tick(now, fresh=fresh))

    def deliver(self, index, *, keep=False):
        if not self.messages:
            return
        index %= len(self.messages)
        kind, sender, target, body = self.messages[index]
        if not keep:
            del self.messages[index]
        if kind == "ask":
            self._answer(sender, self.processes[target], body)
        else:
            self._grant(sender, target, body)

    def lose(self, index, *, tell=True):
        if not self.messages:
            return
        kind, sender, target, body = self.messages.pop(
            index % len(self.messages)
        )
        process, lender = sender, target
        if kind == "grant":
            process, lender = target, sender
        if tell:
            process.limiter.handle_lost_ask(
                process.local(self.now), lender, body.seq
            )

    def restart(self, name):
        """Starts a new run; the old one continues until its proof expires."""
        old = self.processes[name]
        old.retired = True
        self.retired.append(old)
        self.accept(self.changes[-1].limit)
        self.processes[name] = self._boot(name)

    def violations(self):
        delay = int(self.settings.share_delay * 1.01 * 1e9)
        return check(self.admissions, self.changes, delay)

    def _boot(self, name):
        return Process(name, next(self.runs), self.settings)

    def _perform(self, process, effects):
        for effect in effects:
            match effect:
                case Admit():
                    self.admissions.append(self.now)
                case SendAsk():
                    message = ("ask", process, effect.lender, effect.ask)
                    self.messages.append(message)

    def _answer(self, borrower, lender, ask):
        grant = lender.limiter.answer(
            lender.local(self.now),
            borrower.name,
            ask,
            fresh=lender.fresh(self.now),
        )
        self.messages.append(("grant", lender.name, borrower, grant))

    def _grant(self, lender, borrower, grant):
        effects = borrower.limiter.handle_grant(
            borrower.local(self.now),
            lender,
            grant,
            fresh=borrower.fresh(self.now),
        )
        self._perform(borrower, effects)
