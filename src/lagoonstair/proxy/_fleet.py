"""One instance's state of groups, endpoints and other instances."""

import math
import random
from collections.abc import Callable, Iterable, Iterator, Mapping

import trio

from lagoonstair._types import Position
from lagoonstair.evacuation import Evacuations, is_excluded
from lagoonstair.features import Features
from lagoonstair.homes import (
    DEFAULT_MAX_CONNECTIONS,
    HomeAssignment,
    InstanceResources,
)
from lagoonstair.primacy import (
    GroupRecord,
    GroupReport,
    Primacy,
    RecordAudit,
)
from lagoonstair.proxy._admission import Admission, EndpointAdmission
from lagoonstair.proxy._cold import ColdEndpoints
from lagoonstair.proxy._departures import Departures, SynchronousReplicas
from lagoonstair.proxy._distance import DistanceMeter, log_homes
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._pool import EndpointPool
from lagoonstair.proxy._region_filter import RegionFilter
from lagoonstair.proxy._supervisor import Supervisor
from lagoonstair.routing import (
    Endpoint,
    EndpointLoad,
    Observation,
    PositionHistory,
    RoutingConfig,
)

MIN_CONNECTION_BUDGET = 2
"""Lower bound on an instance's connections to an endpoint: one for a
transaction and one for a read."""

FAILURE_DETECTION_SECONDS = 1.3
"""Expected time (s) from a primary's failure to the start of its promotion."""

PROMOTION_SECONDS = 1.4
"""Expected duration (s) of a promotion, of which the platform takes 0.6 s to
1 s."""

OVERDUE_SECONDS = 4.2
"""Duration (s) of a promotion from which on its end is not foreseeable. With an
unresponsive instance, whose proofs must expire, it takes up to 3.5 s."""

UNKNOWN_RECOVERY_SECONDS = 3.0
"""Retry delay (s) given to a caller when this instance does not know why the
primary is unusable."""


