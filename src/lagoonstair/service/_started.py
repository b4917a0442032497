"""Count of the work in progress, which a shutdown waits for."""

import contextlib
from collections.abc import Iterator

import trio

from lagoonstair.exceptions import ErrorKind, LagoonstairError


class InFlightWork:
    """Counter of the requests and transactions in progress.

    Attributes:
        draining: Whether new work is rejected.
    """

    def __init__(self) -> None:
        self._count = 0
        self._idle = trio.Event()
        self.draining = False

    @property
    def count(self) -> int:
        """The number of requests and transactions in progress."""
        return self._count

    def require_accepting(self) -> None:
        """Checks that new work is accepted.

        Raises:
            LagoonstairError: ``DRAINING``; the instance is shutting down.
        """
        if self.draining:
            raise LagoonstairError(
                ErrorKind.DRAINING, "the instance is shutting down"
            )

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Counts a request or transaction for the duration of the context."""
        self.begin()
        try:
            yield
        finally:
            self.end()

    def begin(self) -> None:
        """Increments the count when a request or transaction starts."""
        self._count += 1

    def end(self) -> None:
        """Decrements the count when a request or transaction ends."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()
            self._idle = trio.Event()

    async def wait_idle(self) -> None:
        """Waits until no request or transaction is in progress."""
        while self._count:
            await self._idle.wait()
