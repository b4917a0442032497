"""Observes the effects of promotions and records the new primaries."""

import trio

from lagoonstair.platform.store import StoreError
from lagoonstair.primacy import (
    Cause,
    GroupRecord,
    PendingPromotion,
    PromotionOutcome,
    confirmed_primary,
    promoted_endpoint,
    unrecorded_primary,
    unresolved_promotions,
)
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._follower import MISSING_ENTRY_SECONDS, Follower
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._orders import EndpointCommands, led_terms
from lagoonstair.proxy._registry import Registry
from lagoonstair.proxy._registry_rows import GROUP_PREFIX

EFFECT_SECONDS = 3.0
"""Time (s) after which a promotion without effect is called again; it usually
takes 0.6 s to 1 s. The call may take effect later all the same."""

RECORD_ATTEMPTS = 20
"""Number of attempts to write the result of a promotion. After an error of the
store, the next one starts after ``RECORD_RETRY_SECONDS``; after a conflict, as
soon as the registry has been read."""

RECORD_RETRY_SECONDS = 0.3
"""Time (s) between an error of the store and the next attempt."""


class PromotionEffects:
    """Finds out which promotions have taken effect, for the promoter."""

    def __init__(
        self,
        fleet: Fleet,
        registry: Registry,
        follower: Follower,
        commands: EndpointCommands,
        metrics: Metrics,
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self._follower = follower
        self._commands = commands
        self._metrics = metrics
        self._started_at = trio.current_time()

    def unresolved(self, record: GroupRecord) -> tuple[PendingPromotion, ...]:
        """Returns the pending promotions that may still take effect.

        Right after this instance's start, entries may be missing because of an
        outage of the store, so no process counts as ended yet.
        """
        uptime = trio.current_time() - self._started_at
        if uptime < MISSING_ENTRY_SECONDS:
            return record.pending
        processes = {
            name: endpoint.started
            for name, endpoint in self._fleet.endpoints.items()
        }
        return unresolved_promotions(record, processes)

    async def observe(
        self, group: str, record: GroupRecord
    ) -> PromotionOutcome | None:
        """Records the new primary if the pending promotions have an outcome.

        Returns:
            The outcome so far, or ``None`` if the new primary was recorded.
        """
        names = {promotion.endpoint for promotion in self.unresolved(record)}
        terms = await self._commands.led_terms(names)
        return await self._conclude(group, record, terms)

    async def wait(self, group: str, record: GroupRecord) -> None:
        """Waits for the outcome of the pending promotions and records it.

        Without an outcome the record stays as it is: the promotion is taken
        over, and the endpoint that was called last remains the first choice.
        """
        names = {promotion.endpoint for promotion in record.pending}
        statuses = await self._commands.follow_statuses(
            filter(None, map(self._fleet.pools.get, names)),
            lambda statuses: (
                promoted_endpoint(
                    record, self.unresolved(record), led_terms(statuses)
                )
                is not None
            ),
            EFFECT_SECONDS,
        )
        outcome = await self._conclude(group, record, led_terms(statuses))
        if outcome is not None and outcome.leader is None:
            log_event(
                "promoted endpoint did not become primary",
                group=group,
                pending=[promotion.endpoint for promotion in outcome.pending],
            )

    async def find_unrecorded(
        self, group: str, record: GroupRecord, cause: Cause
    ) -> bool:
        """Records the primary that a promotion with a lost record has made.

        Returns:
            Whether there is one.
        """
        names = [pool.endpoint.name for pool in self._fleet.group_pools(group)]
        terms = await self._commands.led_terms(names)
        if cause is not Cause.SUPERSEDED:
            return await self.end_unrecorded(group, record, terms)
        # If the recorded primary leads after all, it stays.
        leader = confirmed_primary(record, terms)
        if leader is not None:
            await self._end_promotion(group, record, leader, terms)
        return leader is not None

    async def end_unrecorded(
        self, group: str, record: GroupRecord, terms: dict[str, int]
    ) -> bool:
        """Records the endpoint that leads a newer term than the recorded one.

        Args:
            group: The name of the group.
            record: Its record, without pending promotions.
            terms: The term of each endpoint that regards itself as the
                primary.

        Returns:
            Whether there is one.
        """
        registered = {
            name: term
            for name, term in terms.items()
            if name in self._fleet.endpoints
        }
        leader = unrecorded_primary(record, registered)
        if leader is None:
            return False
        log_event(
            "primary without a record",
            group=group,
            primary=leader,
            term=terms[leader],
        )
        await self._end_promotion(group, record, leader, terms)
        return True

    def is_superseded(self, group: str, record: GroupRecord) -> bool:
        """Returns whether the registry has a record that replaces a step."""
        known = self._registry.groups.get(group)
        if known is None or known.epoch < record.epoch:
            return False
        log_event(
            "promotion record changed concurrently",
            group=group,
            epoch=record.epoch,
            known=known.epoch,
        )
        return True

    async def _conclude(
        self, group: str, record: GroupRecord, terms: dict[str, int]
    ) -> PromotionOutcome | None:
        """Records the new primary if no pending promotion can replace it.

        Args:
            group: The name of the group.
            record: Its record.
            terms: The term of each endpoint that regards itself as the
                primary.

        Returns:
            The outcome so far, or ``None`` if the new primary was recorded.
        """
        pending = self.unresolved(record)
        outcome = PromotionOutcome.from_terms(record, pending, terms)
        if outcome.leader is None:
            return outcome
        if outcome.is_final:
            await self._end_promotion(group, record, outcome.leader, terms)
            return None
        self._metrics.count("promotions_in_doubt")
        log_event(
            "promoted endpoint may be replaced",
            group=group,
            primary=outcome.leader,
            term=outcome.term,
            pending=[promotion.endpoint for promotion in outcome.pending],
        )
        return outcome

    async def _end_promotion(
        self,
        group: str,
        record: GroupRecord,
        leader: str,
        terms: dict[str, int],
    ) -> None:
        """Records the new primary and demotes those of older terms."""
        await self._record_primary(group, record, leader, terms[leader])
        for name in sorted({record.primary, *terms} - {leader}):
            await self._commands.demote(name, leader, terms[leader])

    async def _record_primary(
        self, group: str, started: GroupRecord, target: str, term: int
    ) -> None:
        """Writes the record of the new primary.

        If no attempt succeeds, another instance takes the promotion over.
        """
        finished = GroupRecord(
            epoch=started.epoch + 1, primary=target, term=term
        )
        for _ in range(RECORD_ATTEMPTS):
            if self.is_superseded(group, finished):
                return
            try:
                committed = await self._registry.write(
                    {GROUP_PREFIX + group: finished}
                )
                if committed is None:
                    await self._follower.read_registry()
                    continue
                self._fleet.set_record(group, finished)
                return
            except StoreError as exc:
                log_event("promotion not recorded", cause=str(exc))
                await trio.sleep(RECORD_RETRY_SECONDS)
