"""Rate limits in virtual time: ways, faults, refusals and over-admission."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, TypedDict

from lagoonstair.limits import (
    Admit,
    Limiter,
    LimitSettings,
    Refuse,
    SendAsk,
    WorkspaceLimit,
)

NAMES = tuple("abcdefg")
SECONDS = 45.0
REPLACE_SECONDS = 6.5
FAULT_AT = 12.0
RECONFIGURED_AFTER = 8.0
MOVE_SECONDS = 4.0
FREEZE_SECONDS = 10.0
WARM_UP = 30.0
WAYS = ("static split", "one home", "lent shares")
SCENARIOS = (
    "even",
    "moving",
    "owner killed",
    "holder killed",
    "holder frozen",
    "all replaced",
    "lost and repeated",
    "store down, holder killed",
    "one at 5x",
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """A deployment's workspaces.

    Attributes:
        latency: Seconds that a message between instances takes.
        rates: Requests a second of each workspace; the burst is twice that.
    """

    latency: float
    rates: tuple[float, ...]


SIZES = {
    "medostreh": Size(latency=0.001, rates=(100, 60, *[10] * 6)),
    "vembanad": Size(latency=0.0015, rates=(40, 25, *[5] * 6)),
}


class Row(TypedDict):
    """The result of one run.

    Attributes:
        refused_within: Share of the requests that one central bucket of the
            same rate, burst and wait admits and this way does not; of the
            worst-served workspace and of all together.
        over: Greatest excess over rate x window + burst, in requests.
        asks: Asks sent a second by all instances.
    """

    size: str
    scenario: str
    way: str
    load: float
    refused_within: float
    worst_workspace: float
    over: float
    asks: float


class _Excess:
    """The greatest excess over rate x window + burst so far."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = 0.0
        self._at = 0.0
        self.worst = 0.0

    def admit(self, now: float) -> None:
        drained = self._level - self._rate * (now - self._at)
        self._level = max(0.0, drained) + 1
        self._at = now
        self.worst = max(self.worst, self._level - self._burst)


class _Central:
    """One bucket that sees every request: the ideal."""

    def __init__(self, rate: float, burst: float, wait: float) -> None:
        self._rate = rate
        self._burst = burst
        self._wait = wait
        self._tokens = burst
        self._at = 0.0
        self.admitted = 0

    def request(self, now: float) -> None:
        gained = self._rate * (now - self._at)
        self._tokens = min(self._burst, self._tokens + gained)
        self._at = now
        if self._tokens - 1 >= -self._wait * self._rate:
            self._tokens -= 1
            self.admitted += 1


