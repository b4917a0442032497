"""Finds members that are missing from the platform's listing."""

from collections.abc import Iterable

import trio

from lagoonstair.config._model import Member, MemberId
from lagoonstair.config._timing import SyncTiming
from lagoonstair.ports import Listing, Platform, PlatformUnavailableError


class MemberReaper:
    """Finds stopped members by the platform's listing.

    A member counts as stopped once every reading of the listing has lacked it
    for ``absence_timeout`` seconds.
    """

    def __init__(
        self, name: str, platform: Platform, timing: SyncTiming
    ) -> None:
        self._name = name
        self._platform = platform
        self._absence_timeout = timing.absence_timeout
        self._absent_since: dict[MemberId, float] = {}

    async def read_stopped_members(
        self, members: Iterable[Member]
    ) -> list[MemberId]:
        """Reads the listing and returns the members that have stopped.

        An unavailable platform restarts the absence of every member.
        """
        try:
            listing = await self._platform.listing()
        except PlatformUnavailableError:
            self._absent_since.clear()
            return []
        return self.find_stopped_members(listing, members, trio.current_time())

    def find_stopped_members(
        self, listing: Listing, members: Iterable[Member], now: float
    ) -> list[MemberId]:
        """Returns the members that count as stopped by a listing.

        A listing that lacks this instance itself is not trusted: it removes
        no member and restarts the absence of each.
        """
        listed = {instance.name for instance in listing.instances}
        if self._name not in listed:
            self._absent_since.clear()
            return []
        self._absent_since = {
            member.id: self._absent_since.get(member.id, now)
            for member in members
            if member.name not in listed
        }
        return [
            member
            for member, since in self._absent_since.items()
            if now - since >= self._absence_timeout
        ]
