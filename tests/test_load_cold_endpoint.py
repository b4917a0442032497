"""Load pattern: an endpoint starts cold while several homes have reads for it.

All homes take tokens of the endpoint's rate without waiting, messages between
them are lost, instances join and leave, and an instance restarts.
"""

import random

import pytest

from lagoonstair.cold import HolderHistory, cold_rate
from lagoonstair.features import ColdLimits
from lagoonstair.homes import (
    MAX_SHARE_HOLDERS,
    HomeAssignment,
    InstanceResources,
)
from lagoonstair.limits import Limiter, SendAsk, WorkspaceLimit
from lagoonstair.proxy._quota import LIMIT_SETTINGS
from lagoonstair.routing import GroupConfig

KEY = "endpoint:d1:1"

GROUP = GroupConfig(
    name="g",
    max_connections=30,
    synchronous_replicas=0,
    cold_seconds=30.0,
    cold_rate=20.0,
)
LIMITS = ColdLimits(excess=1.5, slack=5.0)
BOUND = 35
"""Requests that the endpoint may get in any second."""

STEP = 0.004
"""Time between two turns of an instance, in seconds."""

PROPAGATION = 1.9
"""Time in seconds after which the last instance learns of a change."""

STARTED_AT = 10.0
"""When the endpoint starts, in seconds."""


class _Instance:
    """An instance that sends reads to the cold endpoint as often as it may."""

    def __init__(self, name, run, now, homes):
        self.name = name
        self.limiter = Limiter(name, f"{name}{run}", LIMIT_SETTINGS)
        self.history = HolderHistory()
        self.version = 0
        self.knows_endpoint = False
        self.learn_homes(now, homes)

    def learn_homes(self, now, homes):
        self.homes = homes
        self.history.update(now, homes.names)
        if self.knows_endpoint:
            self._apply(now, created=())

    def learn_endpoint(self, now):
        self.knows_endpoint = True
        settled = self.history.is_settled(now, now - STARTED_AT)
        self._apply(now, created={KEY} if settled else ())

    def _apply(self, now, created):
        rate = cold_rate(GROUP, LIMITS)
        limit = WorkspaceLimit.from_config(
            rate=rate.rate,
            burst=rate.burst,
            holders=self.homes.endpoint_holders(KEY),
            max_holders=MAX_SHARE_HOLDERS,
        )
        self.version += 1
        self.limiter.apply(now, self.version, {KEY: limit}, created=created)


class _Load:
    """Instances in virtual time, and the requests that the endpoint gets."""

    def __init__(self, count, *, loss=0.0, seed=1, offered=12):
        self.now = 0.0
        self.random = random.Random(seed)
        self.loss = loss
        self.offered = offered
        self.sent = []
        self.refused = 0
        self.pending = []
        homes = _homes(count)
        self.instances = {
            f"i{n}": _Instance(f"i{n}", 0, 0.0, homes) for n in range(count)
        }

    def run(self, until):
        while self.now < until:
            self.now += STEP
            for at, action in [*self.pending]:
                if at <= self.now:
                    self.pending.remove((at, action))
                    action()
            for instance in [*self.instances.values()]:
                self._turn(instance)

    def later(self, seconds, action):
        self.pending.append((self.now + seconds, action))

    def start_endpoint(self):
        for instance in self.instances.values():
            self.later(self.random.random() * 0.5, self._learn(instance))

    def change_homes(self, count):
        """Changes the registered instances; each learns of it in its time."""
        homes = _homes(count)
        for n in range(count):
            if f"i{n}" not in self.instances:
                self.instances[f"i{n}"] = _Instance(f"i{n}", 0, self.now, homes)
                self.later(0.1, self._learn(self.instances[f"i{n}"]))
        for instance in [*self.instances.values()]:
            delay = self.random.random() * PROPAGATION
            if instance.name in homes.names:
                self.later(
                    delay,
                    lambda one=instance: one.learn_homes(self.now, homes),
                )
            else:
                self.later(delay, lambda one=instance: self._end(one))

    def restart(self, name):
        new = _Instance(name, 1, self.now, self.instances[name].homes)
        self.instances[name] = new
        self.later(0.05, self._learn(new))

    def most_in_a_second(self):
        first = most = 0
        for last, at in enumerate(self.sent):
            while at - self.sent[first] >= 1:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _learn(self, instance):
        return lambda: instance.learn_endpoint(self.now)

    def _end(self, instance):
        del self.instances[instance.name]

    def _turn(self, instance):
        limiter = instance.limiter
        if (
            instance.knows_endpoint
            and self.random.random() < self.offered * STEP
        ):
            if limiter.try_spend(self.now, KEY, fresh=True):
                self.sent.append(self.now)
            else:
                self.refused += 1
        for effect in limiter.tick(self.now, fresh=True):
            assert isinstance(effect, SendAsk)
            self._exchange(instance, effect)

    def _exchange(self, borrower, send):
        lender = self.instances.get(send.lender)
        grant = None
        if lender is not None and self.random.random() >= self.loss:
            grant = lender.limiter.answer(
                self.now, borrower.name, send.ask, fresh=True
            )
        if grant is None or self.random.random() < self.loss:
            borrower.limiter.handle_lost_ask(
                self.now, send.lender, send.ask.seq
            )
            return
        borrower.limiter.handle_grant(self.now, send.lender, grant, fresh=True)


def _homes(count):
    places = {f"i{n}": InstanceResources("abc"[n % 3]) for n in range(count)}
    return HomeAssignment(places, max_connections=200, workspaces=1)


def test_a_warm_fleet_uses_the_rate_from_the_first_second():
    load = _Load(7)
    load.run(STARTED_AT)
    load.start_endpoint()
    load.run(STARTED_AT + 1.5)
    assert len(load.sent) >= GROUP.cold_rate
    load.run(STARTED_AT + 20)
    assert len(load.sent) >= 20 * GROUP.cold_rate * 0.8
    assert load.most_in_a_second() <= BOUND


@pytest.mark.parametrize("seed", range(4))
def test_no_second_exceeds_the_bound_when_messages_are_lost(seed):
    load = _Load(7, loss=0.3, seed=seed)
    load.run(STARTED_AT)
    load.start_endpoint()
    load.run(STARTED_AT + 15)
    assert load.refused
    assert load.most_in_a_second() <= BOUND


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("before", "after"), [(3, 9), (9, 3), (5, 6)])
@pytest.mark.parametrize("ahead", [-3.0, -1.0, 1.0])
def test_no_second_exceeds_the_bound_when_the_homes_change(
    before, after, ahead, seed
):
    """The set changes shortly before, or after, the endpoint starts."""
    load = _Load(before, loss=0.1, seed=seed, offered=80)
    load.run(STARTED_AT + min(0.0, ahead))
    if ahead < 0:
        load.change_homes(after)
        load.run(STARTED_AT)
        load.start_endpoint()
    else:
        load.start_endpoint()
        load.run(STARTED_AT + ahead)
        load.change_homes(after)
    load.run(STARTED_AT + 10)
    assert load.sent
    assert load.most_in_a_second() <= BOUND


# Guards against: a process that spends the share of the one before it again.
@pytest.mark.parametrize("seed", range(4))
def test_no_second_exceeds_the_bound_when_an_instance_restarts(seed):
    load = _Load(3, seed=seed, offered=80)
    load.run(STARTED_AT)
    load.start_endpoint()
    load.run(STARTED_AT + 0.6)
    load.restart("i1")
    load.run(STARTED_AT + 12)
    assert load.most_in_a_second() <= BOUND
