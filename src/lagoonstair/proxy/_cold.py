"""Keeps track of the endpoints that have just started."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import trio

from lagoonstair.cold import (
    ColdRate,
    ColdReport,
    ColdStart,
    ColdStarts,
    cold_rate,
    has_valid_time,
    share_key,
)
from lagoonstair.features import ColdLimits
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.routing import Endpoint, GroupConfig

REFRESH_SECONDS = 0.2
"""Interval in seconds at which endpoints are found to be warm."""


class ColdShare(NamedTuple):
    """The rate of an endpoint that is cold.

    Attributes:
        endpoint: The endpoint.
        rate: The rate and its burst.
        started_before: How long ago the endpoint has started, in seconds, as
            far as its entry and its group's configuration tell.
    """

    endpoint: Endpoint
    rate: ColdRate
    started_before: float


class ColdEndpoints:
    """The endpoints that are limited because they have just started.

    Attributes:
        listeners: Called when the rates change.
    """

    def __init__(self, limits: ColdLimits | None, metrics: Metrics) -> None:
        """Creates the state without any endpoint.

        Args:
            limits: The limits of the deployment; ``None`` if it has none, so
                that no endpoint is limited.
            metrics: The metrics, for the number of cold endpoints.
        """
        self._limits = limits
        self._metrics = metrics
        self._starts = ColdStarts()
        self._groups: Mapping[str, GroupConfig] = {}
        self._shares: dict[str, ColdShare] = {}
        self._invalid: dict[str, int] = {}
        self.listeners: list[Callable[[], None]] = []

    @property
    def shares(self) -> Mapping[str, ColdShare]:
        """The rates of the endpoints that are cold, by key."""
        return self._shares

    def apply(self, groups: Mapping[str, GroupConfig]) -> None:
        """Applies the configuration of the groups."""
        self._groups = groups
        self.refresh()

    def observe(self, endpoint: Endpoint) -> None:
        """Notes a discovery entry that was read now."""
        if self._limits is None:
            return
        if not has_valid_time(endpoint, self._groups.get(endpoint.group)):
            self._log_invalid(endpoint)
        self._note(endpoint, endpoint.sequence, endpoint.cold_left)

    def apply_reports(
        self, endpoints: Mapping[str, Endpoint], reports: Iterable[ColdReport]
    ) -> None:
        """Applies a peer's reports on endpoints that are known here.

        Their times count from now. An endpoint stays cold for somewhat longer
        than at the peer, never for less.

        Args:
            endpoints: The known endpoints, by name.
            reports: The reports; those on other processes are ignored.
        """
        if self._limits is None:
            return
        for report in reports:
            endpoint = endpoints.get(report.endpoint)
            if endpoint is not None and endpoint.started == report.started:
                self._note(endpoint, report.sequence, report.left)

    def drop(self, name: str) -> None:
        """Forgets an endpoint that is gone."""
        self._starts.drop(name)
        self._invalid.pop(name, None)
        self.refresh()

    def reports(self, now: float) -> tuple[ColdReport, ...]:
        """Returns what peers are told.

        Entries reach most instances by gossip, and only when something else of
        them changes.
        """
        return self._starts.reports(now)

    def is_cold(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint is limited now."""
        return bool(self._shares) and share_key(endpoint) in self._shares

    async def run(self) -> None:
        """Ends the limits of endpoints that are warm; runs until cancelled."""
        while True:
            await trio.sleep(REFRESH_SECONDS)
            if self._shares or self._starts.reports(trio.current_time()):
                self.refresh()

    def refresh(self) -> None:
        """Determines which endpoints are cold now."""
        if self._limits is None:
            return
        now = trio.current_time()
        self._starts.prune(now)
        shares = {
            share_key(start.endpoint): ColdShare(
                start.endpoint, rate, _started_before(now, start, group)
            )
            for group in self._groups.values()
            if (rate := cold_rate(group, self._limits)) is not None
            for start in self._starts.cold(now, group)
        }
        known = self._shares
        self._shares = shares
        self._metrics.set("cold_endpoints", len(shares))
        for key in shares.keys() - known.keys():
            self._log_change("endpoint cold", shares[key])
        for key in known.keys() - shares.keys():
            self._log_change("endpoint warm", known[key])
        rates = {key: share.rate for key, share in shares.items()}
        if rates != {key: share.rate for key, share in known.items()}:
            for notify in self.listeners:
                notify()

    def _note(self, endpoint: Endpoint, sequence: int, left: float) -> None:
        now = trio.current_time()
        if self._starts.observe(
            endpoint, sequence=sequence, left=left, read_at=now
        ):
            self.refresh()

    def _log_change(self, event: str, share: ColdShare) -> None:
        log_event(
            event,
            endpoint=share.endpoint.name,
            group=share.endpoint.group,
            started=share.endpoint.started,
            started_before=round(share.started_before, 3),
            rate=share.rate.rate,
            burst=share.rate.burst,
        )

    def _log_invalid(self, endpoint: Endpoint) -> None:
        """Logs an invalid cold time, once for each process of an endpoint."""
        if self._invalid.get(endpoint.name) == endpoint.started:
            return
        self._invalid[endpoint.name] = endpoint.started
        self._metrics.count("cold_times_invalid")
        log_event(
            "cold time invalid",
            endpoint=endpoint.name,
            group=endpoint.group,
            left=repr(endpoint.cold_left),
        )


def _started_before(now: float, start: ColdStart, group: GroupConfig) -> float:
    """Returns how long ago an endpoint has started, at least, in seconds."""
    if not group.cold_seconds:
        return 0.0
    return max(0.0, group.cold_seconds - (start.ends_at(group) - now))
