"""Shares of the workspaces' rates, over the limits slice."""

from collections.abc import Callable
from typing import NamedTuple

from lagoonstair._types import Address
from lagoonstair.limits import (
    MICROS_PER_TOKEN,
    LimitService,
    LimitSettings,
    WorkspaceLimit,
)
from lagoonstair.peers import HandlerRegistry, PeerClient
from lagoonstair.proxy._homes import HomeAssignment
from lagoonstair.proxy._log import log_event
from lagoonstair.routing import RoutingConfig, Workspace

MEMBERSHIP_FRESHNESS_SECONDS = 6.0
"""How long an instance may spend its share without a proof that it knows the
registered instances. A new one waits for as long, and a second more."""

MAX_SHARE_HOLDERS = 16
"""Instances that hold shares of one workspace; with fewer instances, all do,
so that none has to borrow."""

LIMIT_SETTINGS = LimitSettings(
    freshness_bound=MEMBERSHIP_FRESHNESS_SECONDS,
    loan_ttl=2.0,
    ask_interval=0.5,
    min_ask_interval=0.015,
    prefetch_horizon=0.6,
    max_wait=0.04,
)
"""Asks cost bytes between failure domains, so they are rarer than usual, and
loans are larger and last longer for that. A
request waits for two asks at most: beyond that a workspace sends more than
its rate, and waiting would only make late what is admitted."""


RESTART_EXCESS_SHARE = 1 / 3
"""The part of the tolerated excess that restarts may use up: all instances
may start again three times in one window."""


class Tolerance(NamedTuple):
    """By how much a workspace may exceed its limit in a window.

    Attributes:
        window: The window's length, in seconds.
        excess: A part of what the limit allows in the window.
        slack: Operations besides.
    """

    window: float
    excess: float
    slack: float

    def restart_tokens(self, limit: Workspace, holders: int) -> int:
        """Micro-tokens that each holder may start again with.

        Nobody knows what the runs of before have spent. Without any, every
        workspace would be refused for a while after a crash of all instances.
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
    """Admits operations within the workspaces' rates."""

    def __init__(
        self,
        name: str,
        peers: PeerClient,
        registry: HandlerRegistry,
        addresses: Callable[[str], Address | None],
        fresh: Callable[[], bool],
        tolerance: Tolerance,
    ) -> None:
        self._tolerance = tolerance
        self._service = LimitService(
            name,
            peers,
            registry,
            addresses,
            lambda now: fresh(),
            settings=LIMIT_SETTINGS,
        )
        self._version = 0
        self._limits: dict[str, WorkspaceLimit] = {}

    def apply(
        self,
        config: RoutingConfig,
        homes: HomeAssignment,
        *,
        resumed: bool,
    ) -> None:
        """Takes the limits and the instances that hold shares of them.

        Args:
            config: The newest configuration.
            homes: Which instances run the workspaces' operations; they hold
                the shares.
            resumed: Whether this instance held its shares before it started.
        """
        limits = {
            workspace.name: WorkspaceLimit.from_config(
                rate=workspace.rate,
                burst=workspace.burst,
                holders=homes.candidates(workspace.name),
                max_holders=MAX_SHARE_HOLDERS,
            )
            for workspace in config.workspaces.values()
        }
        if limits == self._limits:
            return
        self._version += 1
        self._log_changes(config, limits, resumed=resumed)
        new = limits.keys() - self._limits.keys()
        self._limits = limits
        kept = {
            name: self._tolerance.restart_tokens(
                config.workspaces[name], len(limits[name].holders)
            )
            for name in new
        }
        self._service.apply(
            self._version, limits, resumed=kept if resumed else None
        )

    def _log_changes(
        self,
        config: RoutingConfig,
        limits: dict[str, WorkspaceLimit],
        *,
        resumed: bool,
    ) -> None:
        """Logs what changes: one line in all, and one for each new rate."""
        changed = [
            name
            for name, limit in limits.items()
            if limit != self._limits.get(name)
        ]
        log_event(
            "limits changed",
            config_version=config.version,
            workspaces=len(limits),
            changed=len(changed),
            resumed=resumed,
        )
        for name in changed if self._limits else ():
            known = self._limits.get(name)
            limit = limits[name]
            if known is not None and known.rate == limit.rate:
                continue
            log_event(
                "limit changed",
                workspace=name,
                rate=config.workspaces[name].rate,
                burst=config.workspaces[name].burst,
                holders=len(limit.holders),
            )

    async def admit(self, workspace: str) -> None:
        """Returns once an operation may run.

        Raises:
            LagoonstairError: It is over the rate, or this instance may be
                cut off from a change of the shares.
        """
        await self._service.admit_known(workspace)

    async def run(self) -> None:
        """Exchanges tokens with the others, until cancelled."""
        await self._service.run()
