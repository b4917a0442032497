"""Replaces primaries that failed or leave."""

import trio

from lagoonstair.platform.duties import Duties, PromoteAnswer
from lagoonstair.platform.store import StoreError
from lagoonstair.primacy import (
    CLOCK_MARGIN,
    PROOF_SECONDS,
    Cause,
    Duty,
    GroupRecord,
    PrimaryView,
    choose_target,
    promotion_cause,
    promotion_delay,
)
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._follower import Follower
from lagoonstair.proxy._gossip import ALIVE_SECONDS, Gossip
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._orders import EndpointCommands
from lagoonstair.proxy._pool import EndpointPool
from lagoonstair.proxy._registry import DUTY_KEY, GROUP_PREFIX, Registry
from lagoonstair.proxy._transactions import TransactionManager
from lagoonstair.routing import Endpoint

TICK_SECONDS = 0.1
"""How often causes are looked for."""

STALLED_SECONDS = 4.0
"""A promotion that has not ended by then is taken over; the longest part of
one, the platform's, takes a second."""

STORE_SECONDS = 12.0
"""Entries that are older than this say nothing of primaries."""

BARRED_SECONDS = 3.0
"""How long an instance that could not reach the store leaves promotions to
others; their turns come within two seconds."""

PATIENT_SHARE = 0.45
"""The part of the time for which a leaving endpoint may get work that a
handover may wait for silent instances; a promotion takes up to 4 s more."""

DRAIN_SECONDS = 0.5
"""How long transactions on a leaving primary may go on."""

POLL_SECONDS = 0.04
"""Between two looks at what the others have released."""

FENCE_SECONDS = 1.5
"""A call to the platform must begin this soon after its fencing token was
written, so that a process that was stopped does not send an old one."""

RECORD_TRIES = 20
"""Tries to write how a promotion ended, half a second apart at most."""


