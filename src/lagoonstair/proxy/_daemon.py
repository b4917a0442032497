"""Assembles and runs the components of an instance."""

import functools
import random
import signal
from collections.abc import Awaitable, Callable

import trio

from lagoonstair._types import Address
from lagoonstair.peers import HandlerRegistry as Handlers
from lagoonstair.peers import PeerClient, PeerServer
from lagoonstair.platform.discovery import parse_address
from lagoonstair.platform.duties import Duties
from lagoonstair.platform.store import Store, StoreError
from lagoonstair.primacy import PROOF_SECONDS
from lagoonstair.proxy._cold_gate import ColdGate
from lagoonstair.proxy._config_age import ConfigAge
from lagoonstair.proxy._config_watch import ConfigWatcher
from lagoonstair.proxy._distance import HolderDistances
from lagoonstair.proxy._executor import Executor
from lagoonstair.proxy._fleet import Fleet, jittered
from lagoonstair.proxy._follower import Follower
from lagoonstair.proxy._front import CallerServer
from lagoonstair.proxy._gossip import CONTACT_SECONDS, Gossip
from lagoonstair.proxy._isolation import IsolationWatch
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._orders import EndpointCommands
from lagoonstair.proxy._prober import Prober
from lagoonstair.proxy._promoter import Promoter
from lagoonstair.proxy._quota import (
    LIMIT_SETTINGS,
    MEMBERSHIP_FRESHNESS_SECONDS,
    OVERLOAD_LIMIT_SETTINGS,
    Quota,
    Tolerance,
)
from lagoonstair.proxy._reaper import Reaper
from lagoonstair.proxy._reconciler import Reconciler
from lagoonstair.proxy._registry import Registry
from lagoonstair.proxy._relays import UNMOVED_PORT_STEP, HomeRouter
from lagoonstair.proxy._role_checker import RoleChecker
from lagoonstair.proxy._settings import (
    InstanceSettings,
    SettingsError,
    load_settings,
)
from lagoonstair.proxy._tables import Tables
from lagoonstair.proxy._targets import TargetSelector
from lagoonstair.proxy._transactions import TransactionManager
from lagoonstair.wire import Handler, HttpRequest, HttpResponse, HttpServer

READY_PATH = "/-/readiness"
"""Path of the readiness check; every path gets the same answer."""

REMOVAL_FROM_ROTATION_SECONDS = 2.3
"""Time (s) after which callers no longer connect to an instance that is not
ready. That takes two failed readiness checks, which are 1 s apart."""

MAX_FRESHNESS_WAIT_SECONDS = 2.0
"""Time (s) for which a newly started instance waits for fresh knowledge before
it accepts callers anyway, because the other instances may be unreachable."""

PROOF_RENEWAL_FRACTIONS = (0.7, 0.85)
"""Range of the fraction of ``PROOF_SECONDS`` after which a proof is renewed
from the store. A proof relayed by a voter is up to 1.35 s old, of the 2 s for
which it holds, if one round of gossip is missed: three rounds of 0.45 s. The
fraction is drawn at random for each check, so that one instance reads the store
first and the others get its proof by gossip."""

POLL_SECONDS = 0.05
"""Interval (s) between checks for freshness and of the sessions that are still
open while draining."""

EXIT_MARGIN_SECONDS = 0.7
"""Remainder (s) of the grace period in which the process exits."""

STAND_DOWN_SECONDS = 0.5
"""Time (s) after draining to stand down if that is still under way. The store
takes 8 ms."""

CUT_SECONDS = 0.3
"""Time (s) of that for the answers to the statements that are cut."""

METRICS_PORT_OFFSET = 1
RELAY_PORT_OFFSET = 2
"""Offsets of an instance's other ports from its port for peer calls."""

BACKLOG = 512
"""Limit on the connections that wait to be accepted, sized for a burst of
reconnecting callers."""


