"""Runs the rate limiter: admits requests and exchanges tokens with holders."""

import secrets
from collections.abc import Callable, Container, Mapping
from typing import TypedDict

import trio
from loguru import logger

from lagoonstair._faults import describe_exception
from lagoonstair._types import Address
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.limits._limiter import Admit, Effect, Limiter, Refuse, SendAsk
from lagoonstair.limits._messages import TokenAsk, TokenGrant
from lagoonstair.limits._settings import LimitSettings, WorkspaceLimit
from lagoonstair.peers import (
    HandlerRegistry,
    PeerClient,
    PeerContext,
    PeerLostError,
    PeerNotSentError,
)

PRUNE_INTERVAL_SECONDS = 5.0
"""Interval between prunings of idle state; bounds the sleep between ticks."""
REFUSAL_MESSAGES = {
    ErrorKind.RATE_LIMITED: "the workspace is over its rate",
    ErrorKind.NOT_FRESH: "the configuration may be out of date",
    ErrorKind.NOT_FOUND: "the workspace has no rate",
}
"""The message to the caller for each kind of refusal."""


class LimitStatus(TypedDict):
    """Counters since the start, and the available tokens by workspace."""

    admitted: int
    refused: int
    asks_sent: int
    asks_lost: int
    waiting: int
    tokens: dict[str, float]


class _Waiter:
    """A request that waits for admission or refusal."""

    __slots__ = ("event", "refusal")

    def __init__(self) -> None:
        self.event = trio.Event()
        self.refusal: Refuse | None = None


