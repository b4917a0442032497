"""Polling of the platform's listing of instances and database groups."""

from collections.abc import Callable

import msgspec
import trio
from loguru import logger

from lagoonstair._types import Address
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.peers import (
    HandlerRegistry,
    PeerClient,
    PeerContext,
    PeerLostError,
    PeerNotSentError,
)
from lagoonstair.ports import Listing, Platform, PlatformUnavailableError

PEER_TIMEOUT_SECONDS = 1.0
"""Maximum time in seconds to request the listing from one peer."""


class ListingAsk(msgspec.Struct, frozen=True):
    """Requests the newest listing that a peer has received."""


class ListingWatch:
    """Keeps the newest listing; older ones that arrive late are ignored."""

    def __init__(
        self,
        platform: Platform,
        *,
        peers: PeerClient,
        registry: HandlerRegistry,
        seeds: tuple[Address, ...],
        interval: float,
    ) -> None:
        """Creates the watch; ``run`` starts it.

        Args:
            platform: The platform that provides the listing.
            peers: The client for calls to other instances.
            registry: Registers the handler for requests of other instances.
            seeds: The peers to ask if the platform is unavailable before the
                first listing was received.
            interval: The time in seconds between two polls.
        """
        self._platform = platform
        self._peers = peers
        self._seeds = seeds
        self._interval = interval
        self._current: Listing | None = None
        self._listeners: list[Callable[[Listing], None]] = []
        registry.register(ListingAsk, self._answer)

    @property
    def current(self) -> Listing | None:
        """The newest listing; ``None`` before the first."""
        return self._current

    def on_change(self, listener: Callable[[Listing], None]) -> None:
        """Registers a listener that is called with each newer listing."""
        self._listeners.append(listener)

    def update(self, listing: Listing) -> bool:
        """Replaces the current listing if the given one is newer.

        Returns:
            Whether it was newer.
        """
        current = self._current
        if current is not None and listing.version <= current.version:
            return False
        self._current = listing
        for listener in self._listeners:
            listener(listing)
        return True

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Polls the platform until cancelled.

        Args:
            task_status: Reports that there is a first listing.
        """
        reported = False
        while True:
            await self._poll()
            if self._current is not None and not reported:
                reported = True
                task_status.started()
            await trio.sleep(self._interval)

    async def _poll(self) -> None:
        try:
            self.update(await self._platform.listing())
        except PlatformUnavailableError as exc:
            logger.debug("could not read the platform's listing: {}", exc)
            if self._current is None:
                await self._ask_seeds()

    async def _ask_seeds(self) -> None:
        for seed in self._seeds:
            with trio.move_on_after(PEER_TIMEOUT_SECONDS):
                try:
                    listing = await self._peers.call(
                        seed, ListingAsk(), Listing
                    )
                except (PeerNotSentError, PeerLostError, LagoonstairError):
                    continue
                self.update(listing)
                return

    async def _answer(self, message: ListingAsk, ctx: PeerContext) -> Listing:
        if self._current is None:
            raise LagoonstairError(ErrorKind.UNAVAILABLE, "no list yet")
        return self._current
