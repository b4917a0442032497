"""What an instance knows of groups, endpoints and other instances."""

import math
import random
from collections.abc import Callable, Iterable, Iterator, Mapping

import trio

from lagoonstair._types import Position
from lagoonstair.primacy import GroupRecord, GroupReport, Primacy
from lagoonstair.proxy._homes import HomeAssignment, InstanceResources
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._pool import EndpointPool
from lagoonstair.routing import (
    Endpoint,
    EndpointLoad,
    PositionHistory,
    RoutingConfig,
)

DEFAULT_MAX_CONNECTIONS = 30
"""What an endpoint is taken to accept before the configuration tells."""

MIN_CONNECTION_BUDGET = 2
"""Connections that an instance has at least: a transaction and a read."""

FAILURE_DETECTION_SECONDS = 1.3
"""From a primary's failure to the start of its replacement."""

PROMOTION_SECONDS = 1.4
"""From the start of a promotion to its end: the platform takes 0.6 to 1 s."""

UNKNOWN_RECOVERY_SECONDS = 3.0
"""When a caller is told to come back if the cause is not known here."""


class Fleet:
    """The shared state of one instance.

    Attributes:
        name: The instance's name.
        failure_domain: Where it runs.
        config: The newest configuration; ``None`` before the first.
        endpoints: The endpoints by name, with those that just went missing.
        missing_since: Since when an endpoint's entry has been missing.
        primacy: Which primaries may be used.
        pools: Connections by endpoint.
        homes: Which instances run the workspaces' statements.
        places: Where each instance runs, and what it can do.
        uses: Statements and transactions that run on a group's primary,
            by group.
        on_config: Called when the configuration or the instances change.
    """

    def __init__(
        self, name: str, failure_domain: str, metrics: Metrics
    ) -> None:
        self._metrics = metrics
        self._changed = trio.Event()
        self._histories: dict[str, PositionHistory] = {}
        self._promoting_since: dict[str, float] = {}
        self._released_epochs: dict[str, int] = {}
        self.name = name
        self.failure_domain = failure_domain
        self.config: RoutingConfig | None = None
        self.endpoints: dict[str, Endpoint] = {}
        self.missing_since: dict[str, float] = {}
        self.primacy = Primacy(name)
        self.pools: dict[str, EndpointPool] = {}
        self.homes = HomeAssignment(
            {name: InstanceResources(failure_domain)},
            max_connections=DEFAULT_MAX_CONNECTIONS,
            workspaces=1,
        )
        self.primary_uses: dict[str, int] = {}
        self.places: dict[str, InstanceResources] = {}
        self.config_listeners: list[Callable[[], None]] = []

    def set_config(self, config: RoutingConfig) -> bool:
        """Takes a configuration; false when it is no newer."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.update_budgets()
        for notify in self.config_listeners:
            notify()
        return True

    def set_endpoint(self, endpoint: Endpoint) -> None:
        """Takes an endpoint's entry."""
        known = self.endpoints.get(endpoint.name)
        self.missing_since.pop(endpoint.name, None)
        if known == endpoint:
            return
        self.endpoints[endpoint.name] = endpoint
        pool = self.pools.get(endpoint.name)
        if pool is None or _is_different_process(pool.endpoint, endpoint):
            if pool is not None:
                pool.close()
            budget = self._budget(endpoint)
            self.pools[endpoint.name] = EndpointPool(
                endpoint, budget, self._note_endpoint_position
            )
        else:
            pool.endpoint = endpoint
        log_event(
            "endpoint changed",
            endpoint=endpoint.name,
            group=endpoint.group,
            leaving=endpoint.leaving,
            says_primary=endpoint.says_primary,
        )
        self.notify()

    def drop_endpoint(self, name: str) -> None:
        """Forgets an endpoint that is gone."""
        endpoint = self.endpoints.pop(name, None)
        self.missing_since.pop(name, None)
        pool = self.pools.pop(name, None)
        if pool is not None:
            pool.close()
        if endpoint is not None:
            log_event("endpoint gone", endpoint=name, group=endpoint.group)
        self.notify()

    def set_record(self, group: str, record: GroupRecord) -> None:
        """Takes the record of a group's primary."""
        if not self.primacy.apply(group, record):
            return
        if record.promoting:
            self._promoting_since[group] = trio.current_time()
        else:
            self._promoting_since.pop(group, None)
        log_event(
            "primary record changed",
            group=group,
            epoch=record.epoch,
            primary=record.primary,
            promoting=record.promoting,
        )
        self._metrics.count("primary_records")
        self.notify()

    def update_budgets(self) -> None:
        """Shares the endpoints' connections among the instances anew."""
        if self.config is not None and self.places:
            least = min(
                (g.max_connections for g in self.config.groups.values()),
                default=DEFAULT_MAX_CONNECTIONS,
            )
            self.homes = HomeAssignment(
                self.places,
                max_connections=least,
                workspaces=len(self.config.workspaces),
            )
        for pool in self.pools.values():
            pool.budget = self._budget(pool.endpoint)

    def notify(self) -> None:
        """Wakes who waits for a change of this state."""
        event, self._changed = self._changed, trio.Event()
        event.set()

    async def wait_change(self, seconds: float) -> None:
        """Waits for a change of this state."""
        with trio.move_on_after(max(0.0, seconds)):
            await self._changed.wait()

    def primary(self, group: str) -> EndpointPool | None:
        """The primary that may be used now."""
        name = self.primacy.primary(group, trio.current_time())
        return None if name is None else self.pools.get(name)

    def group_pools(self, group: str) -> Iterator[EndpointPool]:
        """The endpoints of a group."""
        return (
            pool for pool in self.pools.values() if pool.endpoint.group == group
        )

    def loads(
        self, group: str, workspace: str, *, except_for: Iterable[str] = ()
    ) -> list[EndpointLoad]:
        """What a choice between a group's endpoints needs to know."""
        now = trio.current_time()
        return [
            pool.load(workspace, now)
            for pool in self.group_pools(group)
            if pool.endpoint.name not in except_for
        ]

    def note_position(
        self, group: str, asked_at: float, position: Position
    ) -> None:
        """Notes what the present primary reported."""
        history = self._histories.setdefault(group, PositionHistory())
        history.record(asked_at, position)

    def covering(self, group: str, since: float) -> Position | None:
        """A position that covers all acknowledged before a time."""
        history = self._histories.get(group)
        return None if history is None else history.covering(since)

    def reported_at(self, group: str) -> float:
        """When the present primary last reported its position to anybody."""
        history = self._histories.get(group)
        latest = None if history is None else history.latest()
        return -math.inf if latest is None else latest.asked_at

    def mark_released(self, group: str) -> None:
        """Notes that no earlier primary of the group is used any more."""
        self._released_epochs[group] = self.primacy.epoch(group)

    def estimate_recovery(self, group: str) -> float:
        """In how many seconds the group probably has a usable primary."""
        now = trio.current_time()
        since = self._promoting_since.get(group)
        if since is not None:
            return max(0.05, since + PROMOTION_SECONDS - now)
        record = self.primacy.records.get(group)
        pool = None if record is None else self.pools.get(record.primary)
        failing = (
            0.0 if pool is None else max(0.0, pool.unreachable_seconds(now))
        )
        if pool is None or failing > UNKNOWN_RECOVERY_SECONDS:
            # Others reach it, or a promotion can't begin: nobody knows.
            return UNKNOWN_RECOVERY_SECONDS
        if failing > 0:
            return max(
                0.1, FAILURE_DETECTION_SECONDS + PROMOTION_SECONDS - failing
            )
        return 0.1

    def group_reports(self) -> list[GroupReport]:
        """What this instance tells others of all groups."""
        groups = {endpoint.group for endpoint in self.endpoints.values()}
        return [self._group_report(group) for group in sorted(groups)]

    def apply_group_reports(
        self, statements: Iterable[GroupReport], asked_at: float
    ) -> None:
        """Takes the positions that another instance observed."""
        for statement in statements:
            if statement.offset < 0:
                continue
            seen_at = asked_at - statement.position_age
            position = Position(statement.term, statement.offset)
            self.note_position(statement.group, seen_at, position)

    def _note_endpoint_position(
        self, pool: EndpointPool, asked_at: float
    ) -> None:
        """Takes what an endpoint reported, if it is the proved primary.

        The answer to the opening of a connection reports it too, so that
        reads move to the replicas before the first statement has run.
        """
        group = pool.endpoint.group
        if pool.position is not None and self.primary(group) is pool:
            self.note_position(group, asked_at, pool.position)

    def _group_report(self, group: str) -> GroupReport:
        now = trio.current_time()
        primacy = self.primacy
        record = primacy.records.get(group)
        pool = None if record is None else self.pools.get(record.primary)
        history = self._histories.get(group)
        latest = None if history is None else history.latest()
        if not self.primary_uses.get(group) and (
            record is None
            or record.promoting
            or record.epoch < primacy.epoch(group)
        ):
            self.mark_released(group)
        return GroupReport(
            group=group,
            epoch=primacy.epoch(group),
            released_epoch=self._released_epochs.get(group, 0),
            term=latest.position.term if latest else 0,
            offset=latest.position.offset if latest else -1,
            position_age=round(now - latest.asked_at, 4) if latest else 0.0,
            unreachable_for=round(pool.unreachable_seconds(now), 3)
            if pool
            else -1.0,
        )

    def _budget(self, endpoint: Endpoint) -> int:
        if self.config is None:
            return MIN_CONNECTION_BUDGET
        group = self.config.groups.get(endpoint.group)
        if group is None:
            return MIN_CONNECTION_BUDGET
        share = self.homes.connection_share(self.name)
        return max(MIN_CONNECTION_BUDGET, int(group.max_connections * share))


def _is_different_process(known: Endpoint, new: Endpoint) -> bool:
    """Whether an entry is of another process than the one known."""
    return (known.address, known.started, known.group) != (
        new.address,
        new.started,
        new.group,
    )


def jittered(seconds: float) -> float:
    """A duration that is up to a half longer, so that instances spread."""
    return seconds * (1 + random.random() / 2)


def epochs_of(statements: Iterable[GroupReport]) -> Mapping[str, int]:
    """The epoch of each group that an instance knows."""
    return {item.group: item.epoch for item in statements}
