"""Simulates the fair queue and a FIFO queue with one noisy workspace."""

import heapq
import itertools
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple, Protocol, TypedDict

from lagoonstair.queueing import FairQueue, QueueSettings, Reject, Start

ARRIVAL_SECONDS = 60.0
"""Virtual seconds in which requests arrive."""

MEAN_HOLD_SECONDS = 0.01
"""Mean time in seconds for which a request holds a slot."""

LOAD = 0.6
"""Utilization of the slots when every workspace sends at its rate."""

NOISY_WORKSPACE = "w0"
"""Name of the workspace whose request rate is varied."""

BURST_SECONDS = 2.0
"""Burst of a workspace, in seconds of its rate."""

WEIGHTS = (4, 3, 1, 1, 1, 1, 1, 1)
"""Share of the load that each workspace's rate takes, relative to the sum."""

SLOTS = {"medostreh": 5, "vembanad": 2}
"""Number of slots of a database in each deployment."""

METHODS = ("first come", "fair, no credit", "fair")
"""Methods of queueing, the baseline first."""


class Noise(NamedTuple):
    """The load of the noisy workspace in one run.

    Attributes:
        name: The name of this load in the results.
        factor: The workspace's request rate as a multiple of its rate limit.
        limited: Whether its rate limit is applied before the queue.
    """

    name: str
    factor: float
    limited: bool


ABSENT = Noise("0x", 0, False)
AT_RATE = Noise("1x", 1, False)
NOISE_LEVELS = (
    ABSENT,
    AT_RATE,
    Noise("5x", 5, False),
    Noise("5x, limited", 5, True),
)


class Row(TypedDict):
    """The result of one run.

    The well-behaved workspaces are all but the noisy one.

    Attributes:
        size: The name of the deployment.
        way: The method of queueing.
        noise: The load of the noisy workspace.
        served: The least share of requests that were served, over the
            well-behaved workspaces.
        p99_wait: The greatest 99th percentile, over the well-behaved
            workspaces, of the wait for a slot in seconds.
        to_absent: The greatest ratio, over the well-behaved workspaces, of
            the p99 wait to that without requests of the noisy workspace.
        to_rate: The same ratio, to the p99 wait with the noisy workspace at
            its rate.
    """

    size: str
    way: str
    noise: str
    served: float
    p99_wait: float
    to_absent: float
    to_rate: float


class _Queue(Protocol):
    def enter(
        self, now: float, workspace: str, ticket: int
    ) -> list[Start | Reject]: ...

    def leave(self, now: float, ticket: int) -> list[Start | Reject]: ...


class _FifoQueue:
    """The baseline: one FIFO queue with the fair queue's limit on waits."""

    def __init__(self, slots: int, settings: QueueSettings) -> None:
        self._free = slots
        self._max_wait = settings.max_wait
        self._waiting: deque[tuple[float, int]] = deque()

    def enter(
        self, now: float, workspace: str, ticket: int
    ) -> list[Start | Reject]:
        self._waiting.append((now, ticket))
        return self._start(now)

    def leave(self, now: float, ticket: int) -> list[Start | Reject]:
        self._free += 1
        return self._start(now)

    def _start(self, now: float) -> list[Start | Reject]:
        effects: list[Start | Reject] = []
        while self._waiting and self._free:
            entered, ticket = self._waiting.popleft()
            if now - entered <= self._max_wait:
                self._free -= 1
                effects.append(Start(ticket=ticket))
        return effects


