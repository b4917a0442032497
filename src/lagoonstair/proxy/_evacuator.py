"""Carries out the evacuation of failure domains on this instance."""

import random
from typing import Protocol

import trio

from lagoonstair.evacuation import (
    Change,
    EvacuationSet,
    HandoverState,
    is_excluded,
    must_refuse,
    skipped_for_read,
)
from lagoonstair.platform import operator
from lagoonstair.platform.store import Rows
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._pool import EndpointPool

CHECK_PERIOD_SECONDS = 0.1
"""Interval (s) between checks of what has to end; a small part of any bound."""


class OpenTransactions(Protocol):
    """The transactions that callers have open."""

    def abandon_stopped(self) -> int:
        """Ends those on endpoints that may not be used; returns how many."""


class Evacuator:
    """Applies the evacuated domains to this instance, and logs them."""

    def __init__(self, fleet: Fleet, metrics: Metrics) -> None:
        self._fleet = fleet
        self._metrics = metrics
        self._unreadable: set[str] = set()
        if fleet.evacuation.is_enabled:
            metrics.set("evacuated_domains", 0)

    async def run(self, transactions: OpenTransactions) -> None:
        """Ends what an evacuation ends in time, until cancelled."""
        while True:
            await trio.sleep(CHECK_PERIOD_SECONDS)
            change = self._fleet.evacuation.expire(trio.current_time())
            self._note(change, source="restore window")
            if self._fleet.evacuation.is_active:
                self._end_stopped(transactions)
                self._close_excluded()

    def apply(
        self, new: EvacuationSet, *, source: str, current_at: float
    ) -> None:
        """Applies a whole set.

        Args:
            new: The set.
            source: Where it came from, for the log: the call to the store, or
                the name of a peer.
            current_at: The newest time, in seconds, for which the set known
                before is certain to have been the newest.
        """
        change = self._fleet.evacuation.apply(
            new, trio.current_time(), current_at=current_at
        )
        self._note(change, source)

    def apply_rows(
        self, rows: Rows, *, is_whole: bool, source: str, current_at: float
    ) -> None:
        """Applies rows of the operator's table.

        Args:
            rows: The rows.
            is_whole: Whether they are the whole table.
            source: See ``apply``.
            current_at: See ``apply``.
        """
        if not self._fleet.evacuation.is_enabled:
            return
        found = operator.decode_evacuations(rows.rows)
        self._note_unreadable(found, is_whole=is_whole)
        if is_whole:
            domains = tuple(sorted(found.present))
            new = EvacuationSet(rows.era, rows.version, domains)
            self.apply(new, source=source, current_at=current_at)
            return
        change = self._fleet.evacuation.apply_rows(
            (rows.era, rows.version),
            found.present,
            found.absent,
            trio.current_time(),
            current_at=current_at,
        )
        self._note(change, source)

    def _note_unreadable(
        self, found: operator.EvacuationRows, *, is_whole: bool
    ) -> None:
        """Logs each unreadable row once, until it is written well."""
        if is_whole:
            self._unreadable &= found.unreadable.keys()
        for domain in found.present | found.absent:
            key = operator.EVACUATION_PREFIX + domain
            if key not in found.unreadable:
                self._unreadable.discard(key)
        for key, cause in found.unreadable.items():
            if key not in self._unreadable:
                self._unreadable.add(key)
                self._metrics.count("evacuations_unreadable")
                log_event("evacuation unreadable", key=ascii(key), cause=cause)

    def _note(self, change: Change, source: str) -> None:
        """Logs a change and applies it to the open connections."""
        evacuation = self._fleet.evacuation
        if not change.evacuated and not change.returned:
            return
        now = trio.current_time()
        _, version = evacuation.known
        for domain in change.evacuated:
            log_event(
                "failure domain evacuated",
                domain=domain,
                source=source,
                version=version,
                seconds=round(evacuation.stop_after(domain, now), 3),
                endpoints=self._count_endpoints(domain),
            )
        for domain, seconds in change.returned:
            log_event(
                "failure domain returned",
                domain=domain,
                source=source,
                version=version,
                seconds=round(seconds, 3),
                endpoints=self._count_endpoints(domain),
            )
            self._expect_load(domain)
        self._metrics.set("evacuated_domains", len(evacuation.domains))
        self._close_excluded()
        self._fleet.notify()

    def _expect_load(self, domain: str) -> None:
        """Lets reads return to a domain whose endpoints were last busy.

        They are expected to be as fast as the others of their groups.
        """
        pools = self._fleet.pools.values()
        for pool in pools:
            if pool.endpoint.failure_domain != domain:
                continue
            others = (
                other.latency
                for other in pools
                if other.endpoint.group == pool.endpoint.group
                and other.endpoint.failure_domain != domain
            )
            pool.expect_latency(min(others, default=pool.latency))

    def _end_stopped(self, transactions: OpenTransactions) -> None:
        """Ends the transactions that are open past the hard stop."""
        ended = transactions.abandon_stopped()
        if ended:
            log_event("transactions evacuated", transactions=ended)

    def _count_endpoints(self, domain: str) -> int:
        return sum(
            endpoint.failure_domain == domain
            for endpoint in self._fleet.endpoints.values()
        )

    def _close_excluded(self) -> None:
        """Closes idle connections to endpoints that may not be used."""
        for pool in self._fleet.pools.values():
            if self._fleet.is_excluded(pool):
                pool.close_idle()


