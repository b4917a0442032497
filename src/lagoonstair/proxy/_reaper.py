"""Maintains the line of voters and removes instances that are gone."""

import msgspec
import trio

from lagoonstair.platform.store import StoreError
from lagoonstair.primacy import CLOCK_MARGIN, PROOF_SECONDS
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._follower import Follower
from lagoonstair.proxy._gossip import ROUND_PERIOD_SECONDS, Gossip
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._quota import MEMBERSHIP_FRESHNESS_SECONDS
from lagoonstair.proxy._registry import Registry
from lagoonstair.proxy._registry_rows import MEMBER_PREFIX
from lagoonstair.proxy._settings import InstanceSettings

SILENT_ROUNDS = 8
"""Consecutive missed rounds after which a voter is suspected. They take 4 s,
and a restart takes less."""

SILENT_SWEEPS = 3
"""Consecutive missed rounds after which an instance that is not a voter is
suspected; it is asked less often."""

SILENT_SECONDS = SILENT_ROUNDS * ROUND_PERIOD_SECONDS
"""Least time (s) without an answer after which an instance is suspected. While
an instance starts or a promotion runs, rounds follow each other in 50 ms, so
their number alone does not show that an instance has been silent for long."""

REMOVE_SECONDS = MEMBERSHIP_FRESHNESS_SECONDS + 2.0
"""Time (s) for which an instance may deny a suspicion before it is removed. By
then, a partitioned instance no longer spends its shares or uses primaries."""


class Reaper:
    """Suspects unresponsive instances and removes those that do not deny it.

    An instance that runs and reaches the store sees the suspicion in its row
    and clears it. One that does not has had no proof that its registry is
    current since then, because a majority of the voters knows the suspicion,
    which is newer than what that instance knows.

    An instance without a seat takes the next one in line. It also resigns its
    own when its process stops.
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
        self._agreed: tuple[int, float] | None = None

    async def resign(self) -> None:
        """Gives up this instance's seat while its process stops.

        The seat is kept if the store is away, or if another instance has an
        older build, which would go on counting it.
        """
        name = self._fleet.name
        primacy = self._fleet.primacy
        if self._registry.lacks_seat(name) or not (
            self._registry.all_can_resign() and self._gossip.all_can_resign()
        ):
            return
        started_at = trio.current_time()
        primacy.stands_down = True
        try:
            is_announced = await self._registry.announce_stop(name)
        except StoreError as exc:
            primacy.stands_down = False
            log_event("seat kept", cause=str(exc))
            return
        if not is_announced:
            primacy.stands_down = False
            log_event("seat kept", cause="the row has changed")
            return
        await trio.sleep_until(started_at + PROOF_SECONDS * CLOCK_MARGIN)
        try:
            await self._follower.read_registry()
            if await self._registry.resign(name):
                log_event("seat resigned")
        except StoreError as exc:
            log_event("seat kept", cause=str(exc))

    async def run(self, settings: InstanceSettings) -> None:
        """Maintains the registry until cancelled."""
        name = settings.instance
        while True:
            await trio.sleep(ROUND_PERIOD_SECONDS)
            try:
                if name not in self._registry.members:
                    await self._registry.register(settings)
                    log_event("registered again")
                await self._deny_suspicion(name)
                await self._seek_seat(name)
                if self._is_responsible(name):
                    await self._check_members(name)
            except StoreError as exc:
                log_event("registry update failed", cause=str(exc))

    async def _deny_suspicion(self, name: str) -> None:
        member = self._registry.members.get(name)
        if member is not None and member.suspected:
            cleared = msgspec.structs.replace(member, suspected=0.0)
            await self._registry.write({MEMBER_PREFIX + name: cleared})
            log_event("suspicion denied")

    async def _seek_seat(self, name: str) -> None:
        """Takes a seat if this instance has none and it is safe now."""
        primacy = self._fleet.primacy
        if primacy.stands_down or not self._registry.lacks_seat(name):
            self._agreed = None
            return
        if self._registry.seeks_voters(name) and self._must_wait(
            primacy.members_version
        ):
            return
        if await self._registry.take_seat(name, self._follower.store_now):
            log_event("seat taken")

    def _must_wait(self, version: int) -> bool:
        """Returns whether a proof from older voters may still hold."""
        now = trio.current_time()
        if not self._fleet.primacy.is_known_to_majority():
            self._agreed = None
            return True
        if self._agreed is None or self._agreed[0] != version:
            self._agreed = version, now
        return now - self._agreed[1] <= PROOF_SECONDS * CLOCK_MARGIN

    def _is_responsible(self, name: str) -> bool:
        now = trio.current_time()
        primacy = self._fleet.primacy
        if not primacy.has_majority(now, MEMBERSHIP_FRESHNESS_SECONDS):
            return False
        return name == min(
            primacy.responsive_voters(now, MEMBERSHIP_FRESHNESS_SECONDS)
            | {name}
        )

    async def _check_members(self, name: str) -> None:
        now = self._follower.store_now
        for other, member in [*self._registry.members.items()]:
            is_voter = other in self._fleet.primacy.voters
            limit = SILENT_ROUNDS if is_voter else SILENT_SWEEPS
            is_silent = (
                self._gossip.missed_rounds(other) >= limit
                and self._gossip.silent_seconds(other) >= SILENT_SECONDS
            )
            if other == name or not is_silent:
                continue
            if not member.suspected:
                suspected = msgspec.structs.replace(member, suspected=now)
                await self._registry.write({MEMBER_PREFIX + other: suspected})
                log_event("instance suspected", peer=other)
            elif now - member.suspected > REMOVE_SECONDS:
                await self._registry.remove_member(other)
                log_event("instance removed", peer=other)
