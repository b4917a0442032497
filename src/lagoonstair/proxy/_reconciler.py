"""Reconciles the registry after the store was restored from an older copy."""

import trio

from lagoonstair.platform.store import StoreError
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._follower import Follower
from lagoonstair.proxy._gossip import ALIVE_SECONDS
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._registry import Registry

CHECK_SECONDS = 0.1
"""Interval (s) between checks for a restored registry."""

STAGGER_SECONDS = 0.3
"""Delay (s) between the attempts of successive instances. It exceeds the time
until the others see that the registry is reconciled."""

MAJORITY_WAIT_SECONDS = 1.0
"""Time (s) for which an instance waits for what a majority of the voters knows.
A promotion that it does not know of was announced to one of them."""


class Reconciler:
    """Puts back what a restore of the store has lost.

    The voters attempt it one after another, in order of name. Each first asks
    the others what they know, in the regular rounds of gossip.
    """

    def __init__(
        self, fleet: Fleet, registry: Registry, follower: Follower
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self._follower = follower

    async def run(self) -> None:
        """Waits for restores and reconciles the registry until cancelled."""
        noticed_at: float | None = None
        while True:
            await trio.sleep(CHECK_SECONDS)
            if self._registry.unreconciled is None:
                noticed_at = None
                continue
            now = trio.current_time()
            if noticed_at is None:
                noticed_at = now
            is_certain = self._fleet.primacy.has_majority(now, now - noticed_at)
            if is_certain or now - noticed_at > MAJORITY_WAIT_SECONDS:
                await trio.sleep(self._rank(now) * STAGGER_SECONDS)
                await self._reconcile(is_certain=is_certain)

    def _rank(self, now: float) -> int:
        """Returns the number of voters that attempt it before this instance.

        An instance that is no voter comes after all of them.
        """
        voters = self._fleet.primacy.voters
        alive = self._fleet.primacy.responsive_voters(now, ALIVE_SECONDS)
        if self._fleet.name not in voters:
            return len(voters)
        return sum(name < self._fleet.name for name in alive)

    async def _reconcile(self, *, is_certain: bool) -> None:
        rows = self._registry.unreconciled
        if rows is None:
            return
        primacy = self._fleet.primacy
        groups = self._registry.groups
        try:
            await self._registry.reconcile(
                rows,
                name=self._fleet.name,
                epochs={group: primacy.epoch(group) for group in groups},
                is_certain=is_certain,
            )
            await self._follower.read_registry()
        except StoreError as exc:
            log_event("registry not reconciled", cause=str(exc))
