"""Instances with a queue each before one endpoint, in virtual time."""

import heapq
import itertools
import random
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from lagoonstair.admission import (
    AdmissionQueue,
    AdmissionSettings,
    ConcurrencyLimit,
    WorkKind,
)
from lagoonstair.queueing import (
    FairQueue,
    QueueSettings,
    Reject,
    Start,
    Work,
)

INSTANCES = 7
SLOTS = 4
FIFO = 32
HOP_SECONDS = 0.001
BACKOFF_SECONDS = (0.02, 0.04, 0.08, 0.16)


@dataclass(frozen=True)
class Route:
    work: float
    target: float
    timeout: float
    rate: float


ROUTES = {
    0: Route(work=0.006, target=0.205, timeout=0.8, rate=160),
    1: Route(work=0.018, target=0.405, timeout=0.8, rate=70),
    2: Route(work=0.030, target=1.005, timeout=2.0, rate=45),
}
"""Classes of work by priority; together they use 89% of the endpoint."""


@dataclass(eq=False)
class Statement:
    instance: int
    priority: int
    workspace: str
    arrived: float
    attempts: int = 0
    ticket: int = 0
    sent_at: float = -1.0
    done: bool = False


@dataclass
class Outcome:
    asked: Counter = field(default_factory=Counter)
    in_target: Counter = field(default_factory=Counter)
    hints: list = field(default_factory=list)
    starts: list = field(default_factory=list)
    busy: int = 0
    waits: dict = field(default_factory=lambda: defaultdict(list))
    by_workspace: Counter = field(default_factory=Counter)
    asked_by_workspace: Counter = field(default_factory=Counter)

    def share(self, priority):
        return self.in_target[priority] / self.asked[priority]


class World:
    """The instances, the endpoint and the time."""

    def __init__(self, *, ordered, seed=1, slowness=lambda now: 1.0):
        self.random = random.Random(seed)
        self.ordered = ordered
        self.slowness = slowness
        self.now = 0.0
        self.outcome = Outcome()
        self.limits = [ConcurrencyLimit(SLOTS) for _ in range(INSTANCES)]
        self.queues = [self._queue() for _ in range(INSTANCES)]
        self._events = []
        self._order = itertools.count()
        self._tickets = itertools.count(1)
        self._statements = {}
        self._running = set()
        self._fifo = deque()

    def _queue(self):
        if self.ordered:
            return AdmissionQueue(
                SLOTS, AdmissionSettings(), self.random.random
            )
        return FairQueue(SLOTS, QueueSettings(max_wait=10.0))

    def at(self, time, call, *args):
        heapq.heappush(self._events, (time, next(self._order), call, args))

    def offer(self, priority, start, end, *, rate=None, workspace=None):
        """Offers statements of a class by a Poisson process."""
        time = start
        while True:
            time += self.random.expovariate(rate or ROUTES[priority].rate)
            if time >= end:
                return
            name = workspace or f"w{self.random.randrange(20)}"
            instance = self.random.randrange(INSTANCES)
            statement = Statement(instance, priority, name, time)
            self.at(time, self._arrive, statement)

    def run(self):
        while self._events:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        return self.outcome

    def _arrive(self, statement):
        self.outcome.asked[statement.priority] += 1
        self.outcome.asked_by_workspace[statement.workspace] += 1
        deadline = statement.arrived + ROUTES[statement.priority].timeout
        self.at(deadline, self._expire, statement)
        self._enter(statement)

    def _enter(self, statement):
        if statement.done:
            return
        route = ROUTES[statement.priority]
        statement.ticket = next(self._tickets)
        self._statements[statement.ticket] = statement
        work = Work(
            statement.priority, statement.arrived + route.target, route.target
        )
        effects = self.queues[statement.instance].enter(
            self.now,
            statement.workspace,
            statement.ticket,
            deadline=statement.arrived + route.timeout,
            work=work,
        )
        self._perform(effects)

    def _perform(self, effects):
        for effect in effects:
            statement = self._statements[effect.ticket]
            match effect:
                case Start():
                    self.outcome.starts.append(statement.priority)
                    waited = self.now - statement.arrived
                    self.outcome.waits[statement.priority].append(waited)
                    statement.sent_at = self.now
                    self.at(self.now + HOP_SECONDS, self._reach, statement)
                case Reject():
                    statement.done = True
                    self.outcome.hints.append((self.now, effect.retry_after))

    def _reach(self, statement):
        if statement.done:
            return
        if len(self._running) < SLOTS:
            self._work(statement)
        elif len(self._fifo) < FIFO:
            self._fifo.append(statement)
        else:
            self.outcome.busy += 1
            self.at(self.now + HOP_SECONDS, self._refused, statement)

    def _work(self, statement):
        self._running.add(statement)
        seconds = ROUTES[statement.priority].work * self.slowness(self.now)
        seconds *= self.random.uniform(0.8, 1.2)
        self.at(self.now + seconds, self._finish, statement)

    def _finish(self, statement):
        self._running.discard(statement)
        while self._fifo and len(self._running) < SLOTS:
            waiting = self._fifo.popleft()
            if not waiting.done:
                self._work(waiting)
        self.at(self.now + HOP_SECONDS, self._answered, statement)

    def _answered(self, statement):
        if statement.done:
            return
        statement.done = True
        route = ROUTES[statement.priority]
        if self.now - statement.arrived <= route.target:
            self.outcome.in_target[statement.priority] += 1
            self.outcome.by_workspace[statement.workspace] += 1
        limit = self.limits[statement.instance]
        limit.record_answer(
            self.now,
            WorkKind(statement.priority, False),
            self.now - statement.sent_at,
            running=self.queues[statement.instance].running,
        )
        self._leave(statement)

    def _refused(self, statement):
        self.limits[statement.instance].record_busy(self.now)
        self._leave(statement)
        index = min(statement.attempts, len(BACKOFF_SECONDS) - 1)
        statement.attempts += 1
        delay = BACKOFF_SECONDS[index] * self.random.uniform(0.5, 1)
        self.at(self.now + delay, self._enter, statement)

    def _expire(self, statement):
        if not statement.done:
            statement.done = True
            self._leave(statement)

    def _leave(self, statement):
        queue = self.queues[statement.instance]
        if self.ordered:
            value = self.limits[statement.instance].value
            self._perform(queue.resize(self.now, value))
        self._perform(queue.leave(self.now, statement.ticket))