def is_candidate(fleet: Fleet, pool: EndpointPool) -> bool:
    """Returns whether an endpoint may become its group's primary."""
    return (
        not pool.endpoint.leaving
        and pool.endpoint.name not in fleet.missing_since
        and not fleet.evacuation.is_evacuated(pool.endpoint.failure_domain)
    )


def has_candidate(fleet: Fleet, group: str) -> bool:
    """Returns whether any endpoint of a group may become its primary."""
    return any(is_candidate(fleet, pool) for pool in fleet.group_pools(group))


def excluded_endpoints(
    fleet: Fleet, group: str, primary: str | None
) -> frozenset[str]:
    """Returns the names of a group's endpoints that may not serve a read.

    Args:
        fleet: The state of this instance.
        group: The name of the group.
        primary: The primary, if it may serve the read until the hard stop.
    """
    if not fleet.evacuation.is_active:
        return frozenset()
    now = trio.current_time()
    return frozenset(
        pool.endpoint.name
        for pool in fleet.group_pools(group)
        if is_excluded(
            fleet.evacuation,
            pool.endpoint.failure_domain,
            is_primary=pool.endpoint.name == primary,
            now=now,
        )
    )


def skipped_endpoints(fleet: Fleet, group: str) -> frozenset[str]:
    """Returns the names of endpoints that one read skips if it can.

    Their domains have returned lately. A new random number is drawn for each
    read.
    """
    if not fleet.evacuation.is_returning:
        return frozenset()
    endpoints = [pool.endpoint for pool in fleet.group_pools(group)]
    domains = skipped_for_read(
        fleet.evacuation,
        {endpoint.failure_domain for endpoint in endpoints},
        trio.current_time(),
        random.random(),
    )
    return frozenset(
        endpoint.name
        for endpoint in endpoints
        if endpoint.failure_domain in domains
    )


def refuses_primary(fleet: Fleet, group: str, begins_transaction: bool) -> bool:
    """Returns whether a statement for a group's primary can't be served.

    Args:
        fleet: The state of this instance.
        group: The name of the group.
        begins_transaction: Whether a transaction would begin with it.
    """
    record = fleet.primacy.records.get(group)
    if not fleet.evacuation.is_active or record is None:
        return False
    endpoint = fleet.endpoints.get(record.primary)
    if endpoint is None:
        return False
    domain = endpoint.failure_domain
    state = HandoverState(
        is_evacuated=fleet.evacuation.is_evacuated(domain),
        is_stopped=fleet.evacuation.is_stopped(domain, trio.current_time()),
        is_promoting=bool(record.promoting)
        or fleet.primacy.epoch(group) > record.epoch,
        has_candidate=has_candidate(fleet, group),
    )
    return must_refuse(state, begins_transaction=begins_transaction)
