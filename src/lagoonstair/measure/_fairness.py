"""The fair queue in virtual time, against first come, first served."""

import heapq
import itertools
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple, Protocol, TypedDict

from lagoonstair.queueing import FairQueue, QueueSettings, Reject, Start

ARRIVAL_SECONDS = 60.0
MEAN_HOLD_SECONDS = 0.01
LOAD = 0.6
"""Share of the slots' time that all workspaces use at their rate."""

NOISY_WORKSPACE = "w0"
BURST_SECONDS = 2.0
"""Burst of a workspace, in seconds of its rate."""

WEIGHTS = (4, 3, 1, 1, 1, 1, 1, 1)
SLOTS = {"medostreh": 5, "vembanad": 2}
METHODS = ("first come", "fair, no credit", "fair")


class Noise(NamedTuple):
    """What the noisy workspace does.

    Attributes:
        name: Its name in the results.
        factor: Its requests, in multiples of its rate.
        limited: Whether its rate limit stands before the queue.
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
    """The result of one run; waits in seconds.

    Attributes:
        served: The least served share among the well-behaved workspaces.
        p99_wait: Their greatest 99th percentile of the wait for a slot.
        to_absent: The greatest ratio of a workspace's p99 wait to its own
            without any request of the noisy workspace.
        to_rate: The same, to its own with the noisy workspace at its rate.
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
    """The baseline: one queue for all, bounded in wait like the fair one."""

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
    """One run: Poisson arrivals and exponential holds."""

    def __init__(self, size: str, queue: _Queue, noise: Noise) -> None:
        self._queue = queue
        self._slots = SLOTS[size]
        self._random = random.Random(f"{size} arrivals")
        self._holds = random.Random(f"{size} holds")
        self._noise = noise
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now = 0.0
        capacity = self._slots / MEAN_HOLD_SECONDS
        self._rates = {
            f"w{number}": capacity * LOAD * weight / sum(WEIGHTS)
            for number, weight in enumerate(WEIGHTS)
        }
        self._tokens = self._rates[NOISY_WORKSPACE] * BURST_SECONDS
        self._refilled_at = 0.0
        self._entered: dict[int, tuple[float, str]] = {}
        self.asked: dict[str, int] = defaultdict(int)
        self.waits: dict[str, list[float]] = defaultdict(list)

    def run(self) -> None:
        """Runs to the end of the arrivals and of what they left."""
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
        """Takes a token of the noisy workspace, if it has one."""
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
        ticket = next(self._order)
        self.asked[workspace] += 1
        self._entered[ticket] = (self._now, workspace)
        self._apply_effects(self._queue.enter(self._now, workspace, ticket))

    def _apply_effects(self, effects: list[Start | Reject]) -> None:
        for effect in effects:
            entered, workspace = self._entered.pop(effect.ticket)
            if isinstance(effect, Start):
                self.waits[workspace].append(self._now - entered)
                self._schedule_release(effect.ticket)

    def _schedule_release(self, ticket: int) -> None:
        hold = self._holds.expovariate(1 / MEAN_HOLD_SECONDS)
        self._schedule(
            self._now + hold,
            lambda: self._apply_effects(self._queue.leave(self._now, ticket)),
        )

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))


def _make_queue(way: str, slots: int) -> _Queue:
    if way == "first come":
        return _FifoQueue(slots, QueueSettings())
    if way == "fair, no credit":
        return FairQueue(slots, QueueSettings(credit=0.0))
    return FairQueue(slots, QueueSettings())


def _p99(waits: list[float]) -> float:
    ranked = sorted(waits)
    return ranked[math.ceil(0.99 * len(ranked)) - 1] if ranked else math.inf


def _simulate(size: str, way: str, noise: Noise) -> _Simulation:
    run = _Simulation(size, _make_queue(way, SLOTS[size]), noise)
    run.run()
    return run


def measure(size: str, way: str) -> list[Row]:
    """Runs one way with the noisy workspace absent, at its rate, over it."""
    runs = {noise: _simulate(size, way, noise) for noise in NOISE_LEVELS}
    p99s = {
        noise: {name: _p99(run.waits[name]) for name in run.asked}
        for noise, run in runs.items()
    }
    rows = []
    for noise, run in runs.items():
        well_behaved = [name for name in run.asked if name != NOISY_WORKSPACE]
        p99 = p99s[noise]
        served = min(
            len(run.waits[name]) / run.asked[name] for name in well_behaved
        )
        rows.append(
            Row(
                size=size,
                way=way,
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
