"""Follows the platform's list of instances and database groups."""

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


class ListingAsk(msgspec.Struct, frozen=True):
    """Asks a peer for the newest list that it has seen."""


class ListingWatch:
    """Keeps the newest list; an older one that arrives late is ignored."""

    def __init__(
        self,
        platform: Platform,
        *,
        peers: PeerClient,
        registry: HandlerRegistry,
        seeds: tuple[Address, ...],
        interval: float,
    ) -> None:
        """Sets the collaborators; ``interval`` is in seconds."""
        self._platform = platform
        self._peers = peers
        self._seeds = seeds
        self._interval = interval
        self._current: Listing | None = None
        self._listeners: list[Callable[[Listing], None]] = []
        registry.register(ListingAsk, self._answer)

    @property
    def current(self) -> Listing | None:
        """The newest list, or ``None`` before the first."""
        return self._current

    def on_change(self, listener: Callable[[Listing], None]) -> None:
        """Calls a listener with each newer list."""
        self._listeners.append(listener)

    def update(self, listing: Listing) -> bool:
        """Takes a list if it is newer; says whether it was."""
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
        """Polls until cancelled; reports once there is a first list."""
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
            logger.debug("the platform's list is out of reach: {}", exc)
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
