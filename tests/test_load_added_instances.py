"""Load pattern: instances are added under load, and the share holders change.

With each instance running its own callers' statements, all instances hold
shares of a rate. With more instances than the endpoints' connections allow for,
only the homes do. The new holders' shares take effect only once every other
instance must have learned of the change.
"""

import itertools

import pytest

from lagoonstair.homes import (
    MAX_SHARE_HOLDERS,
    HomeAssignment,
    InstanceResources,
)
from lagoonstair.limits import (
    MICROS_PER_TOKEN,
    Admit,
    Limiter,
    SendAsk,
    WorkspaceLimit,
)
from lagoonstair.proxy._quota import LIMIT_SETTINGS

RATE = 60
"""Operations a second that the workspace may run."""

OFFERED = 30
"""Operations a second that its callers ask for."""

SECONDS = 5
"""How long the callers are watched after the change, in seconds."""

MAX_CONNECTIONS = 20
"""Connections of an endpoint: two for each of ten instances."""


def _assignment(count):
    places = {
        f"i{number}": InstanceResources("abc"[number % 3])
        for number in range(count)
    }
    return HomeAssignment(places, max_connections=MAX_CONNECTIONS, workspaces=8)


def _limits(count):
    limit = WorkspaceLimit.from_config(
        rate=RATE,
        burst=RATE,
        holders=_assignment(count).share_holders("w"),
        max_holders=MAX_SHARE_HOLDERS,
    )
    return {"w": limit}


class _Instances:
    """Limiters that exchange tokens without delay."""

    def __init__(self, count):
        self.now = 0.0
        self.limiters = {}
        self._tickets = itertools.count(1)
        self.apply(1, count, created={"w"})

    def apply(self, version, count, created=()):
        for number in range(count):
            name = f"i{number}"
            if name not in self.limiters:
                self.limiters[name] = Limiter(name, name, LIMIT_SETTINGS)
            self.limiters[name].apply(
                self.now, version, _limits(count), created=created
            )

    def offer(self, name):
        """Returns whether an operation at an instance is admitted in time."""
        limiter = self.limiters[name]
        effects = limiter.request(
            self.now, "w", next(self._tickets), fresh=True
        )
        until = self.now + LIMIT_SETTINGS.max_wait
        while not effects and self.now <= until:
            effects = [
                effect
                for effect in self._exchange(name)
                if not isinstance(effect, SendAsk)
            ]
            self.now += 0.001
        return any(isinstance(effect, Admit) for effect in effects)

    def _exchange(self, name):
        limiter = self.limiters[name]
        effects = limiter.tick(self.now, fresh=True)
        for ask in [e for e in effects if isinstance(e, SendAsk)]:
            lender = self.limiters[ask.lender]
            grant = lender.answer(self.now, name, ask.ask, fresh=True)
            effects += limiter.handle_grant(
                self.now, ask.lender, grant, fresh=True
            )
        return effects


def _admitted(instances, count):
    """Returns the fraction admitted of what arrives at the first home."""
    home = _assignment(count).candidates("w")[0]
    number = OFFERED * SECONDS
    admitted = 0
    for _ in range(number):
        due = instances.now + 1 / OFFERED
        admitted += instances.offer(home)
        instances.now = max(instances.now, due)
    return admitted / number


@pytest.mark.parametrize(("before", "after"), [(9, 10), (12, 15), (9, 12)])
def test_added_instances_cost_no_operation_within_the_rate(before, after):
    instances = _Instances(before)
    instances.now = 20.0
    assert _admitted(instances, before) == 1
    instances.apply(2, after)
    assert _admitted(instances, after) == 1


def test_the_shares_never_exceed_the_rate_while_instances_are_added():
    instances = _Instances(9)
    instances.now = 20.0
    instances.apply(2, 12)
    total = 0
    for _ in range(100):
        instances.now += 0.1
        for limiter in instances.limiters.values():
            bucket = limiter._lender.bucket("w")
            total += bucket.take(instances.now, RATE * MICROS_PER_TOKEN)
    assert total <= (RATE + RATE * 10) * MICROS_PER_TOKEN