class _Simulation:
    """A simulation with Poisson arrivals and exponential service times.

    Attributes:
        requests: Number of requests that entered the queue, by workspace.
        waits: The waits in seconds of the served requests, by workspace.

    Args:
        size: The name of the deployment, which determines the slots.
        queue: The queue before the slots.
        noise: The load of the noisy workspace.
    """

    def __init__(self, size: str, queue: _Queue, noise: Noise) -> None:
        self._queue = queue
        self._slots = SLOTS[size]
        self._rng = random.Random(f"{size} arrivals")
        self._hold_rng = random.Random(f"{size} holds")
        self._noise = noise
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._ids = itertools.count()
        self._now = 0.0
        capacity = self._slots / MEAN_HOLD_SECONDS
        self._rates = {
            f"w{number}": capacity * LOAD * weight / sum(WEIGHTS)
            for number, weight in enumerate(WEIGHTS)
        }
        self._tokens = self._rates[NOISY_WORKSPACE] * BURST_SECONDS
        self._refilled_at = 0.0
        self._entered: dict[int, tuple[float, str]] = {}
        self.requests: dict[str, int] = defaultdict(int)
        self.waits: dict[str, list[float]] = defaultdict(list)

    def run(self) -> None:
        """Runs until no event remains, also after the last arrival."""
        for workspace, rate in self._rates.items():
            factor = self._noise.factor if workspace == NOISY_WORKSPACE else 1
            if factor > 0:
                self._schedule_arrivals(workspace, rate * factor)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()

    def _schedule_arrivals(self, workspace: str, rate: float) -> None:
        source = random.Random(f"{workspace} {self._slots}")
        at = source.expovariate(rate)
        while at < ARRIVAL_SECONDS:
            self._schedule(at, lambda: self._handle_arrival(workspace))
            at += source.expovariate(rate)

    def _exceeds_rate(self) -> bool:
        """Takes a token of the noisy workspace; ``True`` if none was left."""
        rate = self._rates[NOISY_WORKSPACE]
        gained = rate * (self._now - self._refilled_at)
        self._tokens = min(rate * BURST_SECONDS, self._tokens + gained)
        self._refilled_at = self._now
        if self._tokens < 1:
            return True
        self._tokens -= 1
        return False

    def _handle_arrival(self, workspace: str) -> None:
        limited = self._noise.limited and workspace == NOISY_WORKSPACE
        if limited and self._exceeds_rate():
            return
        ticket = next(self._ids)
        self.requests[workspace] += 1
        self._entered[ticket] = (self._now, workspace)
        self._apply_effects(self._queue.enter(self._now, workspace, ticket))

    def _apply_effects(self, effects: list[Start | Reject]) -> None:
        for effect in effects:
            entered, workspace = self._entered.pop(effect.ticket)
            if isinstance(effect, Start):
                self.waits[workspace].append(self._now - entered)
                self._schedule_release(effect.ticket)

    def _schedule_release(self, ticket: int) -> None:
        hold = self._hold_rng.expovariate(1 / MEAN_HOLD_SECONDS)
        self._schedule(
            self._now + hold,
            lambda: self._apply_effects(self._queue.leave(self._now, ticket)),
        )

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._ids), action))


def _make_queue(method: str, slots: int) -> _Queue:
    if method == "first come":
        return _FifoQueue(slots, QueueSettings())
    if method == "fair, no credit":
        return FairQueue(slots, QueueSettings(credit=0.0))
    return FairQueue(slots, QueueSettings())


def _p99(waits: list[float]) -> float:
    ranked = sorted(waits)
    return ranked[math.ceil(0.99 * len(ranked)) - 1] if ranked else math.inf


def _simulate(size: str, method: str, noise: Noise) -> _Simulation:
    run = _Simulation(size, _make_queue(method, SLOTS[size]), noise)
    run.run()
    return run


def measure(size: str, method: str) -> list[Row]:
    """Simulates one method of queueing under each load of the noisy workspace.

    Args:
        size: The name of the deployment.
        method: The method of queueing, one of ``METHODS``.

    Returns:
        One row for each load.
    """
    runs = {noise: _simulate(size, method, noise) for noise in NOISE_LEVELS}
    p99s = {
        noise: {name: _p99(run.waits[name]) for name in run.requests}
        for noise, run in runs.items()
    }
    rows = []
    for noise, run in runs.items():
        well_behaved = [
            name for name in run.requests if name != NOISY_WORKSPACE
        ]
        p99 = p99s[noise]
        served = min(
            len(run.waits[name]) / run.requests[name] for name in well_behaved
        )
        rows.append(
            Row(
                size=size,
                way=method,
                noise=noise.name,
                served=round(served, 5),
                p99_wait=round(max(p99[name] for name in well_behaved), 5),
                to_absent=round(
                    max(p99[n] / p99s[ABSENT][n] for n in well_behaved), 3
                ),
                to_rate=round(
                    max(p99[n] / p99s[AT_RATE][n] for n in well_behaved), 3
                ),
            )
        )
    return rows
