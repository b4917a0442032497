"""Assembly, startup and shutdown of one instance."""

import random
import uuid

import msgspec
import trio
from loguru import logger

from lagoonstair._types import Address
from lagoonstair.config import (
    ConfigSync,
    ConfigUpdate,
    Configuration,
    OperatorApi,
    SyncTiming,
)
from lagoonstair.endpoints import HttpEndpoint
from lagoonstair.exceptions import ErrorKind
from lagoonstair.groups import GroupView, GroupViewAsk, GroupWatch
from lagoonstair.groups import Timing as GroupTiming
from lagoonstair.limits import LimitService, LimitSettings, WorkspaceLimit
from lagoonstair.membership import ListingWatch, Suspects
from lagoonstair.peers import (
    HandlerRegistry,
    PeerClient,
    PeerNotSentError,
    PeerServer,
)
from lagoonstair.ports import ListedEndpoint, ListedGroup
from lagoonstair.report import Metrics, Objectives, Recorder
from lagoonstair.retries import BudgetLimits, RetryBudget
from lagoonstair.service._directory import MemberDirectory
from lagoonstair.service._dispatch import Dispatcher
from lagoonstair.service._front import CallerHandler, Observation
from lagoonstair.service._group_runtime import GroupRuntime
from lagoonstair.service._groups import GroupManager
from lagoonstair.service._operators import OperatorHandler
from lagoonstair.service._owner import Owner
from lagoonstair.service._started import InFlightWork
from lagoonstair.service._status import GroupStatus, InstanceStatus
from lagoonstair.service._transactions import Transactions
from lagoonstair.sessions import TokenCodec
from lagoonstair.settings import Settings
from lagoonstair.standins.platform import HttpPlatform
from lagoonstair.wire import HttpLimits, HttpServer

JOIN_SECONDS = 3.0
"""Maximum time (s) at startup to wait until the instance has joined.

If it cannot join, because the store is unavailable, the instance serves
callers without being a member.
"""


class Daemon:
    """One instance of the proxy.

    Attributes:
        settings: The instance's settings.
        incarnation: A random ID of this run, new at each start.
        drained_cleanly: Whether the shutdown completed all work in progress.
        callers: The address for callers; ``None`` until it is listening.
        operators: The address for operators; ``None`` until it is listening.
        peers: The address for peers; ``None`` until it is listening.
        stopped: Set once the shutdown is complete.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.incarnation = uuid.uuid4().hex
        self.drained_cleanly = True
        self.callers: Address | None = None
        self.operators: Address | None = None
        self.peers: Address | None = None
        self.stopped = trio.Event()
        self._drain_requested = trio.Event()

    def request_drain(self) -> None:
        """Requests a shutdown that completes the work in progress."""
        self._drain_requested.set()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until a requested shutdown is complete.

        Args:
            task_status: Notified once the instance serves callers.
        """
        async with trio.open_nursery() as nursery:
            components = await _Components.start(self, nursery)
            nursery.start_soon(components.serve, task_status)
            await self._drain_requested.wait()
            self.drained_cleanly = await components.drain()
            nursery.cancel_scope.cancel()
        self.stopped.set()


