"""Maintains the line of voters and removes instances that are gone."""

from collections.abc import Sequence

import msgspec
import trio

from lagoonstair.platform.store import StoreError
from lagoonstair.primacy import (
    CLOCK_MARGIN,
    PROOF_SECONDS,
    AdditionWait,
    seats_to_give_up,
)
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._follower import Follower
from lagoonstair.proxy._gossip import (
    ALIVE_SECONDS,
    ROUND_PERIOD_SECONDS,
    Gossip,
)
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._quota import MEMBERSHIP_FRESHNESS_SECONDS
from lagoonstair.proxy._registry import VOTER_COUNT, Registry
from lagoonstair.proxy._registry_rows import (
    MEMBER_PREFIX,
    all_can_resign,
    can_leave_seat,
    line_of_voters,
    stood_down,
)
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

    An instance without a seat takes the next one in line. When its process
    stops, others may give up its seat on its behalf.
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
        self._addition_wait = AdditionWait()
        self._stood_down_at: dict[str, float] = {}
        self._blocked_since: float | None = None

    async def stand_down(self) -> None:
        """Stops counting in majorities while this instance's process stops.

        Its seat is left to the others, or passes to the next one in line. It
        is kept for good if the store is away, or if another instance has an
        older build, which would go on counting it.
        """
        name = self._fleet.name
        primacy = self._fleet.primacy
        if self._registry.lacks_seat(name) or not self._all_can_resign():
            return
        started_at = trio.current_time()
        primacy.stands_down = True
        # The margin covers the drift of the clock of whoever counts on it.
        primacy.seat_held_until = started_at + PROOF_SECONDS
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
            members = self._registry.members
            # The next one in line takes a seat over at once.
            has_next = len(line_of_voters(members)) > VOTER_COUNT
            if has_next or not can_leave_seat(members, name):
                if await self._registry.resign(name):
                    log_event("seat resigned")
            elif await self._registry.stand_down(name):
                log_event("seat left to others")
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
                await self._give_up_seats()
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

    async def _give_up_seats(self) -> None:
        """Gives up the seats of stopped voters that block the others."""
        now = trio.current_time()
        self._stood_down_at = {
            name: self._stood_down_at.get(name, now)
            for name in stood_down(self._registry.members)
        }
        primacy = self._fleet.primacy
        present = sorted(primacy.present_voters(now, ALIVE_SECONDS))
        names: tuple[str, ...] = ()
        if not primacy.stands_down and self._all_can_resign():
            names = seats_to_give_up(
                line_of_voters(self._registry.members),
                present=present,
                stood_down={
                    name: now - since
                    for name, since in self._stood_down_at.items()
                },
                voter_count=VOTER_COUNT,
            )
        if not names:
            self._blocked_since = None
            return
        if self._blocked_since is None:
            self._blocked_since = now
        if now - self._blocked_since < self._turn(present):
            return
        if await self._registry.give_up_seats(names):
            log_event(
                "seats given up",
                peers=names,
                present=present,
                voters=len(primacy.voters),
            )

    def _all_can_resign(self) -> bool:
        """Returns whether no instance has a build without resignations."""
        return (
            all_can_resign(self._registry.members)
            and self._gossip.all_can_resign()
        )

    def _turn(self, present: Sequence[str]) -> float:
        """Returns after how long, in seconds, this instance gives up seats.

        The responding voters take turns, as the first may not reach the store.
        """
        if self._fleet.name not in present:
            return len(present) * ROUND_PERIOD_SECONDS
        return present.index(self._fleet.name) * ROUND_PERIOD_SECONDS

    async def _seek_seat(self, name: str) -> None:
        """Takes a seat if this instance has none and it is safe now."""
        primacy = self._fleet.primacy
        if primacy.stands_down or not self._registry.lacks_seat(name):
            self._addition_wait.reset()
            return
        if self._registry.seeks_voters(name) and not (
            self._addition_wait.is_over(
                self._registry.voter_seats(),
                members=self._registry.members,
                version=self._registry.members_version,
                is_known=primacy.is_known_to_majority,
                now=trio.current_time(),
            )
        ):
            return
        if await self._registry.take_seat(name, self._follower.store_now):
            log_event("seat taken")

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
