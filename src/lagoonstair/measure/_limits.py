"""Simulates methods of rate limiting under faults.

The simulation counts needless refusals and admissions beyond the limit.
"""

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

INSTANCES = tuple("abcdefg")
"""Names of the simulated instances."""

MEASURED_SECONDS = 45.0
"""Virtual seconds in which requests arrive, after the warm-up."""

REPLACE_INTERVAL_SECONDS = 6.5
"""Seconds between two replacements of an instance."""

FAULT_DELAY_SECONDS = 12.0
"""Seconds from the end of the warm-up to the fault."""

RECONFIGURE_DELAY_SECONDS = 8.0
"""Seconds after which a killed instance leaves the configuration."""

MOVE_INTERVAL_SECONDS = 4.0
"""Seconds after which the requests move to the next instance."""

FREEZE_SECONDS = 10.0
"""Seconds for which an instance is frozen."""

WARM_UP_SECONDS = 30.0
"""Virtual seconds from the first configuration to the first request."""

METHODS = ("static split", "one home", "lent shares")
"""Methods of rate limiting.

With "static split" the instances hold shares of a workspace's rate and lend
no tokens, with "one home" one instance holds the whole rate, and with
"lent shares" the instances hold shares and lend each other tokens.
"""

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
    """The network and the workspaces of a deployment.

    Attributes:
        latency: One-way latency in seconds between two instances.
        rates: The rate limit of each workspace in requests per second; the
            burst is twice the number of requests in one second.
    """

    latency: float
    rates: tuple[float, ...]


SIZES = {
    "medostreh": Size(latency=0.001, rates=(100, 60, *[10] * 6)),
    "vembanad": Size(latency=0.0015, rates=(40, 25, *[5] * 6)),
}


class Row(TypedDict):
    """The result of one run.

    A request is refused within the rate if one central bucket of the same
    rate, burst and wait admits it and the measured method does not.

    Attributes:
        size: The name of the deployment.
        scenario: The name of the scenario.
        way: The method of rate limiting.
        load: Request rate of a workspace as a share of its rate limit.
        refused_within: Share of the requests of all workspaces that were
            refused within the rate.
        worst_workspace: The same share of the worst-served workspace.
        over: Greatest excess over rate x window + burst, in requests.
        asks: Requests for tokens per second, sent by all instances together.
    """

    size: str
    scenario: str
    way: str
    load: float
    refused_within: float
    worst_workspace: float
    over: float
    asks: float