class _Components:
    """The components of a running instance."""

    def __init__(self, daemon: Daemon, nursery: trio.Nursery) -> None:
        settings = daemon.settings
        secret = settings.peer_secret.encode()
        self.daemon = daemon
        self.nursery = nursery
        self.rng = random.Random()
        self.registry = HandlerRegistry()
        self.in_flight = InFlightWork()
        self.recorder = Recorder(objectives_of=self._objectives_of)
        self.metrics = Metrics.from_settings(settings.statsd)
        self.peer_server = PeerServer(settings.name, secret, self.registry)
        self.peers = PeerClient(settings.name, secret, nursery)
        self.platform = HttpPlatform(settings.platform.address, settings.name)
        self.listing = ListingWatch(
            self.platform,
            peers=self.peers,
            registry=self.registry,
            seeds=tuple(seed.address for seed in settings.seeds),
            interval=settings.timing.listing_poll,
        )

    @classmethod
    async def start(
        cls, daemon: Daemon, nursery: trio.Nursery
    ) -> "_Components":
        """Creates the components and starts the server for peers.

        The other components need the address on which it listens.
        """
        components = cls(daemon, nursery)
        listener = daemon.settings.peers.address
        port = await nursery.start(
            components.peer_server.serve, listener.host, listener.port
        )
        daemon.peers = Address(listener.host, port)
        components._make_config(daemon.peers)
        components._make_owner()
        components._make_servers()
        return components

    async def serve(self, task_status: trio.TaskStatus[None]) -> None:
        """Serves operators at once, and callers once the instance is ready.

        Callers are served when the configuration is fresh, the platform's
        listing is known and the instance has joined or ``JOIN_SECONDS`` have
        passed.
        """
        daemon = self.daemon
        listener = daemon.settings.operators.address
        port = await self.nursery.start(
            self.operator_server.serve, listener.host, listener.port
        )
        daemon.operators = Address(listener.host, port)
        await self.nursery.start(self.config.run)
        logger.info("waiting for the configuration and the platform's listing")
        await self.nursery.start(self.listing.run)
        await self.config.wait_fresh()
        with trio.move_on_after(JOIN_SECONDS):
            await self.config.wait_joined()
        self.nursery.start_soon(self.limits.run)
        listener = daemon.settings.callers.address
        port = await self.nursery.start(
            self.caller_server.serve, listener.host, listener.port
        )
        daemon.callers = Address(listener.host, port)
        logger.info("serving callers at {}", daemon.callers)
        task_status.started()

    async def drain(self) -> bool:
        """Stops accepting work and completes the work in progress.

        Returns:
            Whether all of it was completed within the drain limit.
        """
        self.in_flight.draining = True
        self.caller_server.drain()
        limit = self.daemon.settings.timing.drain_limit
        with trio.move_on_after(limit) as scope:
            await self.in_flight.wait_idle()
        if scope.cancelled_caught:
            logger.warning(
                "drain limit reached; {} requests or transactions aborted",
                self.in_flight.count,
            )
        await self.config.leave()
        logger.info("drained")
        return not scope.cancelled_caught

    def _make_config(self, peers: Address) -> None:
        settings = self.daemon.settings
        self.config = ConfigSync(
            name=settings.name,
            incarnation=self.daemon.incarnation,
            failure_domain=settings.failure_domain,
            peers=peers,
            platform=self.platform,
            caller=self.peers,
            registry=self.registry,
            seeds=[seed.address for seed in settings.seeds],
            timing=SyncTiming.from_freshness_bound(
                settings.timing.freshness_bound,
                poll=settings.timing.config_poll,
            ),
            rng=self.rng,
        )
        self.directory = MemberDirectory(lambda: self.config.current)
        self.config.on_change(self._on_config)

    def _make_owner(self) -> None:
        settings = self.daemon.settings
        self.limits = LimitService(
            settings.name,
            self.peers,
            self.registry,
            self.directory.address,
            self.config.is_fresh,
            settings=LimitSettings(
                freshness_bound=settings.timing.freshness_bound
            ),
            accepted=lambda: self.config.accepted_version,
        )
        self.groups = GroupManager(
            settings.name,
            owners=self.directory.owners,
            make_group=self._make_group,
            registry=self.registry,
            nursery=self.nursery,
        )
        self.listing.on_change(self.groups.apply)
        self.transactions = Transactions(
            settings.name, in_flight=self.in_flight, nursery=self.nursery
        )
        self.owner = Owner(
            settings.name,
            config=self.config,
            groups=self.groups,
            admission=self.limits,
            holders=self.directory.holders,
            transactions=self.transactions,
            in_flight=self.in_flight,
            registry=self.registry,
        )

    def _make_servers(self) -> None:
        settings = self.daemon.settings
        limits = settings.limits
        dispatcher = Dispatcher(
            settings.name,
            directory=self.directory,
            peers=self.peers,
            local=self.owner,
            suspects=Suspects(duration=settings.timing.owner_suspect),
            budget=RetryBudget(BudgetLimits(), trio.current_time()),
            rng=self.rng,
        )
        callers = CallerHandler(
            config=self.config,
            dispatcher=dispatcher,
            tokens=TokenCodec(settings.session_secrets),
            in_flight=self.in_flight,
            deadline=settings.timing.request_deadline,
            observe=self._observe,
        )
        self.caller_server = HttpServer(
            callers.handle,
            limits=HttpLimits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                idle_timeout=limits.idle,
                request_timeout=limits.request,
                max_connections=limits.connections,
            ),
            on_refused=self._count_refused,
        )
        operators = OperatorHandler(
            api=OperatorApi(
                self.config,
                operator_keys_sha256=settings.operator_keys_sha256,
            ),
            status=self._status,
            measurements=self._measurements,
            drain=self.daemon.request_drain,
        )
        self.operator_server = HttpServer(
            operators.handle, on_refused=self._count_refused
        )

    def _count_refused(self, reason: str) -> None:
        self.metrics.count(f"http_requests_refused.{reason}")

    def _make_group(self, listed: ListedGroup) -> GroupRuntime:
        return GroupRuntime(
            listed,
            connect=self._connect,
            make_watch=self._make_watch,
            transaction_idle=self.daemon.settings.timing.transaction_idle,
            rng=self.rng,
        )

    def _make_watch(self, listed: ListedGroup) -> GroupWatch:
        settings = self.daemon.settings
        timing = settings.timing
        return GroupWatch(
            listed,
            instance=settings.name,
            connect=self._connect,
            ask_peer=self._ask_view,
            timing=GroupTiming(
                probe_interval=timing.probe_interval,
                probe_timeout=timing.probe_timeout,
            ),
            rng=self.rng,
        )

    def _connect(self, listed: ListedEndpoint) -> HttpEndpoint:
        return HttpEndpoint(listed.address, self.daemon.settings.name)

    async def _ask_view(self, name: str, ask: GroupViewAsk) -> GroupView:
        address = self.directory.address(name)
        if address is None:
            raise PeerNotSentError(f"the address of {name} is unknown")
        return await self.peers.call(address, ask, GroupView)

    def _on_config(self, update: ConfigUpdate) -> None:
        self.groups.apply(None)
        self.limits.apply(
            update.new.version,
            self._limits_of(update.new),
            created=self._created_workspaces(update),
        )
        for key_id in update.withdrawn_key_ids:
            self.groups.withdraw(key_id)

    def _created_workspaces(self, update: ConfigUpdate) -> frozenset[str]:
        """Returns the workspaces that an update created.

        The result is empty if this run had not joined before the update.
        """
        if not self.config.is_member_in(update.old):
            return frozenset()
        return frozenset(
            name
            for name in update.new.workspaces
            if f"workspaces/{name}" not in update.old.changed
        )

    def _limits_of(self, cfg: Configuration) -> dict[str, WorkspaceLimit]:
        return {
            name: WorkspaceLimit.from_config(
                rate=limits.rate,
                burst=limits.burst,
                holders=self.directory.holders(name),
            )
            for name, limits in cfg.resolved.limits.items()
        }

    def _observe(self, observed: Observation) -> None:
        outcome = "answered" if observed.kind is None else observed.kind.value
        self.metrics.count(f"requests.{outcome}")
        self.metrics.timing("requests.latency", observed.latency)
        if observed.workspace not in self.config.current.workspaces:
            return
        self.recorder.record(
            observed.workspace,
            observed.kind,
            observed.latency,
            served_by_replica=observed.on_replica,
            within_rate=observed.kind is not ErrorKind.RATE_LIMITED,
            now=trio.current_time(),
        )

    def _objectives_of(self, workspace: str) -> Objectives:
        limits = self.config.current.limits(workspace)
        return Objectives(
            served=limits.served,
            latency=limits.latency,
            within_latency=limits.within_latency,
        )

    def _measurements(self) -> bytes:
        return msgspec.json.encode(
            self.recorder.measurements(
                self.daemon.settings.name, trio.current_time()
            )
        )

    def _status(self) -> InstanceStatus:
        settings = self.daemon.settings
        config = self.config.status()
        listing = self.listing.current
        return InstanceStatus(
            name=settings.name,
            failure_domain=settings.failure_domain,
            incarnation=self.daemon.incarnation,
            draining=self.in_flight.draining,
            started=self.in_flight.count,
            connections=self.caller_server.open_connections,
            refused_peers=self.peer_server.refused_connections,
            config_version=config.version,
            fresh=config.fresh,
            waiting_for=config.waiting_for,
            listing_version=0 if listing is None else listing.version,
            groups={
                name: _group_status(runtime)
                for name, runtime in self.groups.running.items()
            },
        )


def _group_status(runtime: GroupRuntime) -> GroupStatus:
    state = runtime.watch.snapshot()
    return GroupStatus(
        active=runtime.watch.is_owner,
        term=state.term,
        primary=state.primary,
        members={m.name: m.liveness for m in state.members},
        promotions=runtime.watch.promotions,
    )
