"""Asks endpoints for their role where their entries contradict a record."""

import trio

from lagoonstair.primacy import RecordAudit, contradicts_record
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._orders import EndpointCommands

CHECK_PERIOD_SECONDS = 0.4
"""Interval (s) between comparisons of the entries with the records. A
suspicion must hold for one, since entries change before the record does."""

RECHECK_SECONDS = 2.0
"""Time (s) after which an endpoint is asked again if its answer agreed with
the record. Each query opens a connection."""


class RoleChecker:
    """Finds records that name an endpoint which does not lead."""

    def __init__(self, fleet: Fleet, commands: EndpointCommands) -> None:
        self._fleet = fleet
        self._commands = commands
        self._suspects: dict[str, tuple[int, tuple[str, ...]]] = {}
        self._next_query: dict[str, float] = {}

    async def run(self) -> None:
        """Checks all groups until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(CHECK_PERIOD_SECONDS)
                if self._fleet.name not in self._fleet.primacy.voters:
                    continue
                for group, names in self._held_suspicions().items():
                    nursery.start_soon(self._check_contained, group, names)

    def _held_suspicions(self) -> dict[str, tuple[str, ...]]:
        """Returns the endpoints to ask, by group."""
        now = trio.current_time()
        previous = self._suspects
        self._suspects = self._find_suspects()
        return {
            group: suspects[1]
            for group, suspects in self._suspects.items()
            if previous.get(group) == suspects
            and now >= self._next_query.get(group, 0.0)
        }

    def _find_suspects(self) -> dict[str, tuple[int, tuple[str, ...]]]:
        """Returns the endpoints whose entries contradict a settled record.

        Returns:
            The record's epoch and the names, by group.
        """
        suspects: dict[str, tuple[int, tuple[str, ...]]] = {}
        records = self._fleet.primacy.records
        for name, pool in self._fleet.pools.items():
            group = pool.endpoint.group
            record = records.get(group)
            if (
                record is not None
                and contradicts_record(
                    record, name, says_primary=pool.endpoint.says_primary
                )
                and not record.promoting
                and self._fleet.primacy.epoch(group) == record.epoch
                and pool.unreachable_since is None
                and not self._fleet.is_excluded(pool)
            ):
                _, names = suspects.get(group, (0, ()))
                suspects[group] = (record.epoch, (*names, name))
        return suspects

    async def _check_contained(
        self, group: str, names: tuple[str, ...]
    ) -> None:
        with self._fleet.supervisor.contain("role check", group=group):
            await self._check(group, names)

    async def _check(self, group: str, names: tuple[str, ...]) -> None:
        record = self._fleet.primacy.records[group]
        self._next_query[group] = trio.current_time() + RECHECK_SECONDS
        audit = self._fleet.audits.setdefault(group, RecordAudit())
        was_contradicted = audit.is_contradicted(record)
        for name in names:
            pool = self._fleet.pools.get(name)
            asked_at = trio.current_time()
            status = None if pool is None else await self._commands.status(pool)
            if status is not None:
                audit.note_status(
                    record,
                    name,
                    is_primary=status.is_primary,
                    term=status.term,
                    asked_at=asked_at,
                )
        if audit.has_doubt(record):
            # Whether it stays a replica decides.
            self._next_query[group] = 0.0
        if audit.is_contradicted(record) and not was_contradicted:
            log_event(
                "recorded primary does not lead",
                group=group,
                epoch=record.epoch,
                primary=record.primary,
                term=record.term,
                suspects=names,
            )