class _ExcessMeter:
    """Measures the greatest excess of admissions over rate x window + burst.

    Attributes:
        worst: The greatest excess so far, in requests.

    Args:
        rate: The rate limit in requests per second.
        burst: The burst in requests.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = 0.0
        self._updated_at = 0.0
        self.worst = 0.0

    def admit(self, now: float) -> None:
        drained = self._level - self._rate * (now - self._updated_at)
        self._level = max(0.0, drained) + 1
        self._updated_at = now
        self.worst = max(self.worst, self._level - self._burst)


class _CentralBucket:
    """The ideal: one token bucket that sees every request of a workspace.

    Attributes:
        admitted: Number of requests admitted so far.

    Args:
        rate: The rate limit in requests per second.
        burst: The burst in requests.
        wait: The longest wait in seconds for a token.
    """

    def __init__(self, rate: float, burst: float, wait: float) -> None:
        self._rate = rate
        self._burst = burst
        self._wait = wait
        self._tokens = burst
        self._updated_at = 0.0
        self.admitted = 0

    def request(self, now: float) -> None:
        gained = self._rate * (now - self._updated_at)
        self._tokens = min(self._burst, self._tokens + gained)
        self._updated_at = now
        if self._tokens - 1 >= -self._wait * self._rate:
            self._tokens -= 1
            self.admitted += 1


class _Simulation:
    """A simulation of one method of rate limiting in one scenario."""

    def __init__(
        self, size: str, scenario: str, method: str, load: float
    ) -> None:
        self._size = SIZES[size]
        self._scenario = scenario
        self._method = method
        self._load = load
        self._rng = random.Random(f"{size} {scenario} {load}")
        self._settings = LimitSettings()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_ids = itertools.count()
        self._now = 0.0
        self._version = 0
        self._members = list(INSTANCES)
        self._is_up = dict.fromkeys(INSTANCES, True)
        self._limiters = {
            name: self._make_limiter(name, 0) for name in INSTANCES
        }
        self._scheduled_ticks: set[str] = set()
        self._tickets = itertools.count(1)
        self._workspace_by_ticket: dict[int, str] = {}
        self._asks = 0
        self._rates = {f"w{n}": rate for n, rate in enumerate(self._size.rates)}
        self._excess = {
            w: _ExcessMeter(r, 2 * r) for w, r in self._rates.items()
        }
        wait = self._settings.max_wait
        self._central = {
            w: _CentralBucket(r, 2 * r, wait) for w, r in self._rates.items()
        }
        self._admitted = dict.fromkeys(self._rates, 0)

    def run(self) -> tuple[dict[str, float], float, float, float]:
        """Runs the simulation to its end.

        Returns:
            The share refused within the rate by workspace, the same share of
            all requests, the greatest excess in requests, and the requests
            for tokens per second.
        """
        self._apply_configuration()
        for workspace in self._rates:
            self._schedule(
                WARM_UP_SECONDS, partial(self._handle_arrival, workspace)
            )
        self._schedule_faults()
        end = WARM_UP_SECONDS + MEASURED_SECONDS
        while self._events and self._events[0][0] < end + 1:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self._collect_results()

    def _collect_results(self) -> tuple[dict[str, float], float, float, float]:
        ideal = {w: c.admitted for w, c in self._central.items()}
        shortfalls = {
            w: max(0.0, 1 - self._admitted[w] / max(1, ideal[w]))
            for w in self._rates
        }
        missing = sum(max(0, ideal[w] - self._admitted[w]) for w in ideal)
        over = max(x.worst for x in self._excess.values())
        total = missing / max(1, sum(ideal.values()))
        return shortfalls, total, over, self._asks / MEASURED_SECONDS

    def _schedule_faults(self) -> None:
        at = WARM_UP_SECONDS + FAULT_DELAY_SECONDS
        match self._scenario:
            case "owner killed":
                self._schedule(at, lambda: self._stop("a"))
                self._schedule(
                    at + RECONFIGURE_DELAY_SECONDS,
                    lambda: self._remove_instance("a"),
                )
            case "holder killed":
                self._schedule(at, lambda: self._stop("b"))
                self._schedule(
                    at + RECONFIGURE_DELAY_SECONDS,
                    lambda: self._remove_instance("b"),
                )
            case "store down, holder killed":
                self._schedule(at, lambda: self._stop("b"))
            case "holder frozen":
                self._schedule(at, lambda: self._stop("b"))
                self._schedule(at + FREEZE_SECONDS, lambda: self._resume("b"))
            case "all replaced":
                for n, name in enumerate(INSTANCES):
                    self._schedule(
                        WARM_UP_SECONDS + REPLACE_INTERVAL_SECONDS * n,
                        partial(self._replace_instance, name),
                    )

    def _choose_instance(self, workspace: str) -> str:
        """Returns the running instance that receives a workspace's request."""
        number = int(workspace[1:])
        if self._scenario == "moving":
            number = int((self._now - WARM_UP_SECONDS) // MOVE_INTERVAL_SECONDS)
        if self._scenario == "even":
            number = self._rng.randrange(len(INSTANCES))
        if self._scenario in ("owner killed", "holder killed"):
            number = 0
        running = [name for name in INSTANCES if self._is_up[name]]
        name = INSTANCES[number % len(INSTANCES)]
        return name if self._is_up[name] else running[number % len(running)]

    def _rank_holders(self, workspace: str) -> tuple[str, ...]:
        first = int(workspace[1:]) % len(self._members)
        ranked = self._members[first:] + self._members[:first]
        return tuple(ranked[:1] if self._method == "one home" else ranked)

    def _make_limits(self) -> dict[str, WorkspaceLimit]:
        return {
            w: WorkspaceLimit.from_config(
                rate=rate, burst=2 * rate, holders=self._rank_holders(w)
            )
            for w, rate in self._rates.items()
        }

    def _apply_configuration(self) -> None:
        self._version += 1
        limits = self._make_limits()
        for name in INSTANCES:
            if self._is_up[name]:
                self._limiters[name].apply(self._now, self._version, limits)

    def _make_limiter(self, name: str, incarnation: int) -> Limiter:
        return Limiter(name, f"{name}{incarnation}", self._settings)

    def _stop(self, name: str) -> None:
        self._is_up[name] = False

    def _resume(self, name: str) -> None:
        self._is_up[name] = True

    def _remove_instance(self, name: str) -> None:
        self._members.remove(name)
        self._apply_configuration()

    def _replace_instance(self, name: str) -> None:
        self._limiters[name] = self._make_limiter(name, self._version)
        self._apply_configuration()

    def _handle_arrival(self, workspace: str) -> None:
        rate = self._rates[workspace] * self._load
        if self._scenario == "one at 5x" and workspace == "w1":
            rate = self._rates[workspace] * 5
        gap = self._rng.expovariate(rate)
        if self._now + gap < WARM_UP_SECONDS + MEASURED_SECONDS:
            self._schedule(
                self._now + gap, lambda: self._handle_arrival(workspace)
            )
        self._central[workspace].request(self._now)
        name = self._choose_instance(workspace)
        ticket = next(self._tickets)
        self._workspace_by_ticket[ticket] = workspace
        limiter = self._limiters[name]
        effects = limiter.request(self._now, workspace, ticket, fresh=True)
        self._apply_effects(name, limiter, effects)
        if not effects:
            self._tick(name, limiter)
        self._schedule_tick(name)

    def _schedule_tick(self, name: str) -> None:
        next_tick_at = self._limiters[name].next_tick_at(self._now)
        if next_tick_at is not None and name not in self._scheduled_ticks:
            self._scheduled_ticks.add(name)
            self._schedule(next_tick_at, lambda: self._run_scheduled_tick(name))

    def _run_scheduled_tick(self, name: str) -> None:
        self._scheduled_ticks.discard(name)
        if self._is_up[name]:
            limiter = self._limiters[name]
            self._tick(name, limiter)
            limiter.prune(self._now)
            self._schedule_tick(name)

    def _tick(self, name: str, limiter: Limiter) -> None:
        self._apply_effects(name, limiter, limiter.tick(self._now, fresh=True))

    def _apply_effects(self, name: str, limiter: Limiter, effects: Any) -> None:
        for effect in effects:
            match effect:
                case Admit():
                    workspace = self._workspace_by_ticket.pop(effect.ticket)
                    self._admitted[workspace] += 1
                    self._excess[workspace].admit(self._now)
                case Refuse():
                    del self._workspace_by_ticket[effect.ticket]
                case SendAsk():
                    self._asks += 1
                    self._send_ask(name, limiter, effect)

    def _send_ask(self, name: str, limiter: Limiter, send: SendAsk) -> None:
        timeout = self._now + self._settings.ask_timeout
        seq = send.ask.seq
        self._schedule(
            timeout,
            lambda: limiter.handle_lost_ask(self._now, send.lender, seq),
        )
        if self._method == "static split":
            return
        for _ in range(self._draw_delivery_count()):
            arrives_at = self._now + self._size.latency
            self._schedule(
                arrives_at, lambda: self._deliver_ask(name, limiter, send)
            )

    def _draw_delivery_count(self) -> int:
        """Draws how often a message arrives: never, once or twice."""
        if self._scenario != "lost and repeated":
            return 1
        return self._rng.choices((0, 1, 2), (2, 6, 2))[0]

    def _deliver_ask(self, name: str, limiter: Limiter, send: SendAsk) -> None:
        if not self._is_up[send.lender]:
            return
        lender = self._limiters[send.lender]
        grant = lender.answer(self._now, name, send.ask, fresh=True)
        for _ in range(self._draw_delivery_count()):
            arrives_at = self._now + self._size.latency
            self._schedule(
                arrives_at,
                lambda: self._deliver_grant(name, limiter, send.lender, grant),
            )

    def _deliver_grant(
        self, name: str, limiter: Limiter, lender: str, grant: Any
    ) -> None:
        if self._is_up[name]:
            effects = limiter.handle_grant(self._now, lender, grant, fresh=True)
            self._apply_effects(name, limiter, effects)

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._event_ids), action))


def measure(size: str, scenario: str, method: str, load: float) -> Row:
    """Simulates one method of rate limiting in one scenario.

    In the scenario with one workspace over its rate, that workspace is not
    considered as the worst-served one.

    Args:
        size: The name of the deployment, a key of ``SIZES``.
        scenario: The scenario, one of ``SCENARIOS``.
        method: The method of rate limiting, one of ``METHODS``.
        load: Request rate of a workspace as a share of its rate limit.

    Returns:
        The result of the run.
    """
    run = _Simulation(size, scenario, method, load)
    shortfalls, total, over, asks = run.run()
    if scenario == "one at 5x":
        del shortfalls["w1"]
    return Row(
        size=size,
        scenario=scenario,
        way=method,
        load=load,
        refused_within=round(total, 5),
        worst_workspace=round(max(shortfalls.values()), 5),
        over=round(over, 3),
        asks=round(asks, 1),
    )
