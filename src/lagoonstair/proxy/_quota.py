"""Rate limits of the workspaces, shared among the instances."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import NamedTuple

import trio

from lagoonstair._types import Address
from lagoonstair.cold import HolderHistory
from lagoonstair.homes import MAX_SHARE_HOLDERS, HomeAssignment
from lagoonstair.limits import (
    MICROS_PER_TOKEN,
    LimitService,
    LimitSettings,
    WorkspaceLimit,
)
from lagoonstair.peers import HandlerRegistry, PeerClient
from lagoonstair.proxy._cold import ColdShare
from lagoonstair.proxy._distance import HolderDistances
from lagoonstair.proxy._log import log_event
from lagoonstair.routing import RoutingConfig, Workspace

MEMBERSHIP_FRESHNESS_SECONDS = 6.0
"""Time in seconds for which an instance may spend its share of a rate without
a proof that it knows the registered instances. A new instance waits for a
second longer before it spends any."""

LIMIT_SETTINGS = LimitSettings(
    freshness_bound=MEMBERSHIP_FRESHNESS_SECONDS,
    loan_ttl=2.0,
    ask_interval=0.5,
    min_ask_interval=0.015,
    prefetch_horizon=0.6,
    max_wait=0.04,
)
"""Settings of the rate limits. Requests for tokens cost traffic between failure
domains, so they are rarer than by default, and loans are larger and last
longer instead. An operation waits for two such requests at most: beyond that
its workspace exceeds its rate, and waiting would only delay what is
admitted."""

OVERLOAD_LIMIT_SETTINGS = dataclasses.replace(
    LIMIT_SETTINGS, skips_empty_holders=True
)
"""Settings of the rate limits with overload control, where waiting for a token
that can't arrive takes time of homes that other callers need."""

RESTART_EXCESS_SHARE = 1 / 3
"""Fraction of the tolerated excess that one restart may use: all instances can
restart three times in a window."""


class Tolerance(NamedTuple):
    """How far a workspace may exceed its limit within a time window.

    Attributes:
        window: The length of the window, in seconds.
        excess: The tolerated excess, as a fraction of what the limit allows
            in the window.
        slack: Number of operations that are tolerated in addition.
    """

    window: float
    excess: float
    slack: float

    def restart_tokens(self, limit: Workspace, holders: int) -> int:
        """Returns the tokens with which each share holder may restart.

        What was spent before the restart isn't known. Without any tokens, the
        operations of every workspace would be refused for a while after a
        crash of all instances.

        Args:
            limit: The workspace with its limit.
            holders: The number of instances that hold shares.

        Returns:
            The tokens of each holder, in millionths of a token.
        """
        allowed = limit.rate * self.window + limit.burst
        tolerated = allowed * self.excess + self.slack
        return int(
            tolerated
            * RESTART_EXCESS_SHARE
            * MICROS_PER_TOKEN
            / max(1, holders)
        )


class Quota:
    """Admits operations within the rates of their workspaces."""

    def __init__(
        self,
        name: str,
        peers: PeerClient,
        registry: HandlerRegistry,
        address_of: Callable[[str], Address | None],
        is_fresh: Callable[[], bool],
        tolerance: Tolerance,
        distances: HolderDistances,
        settings: LimitSettings = LIMIT_SETTINGS,
    ) -> None:
        """Creates a quota that knows no workspace yet.

        Args:
            name: The name of this instance.
            peers: The client for calls to other instances.
            registry: The registry of handlers for messages of instances.
            address_of: Returns an instance's address.
            is_fresh: Returns whether this instance can not have missed a
                change of the shares.
            tolerance: The excess that restarts may use.
            distances: The distances to the other instances.
            settings: Timeouts and intervals of loans and of waiting.
        """
        self._tolerance = tolerance
        self._service = LimitService(
            name,
            peers,
            registry,
            address_of,
            lambda now: is_fresh(),
            settings=settings,
            distance=distances.round_trip,
            on_ask=distances.note_ask,
        )
        self._version = 0
        self._limits: dict[str, WorkspaceLimit] = {}
        self._holders = HolderHistory()
        # A key may come again if an endpoint turns cold after all.
        self._seen: set[str] = set()

    def apply(
        self,
        config: RoutingConfig,
        homes: HomeAssignment,
        *,
        resumed: bool,
        cold: Mapping[str, ColdShare] | None = None,
    ) -> None:
        """Applies a configuration's limits and the assignment of shares.

        Args:
            config: The newest configuration.
            homes: The assignment of homes and of the shares of rates.
            resumed: Whether this instance held its shares before it started.
            cold: The rates of the endpoints that have just started, by key.
        """
        now = trio.current_time()
        self._holders.update(now, homes.names)
        cold = cold or {}
        limits = {
            workspace.name: WorkspaceLimit.from_config(
                rate=workspace.rate,
                burst=workspace.burst,
                holders=homes.share_holders(workspace.name),
                max_holders=MAX_SHARE_HOLDERS,
            )
            for workspace in config.workspaces.values()
        } | {
            key: WorkspaceLimit.from_config(
                rate=share.rate.rate,
                burst=share.rate.burst,
                holders=homes.endpoint_holders(key),
                max_holders=MAX_SHARE_HOLDERS,
            )
            for key, share in cold.items()
        }
        if limits == self._limits:
            return
        self._version += 1
        self._log_changes(config, limits, resumed=resumed)
        new_names = limits.keys() - self._limits.keys()
        self._limits = limits
        resumed_tokens = {
            name: self._tolerance.restart_tokens(
                config.workspaces[name], len(limits[name].holders)
            )
            for name in new_names - cold.keys()
        }
        created = {
            key
            for key in new_names & cold.keys() - self._seen
            if self._holders.is_settled(now, cold[key].started_before)
        }
        self._seen |= cold.keys()
        self._service.apply(
            self._version,
            limits,
            created=created,
            resumed=resumed_tokens if resumed else None,
        )
        for key in new_names & cold.keys():
            log_event(
                "cold share",
                endpoint=cold[key].endpoint.name,
                holders=len(limits[key].holders),
                at_once=key in created,
            )

    def _log_changes(
        self,
        config: RoutingConfig,
        limits: dict[str, WorkspaceLimit],
        *,
        resumed: bool,
    ) -> None:
        """Logs a summary of the changes, and one event for each new rate."""
        changed = [
            name
            for name, limit in limits.items()
            if limit != self._limits.get(name)
        ]
        log_event(
            "limits changed",
            config_version=config.version,
            workspaces=len(config.workspaces),
            changed=len(changed),
            resumed=resumed,
        )
        for name in changed if self._limits else ():
            if name not in config.workspaces:
                continue
            previous = self._limits.get(name)
            limit = limits[name]
            if previous is not None and previous.rate == limit.rate:
                continue
            log_event(
                "limit changed",
                workspace=name,
                rate=config.workspaces[name].rate,
                burst=config.workspaces[name].burst,
                holders=len(limit.holders),
            )

    async def admit(self, workspace: str) -> None:
        """Waits until an operation may run.

        Args:
            workspace: The workspace that the operation belongs to.

        Raises:
            LagoonstairError: The workspace exceeds its rate, or this instance
                may have missed a change of the shares.
        """
        await self._service.admit_known(workspace)

    def has_token(self, key: str) -> bool:
        """Returns whether a token can be taken now; counts the demand."""
        return self._service.has_token(key)

    def try_take(self, key: str) -> bool:
        """Takes a token if there is one."""
        return self._service.try_admit(key)

    async def run(self) -> None:
        """Exchanges tokens with the other instances; runs until cancelled."""
        await self._service.run()
