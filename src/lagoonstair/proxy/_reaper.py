"""Removes instances that are gone for good from the register."""

import msgspec
import trio

from lagoonstair.platform.store import StoreError
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._follower import Follower
from lagoonstair.proxy._gossip import ROUND_PERIOD_SECONDS, Gossip
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._quota import MEMBERSHIP_FRESHNESS_SECONDS
from lagoonstair.proxy._registry import MEMBER_PREFIX, Registry
from lagoonstair.proxy._settings import InstanceSettings

SILENT_ROUNDS = 8
"""Rounds without an answer after which an instance is suspected: a restart
takes less than these 4 s."""

SILENT_SWEEPS = 3
"""The same for instances that are no voters, which are asked more rarely."""

REMOVE_SECONDS = MEMBERSHIP_FRESHNESS_SECONDS + 2.0
"""How long an instance has to deny the suspicion. One that is cut off has
stopped to spend its shares and to use primaries by then."""


class Reaper:
    """Suspects silent instances, and removes those that don't deny it.

    An instance that lives and reaches the store sees the suspicion in its row
    and takes it back. One that doesn't has had no proof of the register since,
    as most others know the suspicion, which is newer than what it knows.
    """

    def __init__(
        self,
        fleet: Fleet,
        registry: Registry,
        follower: Follower,
        gossip: Gossip,
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self._follower = follower
        self._gossip = gossip

    async def run(self, settings: InstanceSettings) -> None:
        """Looks after the register until cancelled."""
        name = settings.instance
        while True:
            await trio.sleep(ROUND_PERIOD_SECONDS)
            try:
                if name not in self._registry.members:
                    await self._registry.register(settings)
                    log_event("registered again")
                await self._deny(name)
                if self._is_responsible(name):
                    await self._look(name)
            except StoreError as exc:
                log_event("register not changed", cause=str(exc))

    async def _deny(self, name: str) -> None:
        member = self._registry.members.get(name)
        if member is not None and member.suspected:
            denied = msgspec.structs.replace(member, suspected=0.0)
            await self._registry.write({MEMBER_PREFIX + name: denied})
            log_event("suspicion denied")

    def _is_responsible(self, name: str) -> bool:
        now = trio.current_time()
        primacy = self._fleet.primacy
        if not primacy.has_majority(now, MEMBERSHIP_FRESHNESS_SECONDS):
            return False
        return name == min(
            primacy.responsive_voters(now, MEMBERSHIP_FRESHNESS_SECONDS)
            | {name}
        )

    async def _look(self, name: str) -> None:
        now = self._follower.store_now
        for other, member in [*self._registry.members.items()]:
            is_voter = other in self._fleet.primacy.voters
            limit = SILENT_ROUNDS if is_voter else SILENT_SWEEPS
            silent = self._gossip.missed_rounds(other) >= limit
            if other == name or not silent:
                continue
            if not member.suspected:
                suspected = msgspec.structs.replace(member, suspected=now)
                await self._registry.write({MEMBER_PREFIX + other: suspected})
                log_event("instance suspected", peer=other)
            elif now - member.suspected > REMOVE_SECONDS:
                await self._registry.remove_member(other)
                log_event("instance removed", peer=other)
