"""Runs promotions, which replace primaries that failed or are leaving."""

import msgspec
import trio

from lagoonstair._types import Position
from lagoonstair.evacuation import handover_wait
from lagoonstair.platform.duties import Duties, PromoteAnswer
from lagoonstair.platform.store import StoreError
from lagoonstair.primacy import (
    CLOCK_MARGIN,
    PROOF_SECONDS,
    Cause,
    Duty,
    GroupRecord,
    LeavingSince,
    PendingPromotion,
    PrimaryView,
    choose_target,
    promotion_cause,
    promotion_delay,
    record_call,
    withdraw_call,
)
from lagoonstair.proxy._evacuator import has_candidate, is_candidate
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._follower import Follower
from lagoonstair.proxy._gossip import ALIVE_SECONDS, Gossip
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._orders import EndpointCommands, led_terms
from lagoonstair.proxy._pool import EndpointPool
from lagoonstair.proxy._promotion_effects import PromotionEffects
from lagoonstair.proxy._registry import Registry, UnreconciledError
from lagoonstair.proxy._registry_rows import DUTY_KEY, GROUP_PREFIX, RowValue
from lagoonstair.proxy._surveyor import CompleteLogs, LogSurveyor
from lagoonstair.proxy._transactions import TransactionManager
from lagoonstair.routing import Endpoint

CHECK_PERIOD_SECONDS = 0.1
"""Interval (s) between checks for a cause of promotion."""

STALLED_SECONDS = 4.0
"""Time (s) after which an unfinished promotion is taken over. Its longest step,
the platform's call, takes 1 s."""

MAX_ENTRIES_AGE_SECONDS = 12.0
"""Age (s) beyond which the endpoint entries are too old to decide on a
promotion."""

STORE_FAILURE_BACKOFF_SECONDS = 3.0
"""Time (s) for which an instance that could not reach the store leaves
promotions to others, whose attempts are due within 2 s."""

FAULT_BACKOFF_SECONDS = 2.0
"""Time (s) for which an instance leaves a group's promotion to others after an
unexpected exception."""

HANDOVER_WAIT_FRACTION = 0.45
"""Fraction of the time for which a leaving endpoint accepts work that a
handover may wait for unresponsive instances. A promotion takes up to 4 s
more."""

DRAIN_SECONDS = 0.5
"""Time (s) for which transactions on a reachable primary may continue once its
replacement has started. On an unreachable primary they are aborted at once."""

REEXAMINING_CAUSES = (Cause.STALLED, Cause.SUPERSEDED)
"""Causes that leave open which endpoint leads. The recorded primary may be the
one, or be promoted again."""

POLL_SECONDS = 0.04
"""Interval (s) between checks of which instances have released the primary."""


