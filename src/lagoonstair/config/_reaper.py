"""Finds members that the platform's list no longer has."""

from collections.abc import Iterable

import trio

from lagoonstair.config._model import Member, MemberId
from lagoonstair.config._timing import SyncTiming
from lagoonstair.ports import Listing, Platform, PlatformUnavailableError


class MemberReaper:
    """Watches the platform's list for members that are gone.

    A member that the list has lacked for ``reap_after`` seconds, at each
    reading, has stopped.
    """

    def __init__(
        self, name: str, platform: Platform, timing: SyncTiming
    ) -> None:
        self._name = name
        self._platform = platform
        self._reap_after = timing.absence_timeout
        self._absent_since: dict[MemberId, float] = {}

    async def read_stopped_members(
        self, members: Iterable[Member]
    ) -> list[MemberId]:
        """Reads the list; returns the members that have stopped."""
        try:
            listing = await self._platform.listing()
        except PlatformUnavailableError:
            self._absent_since.clear()
            return []
        return self.find_stopped_members(listing, members, trio.current_time())

    def find_stopped_members(
        self, listing: Listing, members: Iterable[Member], now: float
    ) -> list[MemberId]:
        """Decides which members have stopped.

        Nobody has, by a list that lacks even this instance.
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
            if now - since >= self._reap_after
        ]
