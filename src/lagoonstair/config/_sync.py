"""Synchronizes one instance's configuration with the other instances'."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

import trio
from loguru import logger

from lagoonstair._types import Address
from lagoonstair.config._changes import Change, MemberJoined, MemberLeft
from lagoonstair.config._core import ConfigUpdate, ReplicaCore
from lagoonstair.config._messages import (
    ConfigAsk,
    ConfigFetch,
    ConfigPush,
    Delta,
    VersionReport,
)
from lagoonstair.config._model import Member, MemberId
from lagoonstair.config._parse import UnreadableError
from lagoonstair.config._peer_sync import PeerCaller, PeerSync
from lagoonstair.config._reaper import MemberReaper
from lagoonstair.config._replica import LocalReplica
from lagoonstair.config._state import Configuration
from lagoonstair.config._store import LogStore
from lagoonstair.config._submit import ChangeResult, DurableChange, Submitter
from lagoonstair.config._timing import SyncTiming
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.peers import HandlerRegistry, PeerContext
from lagoonstair.ports import Platform, PlatformUnavailableError


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigStatus:
    """The synchronization status of one instance's configuration.

    Attributes:
        version: The version in force on this instance.
        accepted: The greatest version known as accepted.
        fresh: Whether the version in force may be served.
        proof_age: Seconds since the latest proof was requested; infinite
            without one.
        joined: Whether this run of the instance is a member.
        waiting_for: A description of what the instance is waiting for;
            ``None`` if nothing.
        last_change_seconds: Seconds from the submission of the latest change
            on this instance until every member had it in force; ``None``
            before the first.
    """

    version: int
    accepted: int
    fresh: bool
    proof_age: float
    joined: bool
    waiting_for: str | None
    last_change_seconds: float | None


class ConfigSync:
    """Keeps an instance's configuration in sync with the other instances'.

    It reads the log from the store, exchanges versions and freshness proofs
    with peers, submits changes and maintains the instance's membership.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        failure_domain: str,
        peers: Address,
        platform: Platform,
        caller: PeerCaller,
        registry: HandlerRegistry,
        seeds: Iterable[Address] = (),
        timing: SyncTiming | None = None,
        rng: Random | None = None,
    ) -> None:
        """Registers the peer handlers; ``run`` starts synchronization.

        Args:
            name: The instance's name.
            incarnation: Distinguishes this run from every other run of the
                instance.
            failure_domain: The failure domain of the instance.
            peers: The address at which it listens for other instances.
            platform: The platform with the store and the listing.
            caller: Calls other instances, as ``PeerClient`` does.
            registry: Where the handlers of peers' calls are registered.
            seeds: Addresses at which instances may listen, for a start while
                the store is unavailable.
            timing: Intervals and timeouts.
            rng: The source of jitter and of operation ids.
        """
        self._timing = timing or SyncTiming()
        self._rng = rng or Random()
        self._base_incarnation = incarnation
        self._join_count = 0
        self._failure_domain = failure_domain
        self._peers = peers
        self._core = ReplicaCore(
            MemberId(name, incarnation),
            bound=self._timing.freshness_bound,
            now=trio.current_time(),
        )
        self._replica = LocalReplica(self._core)
        self._peer_sync = PeerSync(
            self._replica, caller, peers, seeds, self._timing, self._rng
        )
        self._submitter = Submitter(
            self._replica, LogStore(platform), self._timing, self._rng
        )
        self._reaper = MemberReaper(name, platform, self._timing)
        self._push_sender, self._push_receiver = trio.open_memory_channel[None](
            1
        )
        self._latest_submission: tuple[int, float] | None = None
        self._last_change_seconds: float | None = None
        registry.register(ConfigPush, self._on_push)
        registry.register(ConfigFetch, self._on_fetch)
        registry.register(ConfigAsk, self._on_ask)

    @property
    def current(self) -> Configuration:
        """The configuration in force, without a check of its freshness.

        ``require_fresh`` returns it only if it may be served.
        """
        return self._core.log_state.configuration

    @property
    def accepted_version(self) -> int:
        """The greatest version in force here that is known as accepted."""
        return self._core.accepted

    def is_fresh(self, now: float) -> bool:
        """Returns whether the configuration in force may be served."""
        return self._core.is_fresh(now)

    def require_fresh(self, now: float) -> Configuration:
        """Returns the configuration in force if it may be served.

        Raises:
            LagoonstairError: ``NOT_FRESH``; a newer one may have been
                accepted.
        """
        if not self._core.is_fresh(now):
            raise LagoonstairError(
                ErrorKind.NOT_FRESH,
                "this instance can't tell whether its configuration holds",
                retry_after=self._timing.min_poll_interval,
            )
        return self._core.log_state.configuration

    async def wait_fresh(self) -> None:
        """Waits until the configuration may be served."""
        await self._replica.wait_until(
            lambda: self._core.is_fresh(trio.current_time())
        )

    async def wait_joined(self) -> None:
        """Waits until this run is a member."""
        await self._replica.wait_until(lambda: self._core.joined)

    async def wait_version(self, version: int) -> None:
        """Waits until a version, or a later one, is in force."""
        await self._replica.wait_until(lambda: self._core.version >= version)

    def is_member_in(self, cfg: Configuration) -> bool:
        """Returns whether this run is a member in a configuration."""
        member = cfg.members.get(self._core.member_id.name)
        return member is not None and member.id == self._core.member_id

    def on_change(self, listener: Callable[[ConfigUpdate], None]) -> None:
        """Calls the listener after each change to a newer version."""
        self._replica.subscribe(listener)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Synchronizes the configuration until cancelled.

        The task reports as started at once; ``wait_fresh`` waits until the
        configuration may be served.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_loop)
            nursery.start_soon(self._proof_refresh_loop)
            nursery.start_soon(self._tick_loop)
            nursery.start_soon(self._join_loop)
            nursery.start_soon(self._push_loop)
            nursery.start_soon(self._measure_loop)
            nursery.start_soon(self._reap_loop)
            task_status.started()

    async def submit(
        self,
        change: Change,
        *,
        expected_version: int | None = None,
        operation_id: str | None = None,
    ) -> ChangeResult:
        """Commits a change and waits until a majority has it in force.

        The wait is bounded; the result tells whether the change is in force.

        Args:
            change: The change.
            expected_version: The version that the edit is based on; by
                default the newest in the store.
            operation_id: Identifies the operation; a repeat with the same id
                has no further effect.

        Raises:
            InvalidInputError: The change is invalid; nothing was changed.
            LagoonstairError: ``CONFLICT`` after another edit of its items;
                ``REQUEST_ID_REUSED``; ``UNAVAILABLE`` if the store does not
                respond; ``OUTCOME_UNKNOWN`` if the change may be durable.
        """
        started = trio.current_time()
        durable = await self._commit(change, expected_version, operation_id)
        self._latest_submission = (durable.version, started)
        return await self._submitter.wait_in_force(durable)

    async def collect_reports(self) -> dict[str, VersionReport]:
        """Requests every member's report; returns those received, by name."""
        own = self._core.version_report(trio.current_time())
        return {own.name: own, **await self._peer_sync.collect_reports()}

    async def leave(self) -> None:
        """Stops voting and removes this instance from the members."""
        self._core.leaving = True
        name, incarnation = self._core.member_id
        if not self._core.joined:
            return
        try:
            await self._commit(MemberLeft(name, incarnation), None, None)
        except LagoonstairError as exc:
            logger.warning(
                "can't remove this instance from the members: {}", exc.kind
            )

    def status(self) -> ConfigStatus:
        """Returns the synchronization status of this instance."""
        now = trio.current_time()
        return ConfigStatus(
            version=self._core.version,
            accepted=self._core.accepted,
            fresh=self._core.is_fresh(now),
            proof_age=self._core.freshness.age(now),
            joined=self._core.joined,
            waiting_for=self._waiting_for(now),
            last_change_seconds=self._last_change_seconds,
        )

    def _waiting_for(self, now: float) -> str | None:
        if self._core.freshness.pending_proof.version > self._core.version:
            return f"version {self._core.freshness.pending_proof.version}"
        if not self._core.is_fresh(now):
            return "the store, or a majority of the joined instances"
        if not self._core.joined and not self._core.leaving:
            return "the store, to join the members"
        pending = self._core.pending(self._core.version)
        if self._core.accepted < self._core.version and pending:
            return f"{', '.join(pending)} to confirm {self._core.version}"
        return None

    async def _commit(
        self,
        change: Change,
        expected: int | None,
        operation_id: str | None,
    ) -> DurableChange:
        operation_id = operation_id or f"{self._rng.getrandbits(128):032x}"
        durable = await self._submitter.make_durable(
            change, expected=expected, operation_id=operation_id
        )
        self._request_push()
        return durable

    def _request_push(self) -> None:
        try:
            self._push_sender.send_nowait(None)
        except trio.WouldBlock:
            return

    async def _push_loop(self) -> None:
        async with trio.open_nursery() as nursery:
            async for _ in self._push_receiver:
                nursery.start_soon(self._peer_sync.push_to_all)
                nursery.start_soon(self._submitter.save_snapshot)

    async def _measure_loop(self) -> None:
        """Measures the time until all members confirm the latest change."""
        while True:
            await self._replica.wait_until(self._is_confirmed_by_all)
            if self._latest_submission is not None:
                started = self._latest_submission[1]
                self._last_change_seconds = trio.current_time() - started
                self._latest_submission = None

    def _is_confirmed_by_all(self) -> bool:
        if self._latest_submission is None:
            return False
        return not self._core.pending(self._latest_submission[0])

    async def _poll_loop(self) -> None:
        while True:
            try:
                with trio.move_on_after(self._timing.freshness_bound):
                    await self._submitter.read_head()
            except PlatformUnavailableError:
                pass
            except UnreadableError as exc:
                logger.error("can't read the configuration log: {}", exc)
            interval = self._timing.head_read_interval(
                len(self.current.members)
            )
            await trio.sleep(self._rng.uniform(interval / 2, interval))

    async def _proof_refresh_loop(self) -> None:
        while True:
            await trio.sleep(
                self._rng.uniform(0.5, 1) * self._timing.tick_interval
            )
            if self._proof_age() < self._timing.proof_refresh_age:
                continue
            await self._peer_sync.request_relayed_proofs()
            # The jitter makes a few instances ask a majority, while the others
            # get those instances' proofs relayed.
            jitter = self._rng.uniform(0, self._timing.proof_refresh_age)
            if self._proof_age() >= self._timing.proof_refresh_age + jitter:
                await self._peer_sync.request_majority_proof()

    def _proof_age(self) -> float:
        return self._core.freshness.age(trio.current_time())

    async def _tick_loop(self) -> None:
        while True:
            self._core.tick(trio.current_time())
            await trio.sleep(self._timing.tick_interval)

    async def _join_loop(self) -> None:
        while True:
            await self._replica.wait_until(
                lambda: not self._core.joined and not self._core.leaving
            )
            try:
                await self._commit(MemberJoined(self._new_member()), None, None)
            except LagoonstairError as exc:
                logger.warning("can't join: {}", exc.kind)
            await trio.sleep(
                self._rng.uniform(0.5, 1) * self._timing.min_poll_interval
            )

    def _new_member(self) -> Member:
        """Returns this run as a member with a new incarnation."""
        self._join_count += 1
        self._core.set_incarnation(
            f"{self._base_incarnation}.{self._join_count}"
        )
        return Member(
            name=self._core.member_id.name,
            incarnation=self._core.member_id.incarnation,
            failure_domain=self._failure_domain,
            peers=self._peers,
        )

    async def _reap_loop(self) -> None:
        while True:
            interval = self._timing.absence_timeout / 3
            await trio.sleep(self._rng.uniform(interval / 2, interval))
            members = self.current.members.values()
            for stopped in await self._reaper.read_stopped_members(members):
                left = MemberLeft(stopped.name, stopped.incarnation)
                try:
                    await self._commit(left, None, None)
                except LagoonstairError as exc:
                    logger.warning(
                        "can't remove stopped member {}: {}",
                        stopped.name,
                        exc.kind,
                    )

    async def _on_push(
        self, push: ConfigPush, ctx: PeerContext
    ) -> VersionReport:
        self._replica.apply_delta(push.delta)
        return self._core.version_report(trio.current_time())

    async def _on_fetch(self, fetch: ConfigFetch, ctx: PeerContext) -> Delta:
        return self._core.delta_after(fetch.after)

    async def _on_ask(self, ask: ConfigAsk, ctx: PeerContext) -> VersionReport:
        return self._core.version_report(trio.current_time())