class _Run:
    """One run of one way under one scenario."""

    def __init__(self, size: str, scenario: str, way: str, load: float) -> None:
        self._size = SIZES[size]
        self._scenario = scenario
        self._way = way
        self._load = load
        self._random = random.Random(f"{size} {scenario} {load}")
        self._settings = LimitSettings()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now = 0.0
        self._version = 0
        self._joined = list(NAMES)
        self._up = dict.fromkeys(NAMES, True)
        self._limiters = {name: self._boot(name, 0) for name in NAMES}
        self._woken: set[str] = set()
        self._tickets = itertools.count(1)
        self._workspace_of: dict[int, str] = {}
        self._asks = 0
        self._rates = {f"w{n}": rate for n, rate in enumerate(self._size.rates)}
        self._excess = {w: _Excess(r, 2 * r) for w, r in self._rates.items()}
        wait = self._settings.max_wait
        self._central = {
            w: _Central(r, 2 * r, wait) for w, r in self._rates.items()
        }
        self._admitted = dict.fromkeys(self._rates, 0)

    def run(self) -> tuple[dict[str, float], float, float, float]:
        """Runs to the end; returns shortfalls, total, excess and asks."""
        self._configure()
        for workspace in self._rates:
            self._at(WARM_UP, partial(self._arrive, workspace))
        self._plan_faults()
        end = WARM_UP + SECONDS
        while self._events and self._events[0][0] < end + 1:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self._result()

    def _result(self) -> tuple[dict[str, float], float, float, float]:
        ideal = {w: c.admitted for w, c in self._central.items()}
        short = {
            w: max(0.0, 1 - self._admitted[w] / max(1, ideal[w]))
            for w in self._rates
        }
        missing = sum(max(0, ideal[w] - self._admitted[w]) for w in ideal)
        over = max(x.worst for x in self._excess.values())
        total = missing / max(1, sum(ideal.values()))
        return short, total, over, self._asks / SECONDS

    def _plan_faults(self) -> None:
        at = WARM_UP + FAULT_AT
        match self._scenario:
            case "owner killed":
                self._at(at, lambda: self._kill("a"))
                self._at(at + RECONFIGURED_AFTER, lambda: self._leave("a"))
            case "holder killed":
                self._at(at, lambda: self._kill("b"))
                self._at(at + RECONFIGURED_AFTER, lambda: self._leave("b"))
            case "store down, holder killed":
                self._at(at, lambda: self._kill("b"))
            case "holder frozen":
                self._at(at, lambda: self._kill("b"))
                self._at(at + FREEZE_SECONDS, lambda: self._wake_up("b"))
            case "all replaced":
                for n, name in enumerate(NAMES):
                    self._at(
                        WARM_UP + REPLACE_SECONDS * n,
                        partial(self._replace, name),
                    )

    def _home(self, workspace: str) -> str:
        """The instance that admits a workspace's requests now."""
        number = int(workspace[1:])
        if self._scenario == "moving":
            number = int((self._now - WARM_UP) // MOVE_SECONDS)
        if self._scenario == "even":
            number = self._random.randrange(len(NAMES))
        if self._scenario in ("owner killed", "holder killed"):
            number = 0
        ups = [name for name in NAMES if self._up[name]]
        name = NAMES[number % len(NAMES)]
        return name if self._up[name] else ups[number % len(ups)]

    def _holders(self, workspace: str) -> tuple[str, ...]:
        first = int(workspace[1:]) % len(self._joined)
        ranked = self._joined[first:] + self._joined[:first]
        return tuple(ranked[:1] if self._way == "one home" else ranked)

    def _limits(self) -> dict[str, WorkspaceLimit]:
        return {
            w: WorkspaceLimit.from_config(
                rate=rate, burst=2 * rate, holders=self._holders(w)
            )
            for w, rate in self._rates.items()
        }

    def _configure(self) -> None:
        self._version += 1
        limits = self._limits()
        for name in NAMES:
            if self._up[name]:
                self._limiters[name].apply(self._now, self._version, limits)

    def _boot(self, name: str, run: int) -> Limiter:
        return Limiter(name, f"{name}{run}", self._settings)

    def _kill(self, name: str) -> None:
        self._up[name] = False

    def _wake_up(self, name: str) -> None:
        self._up[name] = True

    def _leave(self, name: str) -> None:
        self._joined.remove(name)
        self._configure()

    def _replace(self, name: str) -> None:
        self._limiters[name] = self._boot(name, self._version)
        self._configure()

    def _arrive(self, workspace: str) -> None:
        rate = self._rates[workspace] * self._load
        if self._scenario == "one at 5x" and workspace == "w1":
            rate = self._rates[workspace] * 5
        gap = self._random.expovariate(rate)
        if self._now + gap < WARM_UP + SECONDS:
            self._at(self._now + gap, lambda: self._arrive(workspace))
        self._central[workspace].request(self._now)
        name = self._home(workspace)
        ticket = next(self._tickets)
        self._workspace_of[ticket] = workspace
        limiter = self._limiters[name]
        effects = limiter.request(self._now, workspace, ticket, fresh=True)
        self._perform(name, limiter, effects)
        if not effects:
            self._tick(name, limiter)
        self._schedule(name)

    def _schedule(self, name: str) -> None:
        next_tick_at = self._limiters[name].next_tick_at(self._now)
        if next_tick_at is not None and name not in self._woken:
            self._woken.add(name)
            self._at(next_tick_at, lambda: self._wake(name))

    def _wake(self, name: str) -> None:
        self._woken.discard(name)
        if self._up[name]:
            limiter = self._limiters[name]
            self._tick(name, limiter)
            limiter.prune(self._now)
            self._schedule(name)

    def _tick(self, name: str, limiter: Limiter) -> None:
        self._perform(name, limiter, limiter.tick(self._now, fresh=True))

    def _perform(self, name: str, limiter: Limiter, effects: Any) -> None:
        for effect in effects:
            match effect:
                case Admit():
                    workspace = self._workspace_of.pop(effect.ticket)
                    self._admitted[workspace] += 1
                    self._excess[workspace].admit(self._now)
                case Refuse():
                    del self._workspace_of[effect.ticket]
                case SendAsk():
                    self._asks += 1
                    self._send(name, limiter, effect)

    def _send(self, name: str, limiter: Limiter, send: SendAsk) -> None:
        timeout = self._now + self._settings.ask_timeout
        seq = send.ask.seq
        self._at(
            timeout,
            lambda: limiter.handle_lost_ask(self._now, send.lender, seq),
        )
        if self._way == "static split":
            return
        for _ in range(self._copies()):
            later = self._now + self._size.latency
            self._at(later, lambda: self._ask(name, limiter, send))

    def _copies(self) -> int:
        """How often a message arrives: lost, once or twice."""
        if self._scenario != "lost and repeated":
            return 1
        return self._random.choices((0, 1, 2), (2, 6, 2))[0]

    def _ask(self, name: str, limiter: Limiter, send: SendAsk) -> None:
        if not self._up[send.lender]:
            return
        lender = self._limiters[send.lender]
        grant = lender.answer(self._now, name, send.ask, fresh=True)
        for _ in range(self._copies()):
            later = self._now + self._size.latency
            self._at(
                later,
                lambda: self._grant(name, limiter, send.lender, grant),
            )

    def _grant(
        self, name: str, limiter: Limiter, lender: str, grant: Any
    ) -> None:
        if self._up[name]:
            effects = limiter.handle_grant(self._now, lender, grant, fresh=True)
            self._perform(name, limiter, effects)

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))


def measure(size: str, scenario: str, way: str, load: float) -> Row:
    """Runs one way under one scenario.

    In the scenario with one workspace over its rate, the worst-served is
    looked for among the others.
    """
    run = _Run(size, scenario, way, load)
    short, total, over, asks = run.run()
    if scenario == "one at 5x":
        del short["w1"]
    return Row(
        size=size,
        scenario=scenario,
        way=way,
        load=load,
        refused_within=round(total, 5),
        worst_workspace=round(max(short.values()), 5),
        over=round(over, 3),
        asks=round(asks, 1),
    )