class LimitService:
    """Enforces the rate and burst of workspaces across all instances."""

    def __init__(
        self,
        name: str,
        peers: PeerClient,
        registry: HandlerRegistry,
        addresses: Callable[[str], Address | None],
        fresh: Callable[[float], bool],
        clock: Callable[[], float] = trio.current_time,
        *,
        settings: LimitSettings | None = None,
        accepted: Callable[[], int] | None = None,
        distance: Callable[[str], float] = lambda holder: 0.0,
        on_ask: Callable[[str, float | None], None] = lambda *_: None,
    ) -> None:
        """Registers the handler of asks.

        Args:
            name: This instance's name.
            peers: The client for calls to other instances.
            registry: The registry that receives the handler of ``TokenAsk``.
            addresses: Returns the address of an instance, if known.
            fresh: Returns whether the configuration is fresh at a given time.
            clock: Returns the monotonic time in seconds.
            settings: Timeouts and intervals of loans and of waiting.
            accepted: Returns the greatest configuration version known to be
                accepted. Without it, each version counts as accepted when it is
                applied.
            distance: Returns the round trip to an instance's region in
                seconds; 0 for the own region.
            on_ask: Called after each ask with the lender's name and the
                seconds until its answer, or ``None`` without an answer.
        """
        self._peers = peers
        self._addresses = addresses
        self._fresh = fresh
        self._clock = clock
        self._settings = settings or LimitSettings()
        self._distance = distance
        self._on_ask = on_ask
        self._limiter = Limiter(
            name, secrets.token_hex(8), self._settings, distance
        )
        self._accepted = accepted
        self._last_accepted_version = -1
        self._waiters: dict[int, _Waiter] = {}
        self._last_ticket = 0
        self._demand_noted_at = float("-inf")
        self._asks: list[SendAsk] = []
        self._wake = trio.Event()
        self._workspaces: set[str] = set()
        self._counts = {"admitted": 0, "refused": 0, "sent": 0, "lost": 0}
        registry.register(TokenAsk, self._answer)

    def apply(
        self,
        version: int,
        limits: Mapping[str, WorkspaceLimit],
        *,
        created: Container[str] = (),
        resumed: Mapping[str, int] | None = None,
    ) -> None:
        """Applies the limits of all workspaces from a configuration version.

        Must be called on every instance for every version in order, also at
        startup. A share counts from the version that first named its holder.

        Args:
            version: The configuration version.
            limits: The limits of all workspaces.
            created: Workspaces that no earlier version had, if this run of
                the instance had joined by then.
            resumed: Workspaces whose share an earlier run of this instance
                held, with the initial balance in micro-tokens.
        """
        self._workspaces = set(limits)
        self._refresh_accepted_version()
        self._limiter.apply(
            self._clock(), version, limits, created=created, resumed=resumed
        )

    async def admit(
        self,
        workspace: str,
        *,
        rate: float,
        burst: float,
        holders: tuple[str, ...],
        config_version: int,
    ) -> None:
        """Waits until the request may run.

        Args:
            workspace: The workspace of the request.
            rate: Requests per second.
            burst: Maximum burst, in requests.
            holders: The instances that hold shares, best ranked first.
            config_version: The configuration version of these arguments.

        Raises:
            LagoonstairError: ``RATE_LIMITED``, with the time until a token is
                expected, or ``NOT_FRESH``.
        """
        now = self._clock()
        self._refresh_accepted_version()
        limit = WorkspaceLimit.from_config(
            rate=rate, burst=burst, holders=holders
        )
        self._workspaces.add(workspace)
        self._limiter.apply_limit(now, config_version, workspace, limit)
        await self.admit_known(workspace)

    async def admit_known(self, workspace: str) -> None:
        """Waits until the request may run under the limits applied last.

        Raises:
            LagoonstairError: ``RATE_LIMITED``, with the time until a token is
                expected, ``NOT_FRESH``, or ``NOT_FOUND`` for a workspace
                without a limit.
        """
        now = self._clock()
        self._last_ticket += 1
        ticket = self._last_ticket
        waiter = _Waiter()
        self._waiters[ticket] = waiter
        try:
            fresh = self._fresh(now)
            self._perform(
                self._limiter.request(now, workspace, ticket, fresh=fresh)
            )
            if not waiter.event.is_set():
                self._wake.set()
            await waiter.event.wait()
        finally:
            del self._waiters[ticket]
            self._limiter.cancel(ticket)
        if waiter.refusal is not None:
            raise LagoonstairError(
                waiter.refusal.kind,
                REFUSAL_MESSAGES[waiter.refusal.kind],
                retry_after=waiter.refusal.retry_after,
            )

    def has_token(self, workspace: str) -> bool:
        """Returns whether a request would be admitted at once.

        If not, it counts as demand, so that tokens are borrowed for later
        ones.
        """
        now = self._clock()
        found = self._limiter.has_token(now, workspace, fresh=self._fresh(now))
        return self._note_demand(now, found)

    def try_admit(self, workspace: str) -> bool:
        """Admits a request that does not wait, if there is a token."""
        now = self._clock()
        fresh = self._fresh(now)
        admitted = self._limiter.try_spend(now, workspace, fresh=fresh)
        self._counts["admitted"] += admitted
        return self._note_demand(now, admitted)

    def _note_demand(self, now: float, is_met: bool) -> bool:
        """Asks for tokens soon if demand is not met, and returns the latter.

        Many requests may be turned away in a row, so this does not wake the
        loop more often than it asks.
        """
        if not is_met and (
            now - self._demand_noted_at >= self._settings.ask_interval
        ):
            self._demand_noted_at = now
            self._wake.set()
        return is_met

    async def run(self) -> None:
        """Sends asks and completes waiting requests until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._prune_periodically)
            while True:
                now = self._clock()
                self._refresh_accepted_version()
                fresh = self._fresh(now)
                self._wake = trio.Event()
                self._perform(self._limiter.tick(now, fresh=fresh))
                asks, self._asks = self._asks, []
                for ask in asks:
                    nursery.start_soon(self._send, ask)
                await self._sleep()

    def status(self) -> LimitStatus:
        """Returns counters since the start and the available tokens."""
        now = self._clock()
        tokens = {
            name: self._limiter.available(now, name) / 1_000_000
            for name in sorted(self._workspaces)
        }
        return LimitStatus(
            admitted=self._counts["admitted"],
            refused=self._counts["refused"],
            asks_sent=self._counts["sent"],
            asks_lost=self._counts["lost"],
            waiting=len(self._waiters),
            tokens=tokens,
        )

    def _refresh_accepted_version(self) -> None:
        if self._accepted is None:
            return
        version = self._accepted()
        if version != self._last_accepted_version:
            self._last_accepted_version = version
            self._limiter.set_accepted_version(self._clock(), version)

    async def _sleep(self) -> None:
        now = self._clock()
        next_tick_at = self._limiter.next_tick_at(now)
        seconds = (
            PRUNE_INTERVAL_SECONDS
            if next_tick_at is None
            else next_tick_at - now
        )
        with trio.move_on_after(seconds):
            await self._wake.wait()

    async def _prune_periodically(self) -> None:
        while True:
            await trio.sleep(PRUNE_INTERVAL_SECONDS)
            self._limiter.prune(self._clock())

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Admit():
                    self._counts["admitted"] += 1
                    self._waiters[effect.ticket].event.set()
                case Refuse():
                    self._counts["refused"] += 1
                    waiter = self._waiters[effect.ticket]
                    waiter.refusal = effect
                    waiter.event.set()
                case SendAsk():
                    self._asks.append(effect)

    async def _send(self, send: SendAsk) -> None:
        self._counts["sent"] += 1
        sent_at = self._clock()
        grant = None
        try:
            grant = await self._call(send)
        finally:
            # Also when it is cancelled: the lender is not asked again while
            # an ask is outstanding.
            if grant is None:
                self._counts["lost"] += 1
                self._limiter.handle_lost_ask(
                    self._clock(), send.lender, send.ask.seq
                )
        now = self._clock()
        self._on_ask(send.lender, None if grant is None else now - sent_at)
        if grant is None:
            return
        fresh = self._fresh(now)
        effects = self._limiter.handle_grant(
            now, send.lender, grant, fresh=fresh
        )
        self._perform(effects)
        self._wake.set()

    async def _call(self, send: SendAsk) -> TokenGrant | None:
        address = self._addresses(send.lender)
        if address is None:
            return None
        timeout = self._settings.ask_timeout_at(self._distance(send.lender))
        with trio.move_on_after(timeout):
            try:
                return await self._peers.call(address, send.ask, TokenGrant)
            except (LagoonstairError, PeerLostError, PeerNotSentError):
                return None
            except Exception as exc:
                logger.error(
                    "ask to {} failed: {}",
                    send.lender,
                    describe_exception(exc),
                )
                return None
        return None

    async def _answer(self, ask: TokenAsk, ctx: PeerContext) -> TokenGrant:
        now = self._clock()
        fresh = self._fresh(now)
        return self._limiter.answer(now, ctx.name, ask, fresh=fresh)
