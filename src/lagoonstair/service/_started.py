"""Counts started work, so that a shutdown can wait for it."""

import contextlib
from collections.abc import Iterator

import trio

from lagoonstair.exceptions import ErrorKind, LagoonstairError


class InFlightWork:
    """Requests and transactions that were started and not yet ended.

    Attributes:
        draining: Whether new work is refused.
    """

    def __init__(self) -> None:
        self._count = 0
        self._idle = trio.Event()
        self.draining = False

    @property
    def count(self) -> int:
        """How much started work there is."""
        return self._count

    def require_accepting(self) -> None:
        """Raises DRAINING when new work is refused."""
        if self.draining:
            raise LagoonstairError(
                ErrorKind.DRAINING, "the instance is shutting down"
            )

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Counts one piece of work while the context is open."""
        self.begin()
        try:
            yield
        finally:
            self.end()

    def begin(self) -> None:
        """Counts one piece of work more."""
        self._count += 1

    def end(self) -> None:
        """Counts one piece of work less."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()
            self._idle = trio.Event()

    async def wait_idle(self) -> None:
        """Waits until no started work is left."""
        while self._count:
            await self._idle.wait()