class Promoter:
    """Watches the primaries and replaces them."""

    def __init__(
        self,
        fleet: Fleet,
        registry: Registry,
        follower: Follower,
        gossip: Gossip,
        transactions: TransactionManager,
        orders: EndpointCommands,
        duties: Duties,
        metrics: Metrics,
        *,
        drain_seconds: float,
    ) -> None:
        self._patience = drain_seconds * PATIENT_SHARE
        self._leaving_since: dict[str, float] = {}
        self._barred_until = 0.0
        self._fleet = fleet
        self._registry = registry
        self._follower = follower
        self._gossip = gossip
        self._transactions = transactions
        self._orders = orders
        self._duties = duties
        self._metrics = metrics
        self._due: dict[str, tuple[Cause, float]] = {}
        self._running: set[str] = set()
        self._changed_at: dict[str, tuple[int, float]] = {}
        self._started_at = trio.current_time()

    async def run(self) -> None:
        """Looks for causes until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(TICK_SECONDS)
                self._release_primaries()
                for group in self._groups():
                    if group in self._running:
                        continue
                    if self._is_due(group):
                        self._running.add(group)
                        nursery.start_soon(self._handle, group)

    def _groups(self) -> set[str]:
        return {
            endpoint.group for endpoint in self._fleet.endpoints.values()
        } | self._fleet.primacy.records.keys()

    def _release_primaries(self) -> None:
        """Ends work on primaries whose replacement has begun."""
        now = trio.current_time()
        primacy = self._fleet.primacy
        for group in self._groups():
            record = primacy.records.get(group)
            epoch = primacy.epoch(group)
            seen = self._changed_at.get(group)
            if seen is None or seen[0] != epoch:
                self._changed_at[group] = seen = (epoch, now)
            stale = record is not None and (
                record.promoting or epoch > record.epoch
            )
            if stale and self._fleet.primary_uses.get(group):
                failing = self._view(group, record).unreachable_for > 0
                if failing or now - seen[1] > DRAIN_SECONDS:
                    self._transactions.abandon_group(group)

    def _is_due(self, group: str) -> bool:
        cause = self._cause(group)
        if cause is None:
            self._due.pop(group, None)
            return False
        now = trio.current_time()
        known = self._due.get(group)
        if known is None or known[0] is not cause:
            alive = self._fleet.primacy.responsive_voters(now, ALIVE_SECONDS)
            duty = self._registry.duty
            holder = duty.holder if duty else ""
            due = now + promotion_delay(self._fleet.name, alive, holder)
            self._due[group] = known = (cause, due)
        return now >= known[1]

    def _cause(self, group: str) -> Cause | None:
        now = trio.current_time()
        primacy = self._fleet.primacy
        if self._fleet.name not in primacy.voters or now < self._barred_until:
            return None
        if self._follower.endpoints_age > STORE_SECONDS:
            return None
        record = primacy.records.get(group)
        if record is None:
            return Cause.UNKNOWN if self._said_primary(group) else None
        if not primacy.has_majority(now, ALIVE_SECONDS):
            return None
        if record.promoting or primacy.epoch(group) > record.epoch:
            changed = self._changed_at.get(group, (0, now))[1]
            mine = record.promoting == self._fleet.name
            if now - changed > STALLED_SECONDS or mine:
                return Cause.STALLED
            return None
        if now - self._started_at < PROOF_SECONDS * CLOCK_MARGIN:
            return None
        return promotion_cause(
            self._view(group, record), max_wait=self._patience
        )

    def _view(self, group: str, record: GroupRecord | None) -> PrimaryView:
        now = trio.current_time()
        name = "" if record is None else record.primary
        pool = self._fleet.pools.get(name)
        said = self._gossip.peer_reports(group, ALIVE_SECONDS)
        since = self._fleet.missing_since.get(name)
        missing = 0.0 if since is None else now - since
        if name not in self._fleet.endpoints:
            missing = now - self._started_at
        endpoint = self._fleet.endpoints.get(name)
        return PrimaryView(
            unreachable_for=0.0
            if pool is None
            else max(0.0, pool.unreachable_seconds(now)),
            peers_unreachable_for=tuple(
                word.unreachable_for for word in said.values()
            ),
            missing_for=missing,
            leaving_for=self._leaving_for(group, endpoint),
            all_reachable=not any(
                self._gossip.missed_rounds(member)
                for member in self._registry.members
            ),
        )

    def _leaving_for(self, group: str, endpoint: Endpoint | None) -> float:
        if endpoint is None or not endpoint.leaving:
            self._leaving_since.pop(group, None)
            return 0.0
        now = trio.current_time()
        since = self._leaving_since.setdefault(group, now - TICK_SECONDS)
        return now - since

    def _said_primary(self, group: str) -> str | None:
        names = [
            endpoint.name
            for endpoint in self._fleet.endpoints.values()
            if endpoint.group == group and endpoint.says_primary
        ]
        return names[0] if len(names) == 1 else None

    async def _handle(self, group: str) -> None:
        try:
            cause = self._cause(group)
            if cause is Cause.UNKNOWN:
                await self._found(group)
            elif cause is not None:
                await self._replace(group, cause)
        except StoreError as exc:
            log_event("promotion put off", group=group, cause=str(exc))
            self._barred_until = trio.current_time() + BARRED_SECONDS
        finally:
            self._due.pop(group, None)
            self._gossip.stop_urgent_rounds(group)
            self._running.discard(group)

    async def _found(self, group: str) -> None:
        """Writes the first record of a group."""
        primary = self._said_primary(group)
        if primary is None:
            return
        record = GroupRecord(epoch=1, primary=primary)
        if await self._registry.write({GROUP_PREFIX + group: record}):
            self._fleet.set_record(group, record)
        else:
            await self._follower.read_registry()

    async def _replace(self, group: str, cause: Cause) -> None:
        # An instance that is cut off from the store must not stop the others'
        # use of the primary by announcing what it can't carry out.
        await self._follower.read_registry()
        if self._cause(group) is not cause:
            return
        primacy = self._fleet.primacy
        record = primacy.records[group]
        candidates = self._candidates(group, record, cause)
        if not candidates and cause is not Cause.STALLED:
            log_event("promotion without candidates", group=group)
            await trio.sleep(TICK_SECONDS * 5)
            return
        epoch = primacy.start_promotion(group)
        self._fleet.notify()
        self._gossip.start_urgent_rounds(group)
        duty = self._next_duty()
        begun = GroupRecord(
            epoch=epoch,
            primary=record.primary,
            term=record.term,
            promoting=self._fleet.name,
        )
        log_event(
            "promotion begins",
            group=group,
            epoch=epoch,
            cause=cause.value,
            primary=record.primary,
            fence=duty.fence,
        )
        done = await self._registry.write(
            {GROUP_PREFIX + group: begun, DUTY_KEY: duty}
        )
        if done is None:
            log_event("promotion lost the race", group=group, epoch=epoch)
            await self._follower.read_registry()
            return
        self._fleet.set_record(group, begun)
        if await self._wait_released(group, epoch):
            await self._promote(group, begun, duty, cause)

    def _next_duty(self) -> Duty:
        duty = self._registry.duty
        if duty is None:
            return Duty(holder=self._fleet.name, fence=1)
        if duty.holder == self._fleet.name:
            return duty
        return Duty(holder=self._fleet.name, fence=duty.fence + 1)

    def _candidates(
        self, group: str, record: GroupRecord, cause: Cause
    ) -> list[EndpointPool]:
        return [
            pool
            for pool in self._fleet.group_pools(group)
            if not pool.endpoint.leaving
            and pool.endpoint.name not in self._fleet.missing_since
            and (pool.endpoint.name != record.primary or cause is Cause.STALLED)
        ]

    async def _wait_released(self, group: str, epoch: int) -> bool:
        """Waits until no instance uses the primary of before any more.

        Returns:
            Whether that is certain.
        """
        began = trio.current_time()
        agreed_at = None
        released = False
        while not released and trio.current_time() < began + STALLED_SECONDS:
            await trio.sleep(POLL_SECONDS)
            now = trio.current_time()
            if self._fleet.primary_uses.get(group):
                continue
            known = self._known_by(group, epoch)
            members = self._registry.members.keys()
            if agreed_at is None and self._is_majority(known):
                agreed_at = now
            released = known >= members or (
                agreed_at is not None
                and now - agreed_at > PROOF_SECONDS * CLOCK_MARGIN
            )
        log_event(
            "primary released" if released else "primary not released",
            group=group,
            epoch=epoch,
            waited=round(trio.current_time() - began, 3),
        )
        return released

    def _known_by(self, group: str, epoch: int) -> set[str]:
        """The instances that have released all primaries before an epoch."""
        said = self._gossip.peer_reports(group, STALLED_SECONDS)
        known = {
            name for name, word in said.items() if word.released_epoch >= epoch
        }
        return known | {self._fleet.name}

    def _is_majority(self, known: set[str]) -> bool:
        """Whether these are most of the voters."""
        voters = self._fleet.primacy.voters
        return len(known & voters) * 2 > len(voters)

    async def _promote(
        self, group: str, record: GroupRecord, duty: Duty, cause: Cause
    ) -> None:
        written_at = trio.current_time()
        candidates = self._candidates(group, record, cause)
        # A primary that failed may answer late; what it has is not waited for.
        leaves = cause in (Cause.LEAVING, Cause.GONE)
        old = self._fleet.pools.get(record.primary) if leaves else None
        received = await self._orders.positions(group, candidates, old=old)
        target = choose_target(received, excluded=())
        if target is None:
            log_event("promotion without a target", group=group)
            await trio.sleep(TICK_SECONDS * 2)
            return
        if trio.current_time() - written_at > FENCE_SECONDS:
            again = await self._registry.write(
                {GROUP_PREFIX + group: record, DUTY_KEY: duty}
            )
            if again is None:
                await self._follower.read_registry()
                return
        answer = await self._duties.promote(
            group, target, holder=self._fleet.name, fence=duty.fence
        )
        log_event(
            "promotion sent",
            group=group,
            target=target,
            fence=duty.fence,
            answer=answer.value,
            received=str(received[target]),
        )
        self._metrics.count("promotions", answer=answer.value)
        if answer in (PromoteAnswer.REFUSED, PromoteAnswer.NOT_RUNNING):
            await trio.sleep(TICK_SECONDS)
            return
        term = await self._orders.wait_until_primary(target)
        if term is None:
            return
        await self._record(group, record, target, term)
        await self._orders.demote(record.primary, target, term)

    async def _record(
        self, group: str, begun: GroupRecord, target: str, term: int
    ) -> None:
        """Writes the new primary; others take over if this never succeeds."""
        ended = GroupRecord(epoch=begun.epoch + 1, primary=target, term=term)
        for _ in range(RECORD_TRIES):
            try:
                done = await self._registry.write({GROUP_PREFIX + group: ended})
                if done is None:
                    await self._follower.read_registry()
                    known = self._fleet.primacy.records.get(group)
                    if known is not None and known.epoch > begun.epoch:
                        return
                    continue
                self._fleet.set_record(group, ended)
                return
            except StoreError as exc:
                log_event("promotion not recorded", cause=str(exc))
                await trio.sleep(TICK_SECONDS * 3)
