"""Asks all members at once, for probes and for confirmations."""

import contextlib
from collections import Counter
from collections.abc import Callable, Iterator, Mapping

import trio

from lagoonstair.groups._promoter import Observe
from lagoonstair.groups._timing import Timing
from lagoonstair.ports import (
    Endpoint,
    EndpointRefusedError,
    EndpointStatus,
    EndpointUnreachableError,
    ResultUnknownError,
)

MAX_ROUNDS_IN_FLIGHT = 4


class Rounds:
    """The rounds of one watch; no member's slowness delays another's answer."""

    def __init__(
        self,
        endpoints: Mapping[str, Endpoint],
        *,
        observe: Observe,
        fail: Callable[[str, float], None],
        timing: Timing,
        clock: Callable[[], float],
    ) -> None:
        """Prepares the rounds.

        Args:
            endpoints: The members, which the watch may change.
            observe: Takes each report.
            fail: Takes the name of a member without an answer, and when it
                was asked.
            timing: The intervals and bounds.
            clock: The monotonic clock, in seconds.
        """
        self._endpoints = endpoints
        self._observe = observe
        self._fail = fail
        self._timing = timing
        self._clock = clock
        self._waiters = 0
        self._wake = trio.Event()
        self._in_flight: Counter[str] = Counter()

    @contextlib.contextmanager
    def wanted(self) -> Iterator[None]:
        """Keeps rounds going at a short interval inside the block."""
        self._waiters += 1
        self._wake.set()
        try:
            yield
        finally:
            self._waiters -= 1

    async def run(self) -> None:
        """Runs rounds while any are wanted, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if not self._waiters:
                    self._wake = trio.Event()
                    await self._wake.wait()
                asked_at = self._clock()
                for name in self._endpoints:
                    if self._in_flight[name] < MAX_ROUNDS_IN_FLIGHT:
                        nursery.start_soon(self._ask_again, name, asked_at)
                await trio.sleep(self._timing.confirm_interval)

    def probe_all(self, nursery: trio.Nursery) -> None:
        """Starts one probe of every member."""
        asked_at = self._clock()
        for name in self._endpoints:
            nursery.start_soon(self._probe, name, asked_at)

    async def _probe(self, name: str, asked_at: float) -> None:
        if not await self._ask(name, asked_at):
            self._fail(name, asked_at)

    async def _ask_again(self, name: str, asked_at: float) -> None:
        self._in_flight[name] += 1
        try:
            await self._ask(name, asked_at)
        finally:
            self._in_flight[name] -= 1

    async def _ask(self, name: str, asked_at: float) -> bool:
        """Reads a member's status; false when there was no answer of its."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return False
        status: EndpointStatus | None = None
        try:
            with trio.move_on_after(self._timing.probe_timeout):
                status = await endpoint.status()
        except (
            EndpointUnreachableError,
            EndpointRefusedError,
            ResultUnknownError,
        ):
            return False
        if status is None or status.name != name:
            return False
        self._observe(name, status, asked_at)
        return True