class Promoter:
    """Watches the groups' primaries and runs promotions."""

    def __init__(
        self,
        fleet: Fleet,
        registry: Registry,
        follower: Follower,
        gossip: Gossip,
        transactions: TransactionManager,
        commands: EndpointCommands,
        duties: Duties,
        metrics: Metrics,
        *,
        drain_seconds: float,
    ) -> None:
        self._max_handover_wait = drain_seconds * HANDOVER_WAIT_FRACTION
        self._leaving = LeavingSince()
        self._backoff_until = 0.0
        self._fleet = fleet
        self._registry = registry
        self._follower = follower
        self._gossip = gossip
        self._transactions = transactions
        self._commands = commands
        self._duties = duties
        self._metrics = metrics
        self._effects = PromotionEffects(
            fleet, registry, follower, commands, metrics
        )
        self._surveyor = LogSurveyor(fleet, commands, metrics)
        self._scheduled: dict[str, tuple[Cause, float]] = {}
        self._running_groups: set[str] = set()
        self._blocked_groups: set[str] = set()
        self._changed_at: dict[str, tuple[int, float]] = {}
        self._faulty_until: dict[str, float] = {}
        self._calls_in_flight = 0
        self._is_renewing = False
        self._started_at = trio.current_time()

    async def run(self) -> None:
        """Checks all groups and starts promotions until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(CHECK_PERIOD_SECONDS)
                for group in self._groups():
                    try:
                        self._note_leaving(group)
                        self._release_primary(group)
                        is_due = self._may_run(group) and self._is_due(group)
                    except Exception as exc:
                        self._note_fault(group, exc)
                        continue
                    if is_due:
                        self._running_groups.add(group)
                        nursery.start_soon(self._run_promotion, group)

    def _may_run(self, group: str) -> bool:
        """Returns whether no promotion of a group runs or has just failed."""
        return (
            group not in self._running_groups
            and trio.current_time() >= self._faulty_until.get(group, 0.0)
        )

    def _note_fault(self, group: str, exc: Exception) -> None:
        """Reports an unexpected exception and leaves a group to others."""
        self._fleet.supervisor.report("promotion", exc, group=group)
        until = trio.current_time() + FAULT_BACKOFF_SECONDS
        self._faulty_until[group] = until

    def _groups(self) -> set[str]:
        return {
            endpoint.group for endpoint in self._fleet.endpoints.values()
        } | self._fleet.primacy.records.keys()

    def _release_primary(self, group: str) -> None:
        """Aborts work on a primary whose replacement has started."""
        now = trio.current_time()
        primacy = self._fleet.primacy
        record = primacy.records.get(group)
        epoch = primacy.epoch(group)
        changed = self._changed_at.get(group)
        if changed is None or changed[0] != epoch:
            self._changed_at[group] = changed = (epoch, now)
        is_replaced = record is not None and (
            record.promoting or epoch > record.epoch
        )
        if is_replaced and self._fleet.primary_uses.get(group):
            is_unreachable = (
                self._primary_view(group, record).unreachable_for > 0
            )
            if is_unreachable or now - changed[1] > DRAIN_SECONDS:
                self._transactions.abandon_group(group)

    def _is_due(self, group: str) -> bool:
        cause = self._cause(group)
        if cause is None or not self._can_end(group, cause):
            self._scheduled.pop(group, None)
            return False
        now = trio.current_time()
        scheduled = self._scheduled.get(group)
        if scheduled is None or scheduled[0] is not cause:
            alive = self._fleet.primacy.responsive_voters(now, ALIVE_SECONDS)
            first = self._first_promoter(group)
            due = now + promotion_delay(self._fleet.name, alive, first)
            self._scheduled[group] = scheduled = (cause, due)
        return now >= scheduled[1]

    def _can_end(self, group: str, cause: Cause) -> bool:
        """Returns whether a promotion can end while domains are evacuated.

        Without a candidate each attempt would only read and write the store.
        A call that was made may still take effect.
        """
        record = self._fleet.primacy.records.get(group)
        if (
            record is None
            or not self._fleet.evacuation.is_active
            or self._effects.unresolved(record)
            or self._candidates(group, record, cause)
        ):
            self._blocked_groups.discard(group)
            return True
        if group not in self._blocked_groups:
            self._blocked_groups.add(group)
            log_event("promotion without candidates", group=group)
        return False

    def _first_promoter(self, group: str) -> str:
        """Returns the instance that comes first to promote.

        An instance resumes its own promotion before others take it over.
        """
        record = self._fleet.primacy.records.get(group)
        if record is not None and record.promoting == self._fleet.name:
            return record.promoting
        duty = self._registry.duty
        return duty.holder if duty else ""

    def _cause(self, group: str) -> Cause | None:
        now = trio.current_time()
        primacy = self._fleet.primacy
        if self._fleet.name not in primacy.voters or now < self._backoff_until:
            return None
        if primacy.stands_down:
            return None
        if self._follower.endpoints_age > MAX_ENTRIES_AGE_SECONDS:
            return None
        record = primacy.records.get(group)
        if record is None:
            return Cause.UNKNOWN if self._claimed_primary(group) else None
        if not primacy.can_promote(now, ALIVE_SECONDS):
            return None
        if record.promoting or primacy.epoch(group) > record.epoch:
            changed_at = self._changed_at.get(group, (0, now))[1]
            is_own = record.promoting == self._fleet.name
            if now - changed_at > STALLED_SECONDS or is_own:
                return Cause.STALLED
            return None
        if now - self._started_at < PROOF_SECONDS * CLOCK_MARGIN:
            return None
        audit = self._fleet.audits.get(group)
        if audit is not None and audit.is_contradicted(record):
            return Cause.SUPERSEDED
        return promotion_cause(
            self._primary_view(group, record),
            max_wait=self._max_handover_wait,
            max_evacuation_wait=handover_wait(self._fleet.evacuation),
        )

    def _primary_view(
        self, group: str, record: GroupRecord | None
    ) -> PrimaryView:
        now = trio.current_time()
        name = "" if record is None else record.primary
        pool = self._fleet.pools.get(name)
        reports = self._gossip.peer_reports(group, ALIVE_SECONDS)
        since = self._fleet.missing_since.get(name)
        missing_for = 0.0 if since is None else now - since
        if name not in self._fleet.endpoints:
            missing_for = now - self._started_at
        endpoint = self._fleet.endpoints.get(name)
        return PrimaryView(
            unreachable_for=0.0
            if pool is None
            else max(0.0, pool.unreachable_seconds(now)),
            peers_unreachable_for=tuple(
                report.unreachable_for for report in reports.values()
            ),
            missing_for=missing_for,
            leaving_for=self._leaving.seconds(group, now),
            all_reachable=not any(
                self._gossip.missed_rounds(member)
                for member in self._registry.members
            ),
            evacuated_for=self._evacuated_for(group, endpoint),
        )

    def _evacuated_for(self, group: str, endpoint: Endpoint | None) -> float:
        if endpoint is None:
            return 0.0
        seconds = self._fleet.evacuation.seconds(
            endpoint.failure_domain, trio.current_time()
        )
        # The candidates are looked for only if that matters: it takes a pass
        # over all endpoints.
        return seconds if seconds and has_candidate(self._fleet, group) else 0.0

    def _note_leaving(self, group: str) -> None:
        record = self._fleet.primacy.records.get(group)
        name = "" if record is None else record.primary
        endpoint = self._fleet.endpoints.get(name)
        is_leaving = endpoint is not None and endpoint.leaving
        noted_at = trio.current_time() - CHECK_PERIOD_SECONDS
        self._leaving.note(group, noted_at, is_leaving=is_leaving)

    def _claimed_primary(self, group: str) -> str | None:
        names = [
            endpoint.name
            for endpoint in self._fleet.endpoints.values()
            if endpoint.group == group and endpoint.says_primary
        ]
        return names[0] if len(names) == 1 else None

    async def _run_promotion(self, group: str) -> None:
        try:
            cause = self._cause(group)
            if cause is Cause.UNKNOWN:
                await self._create_record(group)
            elif cause is not None:
                await self._replace_primary(group, cause)
        except UnreconciledError as exc:
            log_event("promotion put off", group=group, cause=str(exc))
            await trio.sleep(CHECK_PERIOD_SECONDS * 3)
        except StoreError as exc:
            log_event("promotion put off", group=group, cause=str(exc))
            self._backoff_until = (
                trio.current_time() + STORE_FAILURE_BACKOFF_SECONDS
            )
        except Exception as exc:
            self._note_fault(group, exc)
        finally:
            self._scheduled.pop(group, None)
            self._gossip.stop_urgent_rounds(group)
            self._running_groups.discard(group)

    async def _create_record(self, group: str) -> None:
        """Writes the first record of a group."""
        primary = self._claimed_primary(group)
        if primary is None:
            return
        pool = self._fleet.pools.get(primary)
        status = None if pool is None else await self._commands.status(pool)
        if status is not None and not status.is_primary:
            return
        term = 0 if status is None else status.term
        record = GroupRecord(epoch=1, primary=primary, term=term)
        if await self._registry.write({GROUP_PREFIX + group: record}):
            self._fleet.set_record(group, record)
        else:
            await self._follower.read_registry()

    async def _replace_primary(self, group: str, cause: Cause) -> None:
        # An instance that is partitioned from the store must not announce a
        # promotion that it cannot run: the announcement would make the others
        # stop using the primary.
        await self._follower.read_registry()
        if self._cause(group) is not cause:
            return
        primacy = self._fleet.primacy
        record = primacy.records[group]
        candidates = self._candidates(group, record, cause)
        if not candidates and cause not in REEXAMINING_CAUSES:
            log_event("promotion without candidates", group=group)
            await trio.sleep(CHECK_PERIOD_SECONDS * 5)
            return
        epoch = primacy.start_promotion(group)
        self._fleet.notify()
        self._gossip.start_urgent_rounds(group)
        started = msgspec.structs.replace(
            record, epoch=epoch, promoting=self._fleet.name
        )
        log_event(
            "promotion begins",
            group=group,
            epoch=epoch,
            cause=cause.value,
            primary=record.primary,
        )
        if await self._write_step(group, started) is None:
            return
        if await self._wait_released(group, epoch):
            await self._promote(group, started, cause)

    def _next_duty(self, *, renewed: bool = False) -> Duty:
        """Returns the duty as held by this instance.

        Args:
            renewed: Whether its fencing token must exceed the present one even
                if this instance already holds the duty.
        """
        duty = self._registry.duty
        if duty is None:
            return Duty(holder=self._fleet.name, fence=1)
        if duty.holder == self._fleet.name and not renewed:
            return duty
        return Duty(holder=self._fleet.name, fence=duty.fence + 1)

    async def _write_step(
        self, group: str, record: GroupRecord, *, renewed: bool = False
    ) -> Duty | None:
        """Writes a step of a promotion while this instance holds the duty.

        Steps of other groups that this instance promotes may change the duty
        at the same time; the write is then repeated.

        Args:
            group: The name of the group.
            record: The group's record after the step.
            renewed: Whether the fencing token must increase.

        Returns:
            The duty as written, or ``None`` if another instance has changed
            the record or holds the duty now.
        """
        known = self._registry.groups.get(group)
        while True:
            if self._effects.is_superseded(group, record):
                return None
            duty = self._next_duty(renewed=renewed)
            values: dict[str, RowValue] = {GROUP_PREFIX + group: record}
            unchanged: tuple[str, ...] = (DUTY_KEY,)
            if duty != self._registry.duty:
                values[DUTY_KEY] = duty
                unchanged = ()
            if await self._registry.write(values, unchanged=unchanged):
                self._fleet.set_record(group, record)
                return duty
            await self._follower.read_registry()
            holder = self._registry.duty.holder if self._registry.duty else ""
            if (
                self._registry.groups.get(group) != known
                or holder != self._fleet.name
            ):
                log_event(
                    "promotion record changed concurrently",
                    group=group,
                    epoch=record.epoch,
                )
                return None

    def _candidates(
        self, group: str, record: GroupRecord, cause: Cause
    ) -> list[EndpointPool]:
        return [
            pool
            for pool in self._fleet.group_pools(group)
            if is_candidate(self._fleet, pool)
            and (
                pool.endpoint.name != record.primary
                or cause in REEXAMINING_CAUSES
            )
        ]

    async def _wait_released(self, group: str, epoch: int) -> bool:
        """Waits until no instance uses the previous primary any more.

        The wait ends after ``STALLED_SECONDS`` at the latest.

        Returns:
            Whether it is certain that no instance uses it.
        """
        started_at = trio.current_time()
        majority_at = None
        is_released = False
        while (
            not is_released
            and trio.current_time() < started_at + STALLED_SECONDS
        ):
            await trio.sleep(POLL_SECONDS)
            now = trio.current_time()
            if self._fleet.primary_uses.get(group):
                continue
            released_by = self._released_by(group, epoch)
            members = self._registry.members.keys()
            if majority_at is None and self._fleet.primacy.is_majority(
                released_by, now
            ):
                majority_at = now
            is_released = released_by >= members or (
                majority_at is not None
                and now - majority_at > PROOF_SECONDS * CLOCK_MARGIN
            )
        log_event(
            "primary released" if is_released else "primary not released",
            group=group,
            epoch=epoch,
            waited=round(trio.current_time() - started_at, 3),
        )
        return is_released

    def _released_by(self, group: str, epoch: int) -> set[str]:
        """Returns the instances that use no primary from before an epoch."""
        reports = self._gossip.peer_reports(group, STALLED_SECONDS)
        names = {
            name
            for name, report in reports.items()
            if report.released_epoch >= epoch
        }
        return names | {self._fleet.name}

    async def _promote(
        self, group: str, record: GroupRecord, cause: Cause
    ) -> None:
        """Promotes an endpoint after the previous primary's release.

        The promotion is recorded before its call, so that whoever takes over
        knows which promotions may still take effect.
        """
        outcome = await self._effects.observe(group, record)
        if outcome is None:
            return
        pending = outcome.pending
        if (
            cause in REEXAMINING_CAUSES
            and not pending
            and await self._effects.find_unrecorded(group, record, cause)
        ):
            return
        received, terms, led = await self._find_logs(group, record, cause)
        if (
            not pending
            and record.term
            and await self._effects.end_unrecorded(group, record, led)
        ):
            return
        target = choose_target(
            received,
            previous=record.primary,
            pending=[promotion.endpoint for promotion in pending],
            leader=outcome.leader,
        )
        endpoint = None if target is None else self._fleet.endpoints.get(target)
        if target is None or endpoint is None:
            log_event("promotion without a target", group=group)
            await trio.sleep(CHECK_PERIOD_SECONDS * 2)
            return
        called = record_call(
            record,
            pending,
            PendingPromotion(endpoint=target, started=endpoint.started),
            terms,
        )
        answer = await self._call(group, called, target, received[target])
        if answer in (PromoteAnswer.ACCEPTED, PromoteAnswer.UNKNOWN):
            await self._effects.wait(group, called)
        elif answer is not None and pending:
            # Otherwise an earlier promotion's effect would not be final.
            await self._write_step(group, withdraw_call(called, pending))

    async def _find_logs(
        self, group: str, record: GroupRecord, cause: Cause
    ) -> CompleteLogs:
        """Returns the logs of the endpoints that may be promoted.

        In a group with synchronous replicas, these are only the ones that hold
        every acknowledged commit.
        """
        candidates = self._candidates(group, record, cause)
        if self._fleet.synchronous_replicas.count(group):
            names = [pool.endpoint.name for pool in candidates]
            return await self._surveyor.survey(group, record, names)
        # A failed primary may answer late, so the candidates wait for its log
        # only when it left, is evacuated or is gone.
        is_leaving = cause in (Cause.LEAVING, Cause.EVACUATED, Cause.GONE)
        old = self._fleet.pools.get(record.primary) if is_leaving else None
        statuses = await self._commands.statuses(candidates, old=old)
        return CompleteLogs(
            {name: status.received for name, status in statuses.items()},
            tuple(status.term for status in statuses.values()),
            led_terms(statuses),
        )

    async def _call(
        self, group: str, record: GroupRecord, target: str, received: Position
    ) -> PromoteAnswer | None:
        """Records a promotion and calls the platform for it.

        A higher fencing token marks the call as the later one if the promotion
        of another endpoint is pending. Such a call overlaps with no other one:
        a lower token must not arrive after a higher one.

        Returns:
            The platform's answer; ``None`` if it was not called, because
            another instance has changed the record or holds the duty now.
        """
        renewed = len(record.pending) > 1
        while self._is_renewing or (renewed and self._calls_in_flight):
            await trio.sleep(POLL_SECONDS)
        self._is_renewing = renewed
        self._calls_in_flight += 1
        try:
            duty = await self._write_step(group, record, renewed=renewed)
            if duty is None:
                return None
            answer = await self._duties.promote(
                group, target, holder=self._fleet.name, fence=duty.fence
            )
        finally:
            self._calls_in_flight -= 1
            if renewed:
                self._is_renewing = False
        log_event(
            "promotion sent",
            group=group,
            target=target,
            fence=duty.fence,
            answer=answer.value,
            received=str(received),
        )
        self._metrics.count("promotions", answer=answer.value)
        if answer in (PromoteAnswer.REFUSED, PromoteAnswer.NOT_RUNNING):
            await trio.sleep(CHECK_PERIOD_SECONDS)
        return answer