class Instance:
    """One instance of the proxy.

    It serves callers from registration until a signal to stop, and then
    drains them within the grace period.
    """

    def __init__(self, settings: InstanceSettings, metrics: Metrics) -> None:
        self._settings = settings
        self._metrics = metrics
        self._ready = False
        self._resumed = False
        self._isolation: IsolationWatch | None = None
        self._store = Store(
            parse_address(settings.store),
            lambda reason: metrics.count("responses_unexpected", reason=reason),
        )
        self._fleet = Fleet(
            settings.instance,
            settings.failure_domain,
            metrics,
            settings.features,
        )
        self._registry = Registry(self._store)
        self._handlers = Handlers()
        self._stopped = trio.Event()

    async def run(self) -> None:
        """Serves until a signal to stop arrives and callers are drained."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._serve_readiness)
            await nursery.start(self._serve_metrics)
            stop = trio.Event()
            await nursery.start(self._watch_signals, stop)
            nursery.start_soon(self._serve, stop)
            await stop.wait()
            await self._stopped.wait()
            nursery.cancel_scope.cancel()

    async def _serve(self, stop: trio.Event) -> None:
        settings = self._settings
        log_event("features", **settings.features.describe())
        rows = await self._registry.register(settings)
        founding = self._registry.founding
        assert founding is not None
        secret = bytes.fromhex(founding.secret)
        supervise = self._fleet.supervisor.run
        async with trio.open_nursery() as nursery:
            peers = PeerClient(settings.instance, secret, nursery)
            quota = Quota(
                settings.instance,
                peers,
                self._handlers,
                self._registry.member_address,
                self._is_fresh,
                Tolerance(
                    window=settings.quota_window_s,
                    excess=settings.quota_excess,
                    slack=settings.quota_slack,
                ),
                HolderDistances(
                    self._fleet.distances, self._registry, self._metrics
                ),
                OVERLOAD_LIMIT_SETTINGS
                if settings.features.overload_control
                else LIMIT_SETTINGS,
            )
            self._quota = quota
            tables = Tables(
                self._fleet,
                self._registry,
                self._metrics,
                ConfigAge(self._config_bound()),
            )
            self._follower = Follower(
                self._store, self._fleet, self._registry, tables, self._metrics
            )
            cold_gate = ColdGate(self._fleet.cold, quota, self._metrics)
            targets = TargetSelector(self._fleet, self._metrics, cold_gate)
            executor = Executor(targets, self._metrics)
            transactions = TransactionManager(self._fleet, targets)
            gossip = Gossip(
                self._fleet,
                self._registry,
                tables,
                peers,
                self._handlers,
                self._fleet.distances,
            )
            self._fleet.config_listeners.append(self._apply_limits)
            self._fleet.cold.listeners.append(self._apply_limits)
            server = PeerServer(settings.instance, secret, self._handlers)
            with self._fleet.supervisor.contain("registration"):
                self._follower.apply_registration(rows)
            await nursery.start(server.serve, *settings.peer_address)
            nursery.start_soon(supervise, "gossip rounds", gossip.run)
            await nursery.start(self._follower.run)
            watcher = ConfigWatcher(
                self._fleet,
                self._registry,
                tables.config_age,
                self._follower,
                self._metrics,
            )
            nursery.start_soon(supervise, "configuration watcher", watcher.run)
            nursery.start_soon(supervise, "quota", quota.run)
            nursery.start_soon(supervise, "cold", self._fleet.cold.run)
            commands = EndpointCommands(self._fleet)
            prober = Prober(self._fleet, gossip, commands)
            nursery.start_soon(supervise, "prober", prober.run)
            roles = RoleChecker(self._fleet, commands)
            nursery.start_soon(supervise, "role checks", roles.run)
            if self._fleet.evacuation.is_enabled:
                nursery.start_soon(
                    supervise,
                    "evacuation",
                    functools.partial(tables.evacuator.run, transactions),
                )
            promoter = Promoter(
                self._fleet,
                self._registry,
                self._follower,
                gossip,
                transactions,
                commands,
                Duties(parse_address(settings.duties)),
                self._metrics,
                drain_seconds=settings.drain_ms / 1000,
            )
            nursery.start_soon(supervise, "promoter", promoter.run)
            reaper = Reaper(self._fleet, self._registry, self._follower, gossip)
            nursery.start_soon(
                supervise, "reaper", functools.partial(reaper.run, settings)
            )
            reconciler = Reconciler(self._fleet, self._registry, self._follower)
            nursery.start_soon(supervise, "reconciler", reconciler.run)
            nursery.start_soon(supervise, "proof renewal", self._renew_proof)
            relays = HomeRouter(
                self._fleet,
                self._metrics,
                self._home_address,
                gossip.reaches,
            )
            nursery.start_soon(supervise, "relays", relays.end_silent_sessions)
            if settings.features.sheds_unreachable:
                self._isolation = IsolationWatch(
                    self._fleet, relays, gossip.reaches, self._metrics
                )
            front = CallerServer(
                self._fleet,
                executor,
                transactions,
                quota,
                self._metrics,
                settings.max_descriptors,
                relays,
                self._isolation,
            )
            with trio.move_on_after(MAX_FRESHNESS_WAIT_SECONDS):
                while not self._is_fresh():
                    await trio.sleep(POLL_SECONDS)
            async with trio.open_nursery() as callers:
                listeners = await self._listen()
                accepting = await callers.start(
                    self._accept, front.serve, listeners, callers
                )
                relayed = await trio.open_tcp_listeners(
                    settings.peer_ports[0] + RELAY_PORT_OFFSET,
                    host=settings.host,
                    backlog=BACKLOG,
                )
                await callers.start(
                    self._accept, front.serve_relayed, relayed, callers
                )
                if front.primary_reach is not None:
                    await self._listen_for_unmoved(front, callers)
                    nursery.start_soon(
                        supervise, "primary reach", front.primary_reach.run
                    )
                self._ready = True
                if self._isolation is not None:
                    self._isolation.close_idle_sessions = (
                        front.close_idle_relayed
                    )
                    nursery.start_soon(
                        supervise, "isolation", self._isolation.run
                    )
                log_event("ready", members=len(self._registry.members))
                await stop.wait()
                stood_down = trio.Event()
                nursery.start_soon(self._stand_down, reaper, stood_down)
                deadline = trio.current_time() + settings.grace_s
                await self._drain(front, accepting)
                with trio.move_on_at(
                    min(
                        trio.current_time() + STAND_DOWN_SECONDS,
                        deadline - EXIT_MARGIN_SECONDS,
                    )
                ):
                    await stood_down.wait()
                callers.cancel_scope.cancel()
            nursery.cancel_scope.cancel()
        self._stopped.set()

    def _config_bound(self) -> float:
        """Returns how old the known operator's rows may be, in seconds."""
        bound = self._settings.config_ms / 1000
        evacuation_bound = self._settings.features.evacuation_bound
        return (
            bound if evacuation_bound is None else min(bound, evacuation_bound)
        )

    async def _listen_for_unmoved(
        self, front: CallerServer, callers: trio.Nursery
    ) -> None:
        """Listens for relayed sessions that this instance runs in any case.

        Without a port for it, other instances refuse these sessions.
        """
        first, last = self._settings.peer_ports
        port = first + RELAY_PORT_OFFSET + UNMOVED_PORT_STEP
        if port > last:
            log_event("no port for sessions without a primary", port=port)
            return
        listeners = await trio.open_tcp_listeners(
            port, host=self._settings.host, backlog=BACKLOG
        )
        await callers.start(
            self._accept, front.serve_unmoved, listeners, callers
        )

    async def _stand_down(self, reaper: Reaper, done: trio.Event) -> None:
        with self._fleet.supervisor.contain("standing down"):
            await reaper.stand_down()
        done.set()

    async def _listen(self) -> list[trio.SocketListener]:
        host, port = parse_address(self._settings.listen.entry)
        return await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)

    async def _accept(
        self,
        serve: Callable[[trio.SocketStream], Awaitable[None]],
        listeners: list[trio.SocketListener],
        callers: trio.Nursery,
        *,
        task_status: trio.TaskStatus[trio.CancelScope],
    ) -> None:
        with trio.CancelScope() as scope:
            task_status.started(scope)
            await trio.serve_listeners(
                serve, listeners, handler_nursery=callers
            )

    def _home_address(self, name: str) -> Address | None:
        """Returns the address at which an instance accepts relayed sessions."""
        member = self._registry.members.get(name)
        if member is None:
            return None
        return Address(member.host, member.port + RELAY_PORT_OFFSET)

    async def _drain(
        self, front: CallerServer, accepting: trio.CancelScope
    ) -> None:
        """Ends all sessions within the grace period.

        Open transactions may begin statements for half of it. Those that an
        endpoint has not answered shortly before its end are cut.
        """
        started_at = trio.current_time()
        grace = self._settings.grace_s
        self._ready = False
        log_event("draining", sessions=front.sessions)
        await trio.sleep(REMOVAL_FROM_ROTATION_SECONDS)
        accepting.cancel()
        front.drain()
        while front.sessions and trio.current_time() < started_at + grace / 2:
            front.drain()
            await trio.sleep(POLL_SECONDS)
        front.refuse_statements()
        while (
            front.sessions
            and trio.current_time() < started_at + grace - EXIT_MARGIN_SECONDS
        ):
            front.drain()
            await trio.sleep(POLL_SECONDS)
        log_event("drained", sessions=front.sessions)
        front.cut_statements()
        with trio.move_on_after(CUT_SECONDS):
            while front.sessions:
                await trio.sleep(POLL_SECONDS)

    def _apply_limits(self) -> None:
        if self._fleet.config is None or not self._registry.members:
            return
        self._resumed = self._registry.has_settled_share(
            self._settings.instance,
            self._follower.store_now,
            LIMIT_SETTINGS.share_delay,
        )
        self._quota.apply(
            self._fleet.config,
            self._fleet.homes,
            resumed=self._resumed,
            cold=self._fleet.cold.shares,
        )

    def _is_fresh(self) -> bool:
        """Returns whether no change of the shares can have gone unnoticed.

        The share of a new instance counts once a majority of the voters knows
        of the instance, so it must be in contact with a majority.
        """
        now = trio.current_time()
        primacy = self._fleet.primacy
        if now - primacy.proved_at(now) >= MEMBERSHIP_FRESHNESS_SECONDS:
            return False
        return self._resumed or primacy.has_majority(now, CONTACT_SECONDS)

    async def _renew_proof(self) -> None:
        """Reads the registry when gossip does not renew the proof in time."""
        while True:
            await trio.sleep(jittered(PROOF_SECONDS / 8))
            now = trio.current_time()
            age = now - self._fleet.primacy.proved_at(now)
            if age < PROOF_SECONDS * random.uniform(*PROOF_RENEWAL_FRACTIONS):
                continue
            try:
                await self._follower.read_registry()
            except StoreError:
                self._metrics.count("proofs_failed")

    def _make_server(self, handler: Handler) -> HttpServer:
        return HttpServer(
            handler,
            on_refused=lambda reason: self._metrics.count(
                "http_requests_refused", reason=reason
            ),
        )

    async def _serve_readiness(
        self, *, task_status: trio.TaskStatus[int]
    ) -> None:
        host, port = parse_address(self._settings.listen.ready)

        async def answer(req: HttpRequest) -> HttpResponse:
            is_isolated = (
                self._isolation is not None and self._isolation.turns_away_all
            )
            status = 200 if self._ready and not is_isolated else 503
            return HttpResponse(status=status, body=b"")

        await self._make_server(answer).serve(
            host, port, task_status=task_status
        )

    async def _serve_metrics(
        self, *, task_status: trio.TaskStatus[int]
    ) -> None:
        async def answer(req: HttpRequest) -> HttpResponse:
            return HttpResponse(
                status=200,
                body=self._metrics.render().encode(),
                content_type="text/plain; version=0.0.4",
            )

        await self._make_server(answer).serve(
            self._settings.host,
            self._settings.peer_ports[0] + METRICS_PORT_OFFSET,
            task_status=task_status,
        )

    async def _watch_signals(
        self, stop: trio.Event, *, task_status: trio.TaskStatus[None]
    ) -> None:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGHUP
        ) as signals:
            task_status.started()
            async for signal_number in signals:
                if signal_number == signal.SIGHUP:
                    with self._fleet.supervisor.contain("reload"):
                        self._reload()
                    continue
                log_event("stopping")
                if not self._ready:
                    self._stopped.set()
                stop.set()

    def _reload(self) -> None:
        """Reads the settings again and logs whether they have changed.

        Changes take effect at the next start.
        """
        try:
            settings = load_settings()
        except SettingsError as exc:
            log_event("settings invalid", cause=str(exc))
            return
        changed = settings != self._settings
        log_event("settings read", changed=changed)