class Fleet:
    """State shared by the components of one instance.

    Attributes:
        name: The instance's name.
        failure_domain: The failure domain in which the instance runs.
        config: The newest configuration; ``None`` before the first.
        endpoints: The endpoints by name, including those whose discovery
            entry went missing only recently.
        missing_since: When the entry of a missing endpoint was first missed,
            by endpoint name, in seconds.
        primacy: Decides which primaries may be used.
        pools: Connection pools by endpoint name.
        homes: The assignment of workspaces to the instances that run their
            statements.
        places: The failure domain and capacity of each instance, by name.
        primary_uses: Number of statements and transactions that run on a
            group's primary, by group.
        config_listeners: Called when the configuration or the set of
            instances changes.
        departures: The endpoints that have left lately.
        synchronous_replicas: How many replicas hold each acknowledged commit.
        features: The optional features that the settings call for.
        region_filter: Where the requests with home regions may run.
        cold: The endpoints that have just started.
        audits: What the endpoints' answers say about the groups' records.
        evacuation: The evacuated failure domains.
        distances: The measured distances to the other regions.
        supervisor: Contains unexpected exceptions.
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        metrics: Metrics,
        features: Features | None = None,
    ) -> None:
        self._metrics = metrics
        self.features = features or Features()
        self.region_filter = RegionFilter(self.features.regions, metrics)
        self.cold = ColdEndpoints(self.features.cold_limits, metrics)
        self.audits: dict[str, RecordAudit] = {}
        self.evacuation = Evacuations(self.features.evacuation_bound)
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
        self.departures = Departures()
        self.synchronous_replicas = SynchronousReplicas()
        self.distances = DistanceMeter(
            self.features.regions, failure_domain, metrics
        )
        self.supervisor = Supervisor(metrics)

    def set_config(self, config: RoutingConfig) -> bool:
        """Applies a configuration.

        Returns:
            Whether it was newer than the known one and was applied.
        """
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.synchronous_replicas.apply(config.groups)
        with self.supervisor.contain("home regions"):
            self.region_filter.apply(config)
        with self.supervisor.contain("connection budgets"):
            self.update_budgets()
        with self.supervisor.contain("cold endpoints"):
            self.cold.apply(config.groups)
        self.notify_config_listeners()
        return True

    def notify_config_listeners(self) -> None:
        """Tells all listeners of a new configuration or set of instances."""
        for notify in self.config_listeners:
            with self.supervisor.contain("configuration listener"):
                notify()

    def set_endpoint(self, endpoint: Endpoint) -> None:
        """Adds or updates an endpoint from its discovery entry."""
        known = self.endpoints.get(endpoint.name)
        missing_since = self.missing_since.pop(endpoint.name, None)
        with self.supervisor.contain("cold endpoints"):
            self.cold.observe(endpoint)
        if known == endpoint:
            return
        if known is not None and _is_different_process(known, endpoint):
            self.departures.note(known, missing_since)
        self.departures.forget(endpoint)
        self.endpoints[endpoint.name] = endpoint
        pool = self.pools.get(endpoint.name)
        if pool is None or _is_different_process(pool.endpoint, endpoint):
            if pool is not None:
                pool.close()
            budget = self._budget(endpoint)
            self.pools[endpoint.name] = EndpointPool(
                endpoint,
                budget,
                self._note_endpoint_position,
                self.supervisor,
                self._admission_of(endpoint),
                self.is_excluded,
            )
        else:
            pool.endpoint = endpoint
            pool.admission.set_slots(endpoint.slots)
        log_event(
            "endpoint changed",
            endpoint=endpoint.name,
            group=endpoint.group,
            leaving=endpoint.leaving,
            says_primary=endpoint.says_primary,
        )
        self.notify()

    def drop_endpoint(self, name: str) -> None:
        """Removes an endpoint and closes its connections."""
        endpoint = self.endpoints.pop(name, None)
        missing_since = self.missing_since.pop(name, None)
        if endpoint is not None:
            self.departures.note(endpoint, missing_since)
        self.cold.drop(name)
        pool = self.pools.pop(name, None)
        if pool is not None:
            pool.close()
        if endpoint is not None:
            log_event("endpoint gone", endpoint=name, group=endpoint.group)
        self.notify()

    def set_record(self, group: str, record: GroupRecord) -> None:
        """Applies the record of a group's primary if it is newer."""
        if not self.primacy.apply(group, record):
            return
        if record.promoting:
            # An attempt that begins again goes on with the same promotion.
            self._promoting_since.setdefault(group, trio.current_time())
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
        """Recomputes this instance's share of the endpoints' connections."""
        if self.config is not None and self.places:
            previous = self.homes
            self.homes = HomeAssignment.from_config(
                self.places, self.config, self.features.regions
            )
            log_homes(previous, self.homes, self.features.regions)
        for pool in self.pools.values():
            pool.budget = self._budget(pool.endpoint)

    def notify(self) -> None:
        """Wakes the tasks that wait for a change of this state."""
        event, self._changed = self._changed, trio.Event()
        event.set()

    async def wait_change(self, seconds: float) -> None:
        """Waits for a change of this state, for the given seconds at most."""
        with trio.move_on_after(max(0.0, seconds)):
            await self._changed.wait()

    def primary(self, group: str) -> EndpointPool | None:
        """Returns the pool of a group's primary if it may be used now."""
        name = self.primacy.primary(group, trio.current_time())
        return None if name is None else self.pools.get(name)

    def is_excluded(self, pool: EndpointPool) -> bool:
        """Returns whether an endpoint may not serve statements of callers."""
        if not self.evacuation.is_active:
            return False
        record = self.primacy.records.get(pool.endpoint.group)
        return is_excluded(
            self.evacuation,
            pool.endpoint.failure_domain,
            is_primary=record is not None
            and record.primary == pool.endpoint.name,
            now=trio.current_time(),
        )

    def group_pools(self, group: str) -> Iterator[EndpointPool]:
        """Returns the pools of a group's endpoints."""
        return (
            pool for pool in self.pools.values() if pool.endpoint.group == group
        )

    def loads(
        self, group: str, workspace: str, *, except_for: Iterable[str] = ()
    ) -> list[EndpointLoad]:
        """Returns the load of each endpoint of a group, for routing.

        Args:
            group: The name of the group.
            workspace: The workspace on whose behalf a statement is to run.
            except_for: Names of endpoints to leave out.
        """
        now = trio.current_time()
        return [
            pool.load(workspace, now)
            for pool in self.group_pools(group)
            if pool.endpoint.name not in except_for
        ]

    def note_position(
        self, group: str, asked_at: float, position: Position
    ) -> None:
        """Records a log position that the current primary reported.

        Args:
            group: The name of the group.
            asked_at: When the reported position was requested, in seconds.
            position: The reported position.
        """
        history = self._histories.setdefault(group, PositionHistory())
        history.record(asked_at, position)

    def covering(self, group: str, since: float) -> Position | None:
        """Returns a position that covers all commits acknowledged by a time.

        It is ``None`` when no recorded position is recent enough.
        """
        history = self._histories.get(group)
        return None if history is None else history.covering(since)

    def reported_at(self, group: str) -> float:
        """Returns when any instance last received the primary's position.

        The time is that of the request, in seconds, and negative infinity if
        there has been none.
        """
        history = self._histories.get(group)
        latest = None if history is None else history.latest()
        return -math.inf if latest is None else latest.asked_at

    def mark_released(self, group: str) -> None:
        """Records that this instance uses no earlier primary of the group."""
        self._released_epochs[group] = self.primacy.epoch(group)

    def estimate_recovery(self, group: str) -> float:
        """Estimates the seconds until the group has a usable primary."""
        now = trio.current_time()
        since = self._promoting_since.get(group)
        if since is not None and now - since < OVERDUE_SECONDS:
            return max(0.05, since + PROMOTION_SECONDS - now)
        if since is not None:
            # It waits for a database, the platform or the store.
            return UNKNOWN_RECOVERY_SECONDS
        record = self.primacy.records.get(group)
        pool = None if record is None else self.pools.get(record.primary)
        unreachable_for = (
            0.0 if pool is None else max(0.0, pool.unreachable_seconds(now))
        )
        if pool is None or unreachable_for > UNKNOWN_RECOVERY_SECONDS:
            # Either other instances still reach the primary, or a promotion
            # cannot start; the time to recovery is unknown in both cases.
            return UNKNOWN_RECOVERY_SECONDS
        if unreachable_for > 0:
            return max(
                0.1,
                FAILURE_DETECTION_SECONDS + PROMOTION_SECONDS - unreachable_for,
            )
        return 0.1

    def group_reports(self) -> list[GroupReport]:
        """Returns this instance's reports on all groups, for its peers."""
        groups = {endpoint.group for endpoint in self.endpoints.values()}
        return [self._group_report(group) for group in sorted(groups)]

    def apply_group_reports(
        self, reports: Iterable[GroupReport], asked_at: float
    ) -> None:
        """Records the log positions that a peer observed.

        Args:
            reports: The peer's reports.
            asked_at: When the peer was asked for them, in seconds.
        """
        for report in reports:
            if report.offset < 0:
                continue
            reported_at = asked_at - report.position_age
            position = Position(report.term, report.offset)
            self.note_position(report.group, reported_at, position)

    def latest_position(self, group: str) -> Observation | None:
        """Returns the newest known position of a group's primary."""
        history = self._histories.get(group)
        return None if history is None else history.latest()

    def _note_endpoint_position(
        self, pool: EndpointPool, asked_at: float
    ) -> None:
        """Records an endpoint's position if it is the usable primary.

        The answer to the opening of a connection also carries a position, so
        reads can go to replicas before the first statement has run.
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

    def _admission_of(self, endpoint: Endpoint) -> Admission:
        if self.features.overload_control:
            return EndpointAdmission(endpoint, self._metrics)
        return Admission(endpoint.slots)

    def _budget(self, endpoint: Endpoint) -> int:
        if self.config is None:
            return MIN_CONNECTION_BUDGET
        group = self.config.groups.get(endpoint.group)
        if group is None:
            return MIN_CONNECTION_BUDGET
        share = self.homes.connection_share(self.name)
        return max(MIN_CONNECTION_BUDGET, int(group.max_connections * share))


def _is_different_process(known: Endpoint, new: Endpoint) -> bool:
    """Returns whether an entry describes a different process than before."""
    return (known.address, known.started, known.group) != (
        new.address,
        new.started,
        new.group,
    )


def jittered(seconds: float) -> float:
    """Lengthens a duration by up to a half so that instances spread out."""
    return seconds * (1 + random.random() / 2)


def epochs_of(reports: Iterable[GroupReport]) -> Mapping[str, int]:
    """Returns the epoch in each report, by group."""
    return {report.group: report.epoch for report in reports}
