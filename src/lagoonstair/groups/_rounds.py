"""Status requests to all members, for failure detection and confirmation."""

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

MAX_POLLS_IN_FLIGHT = 4
"""Number of confirmation requests to one member that may be unanswered."""


class ProbeRounds:
    """Sends rounds of status requests to the members of one group.

    The requests of a round run concurrently, so that a slow member does not
    delay the answers of the others.
    """

    def __init__(
        self,
        endpoints: Mapping[str, Endpoint],
        *,
        observe: Observe,
        fail: Callable[[str, float], None],
        timing: Timing,
        clock: Callable[[], float],
    ) -> None:
        """Creates the rounds; ``run`` starts those for confirmations.

        Args:
            endpoints: The members by name; the caller may change the mapping.
            observe: Called with each report.
            fail: Called with the name of a member that did not answer a probe
                and the time at which the probe was sent.
            timing: The intervals and limits.
            clock: Returns the monotonic time in seconds.
        """
        self._endpoints = endpoints
        self._observe = observe
        self._fail = fail
        self._timing = timing
        self._clock = clock
        self._wait_count = 0
        self._wake = trio.Event()
        self._in_flight: Counter[str] = Counter()

    @contextlib.contextmanager
    def keep_polling(self) -> Iterator[None]:
        """Keeps confirmation rounds running while the block executes."""
        self._wait_count += 1
        self._wake.set()
        try:
            yield
        finally:
            self._wait_count -= 1

    async def run(self) -> None:
        """Runs confirmation rounds while any are requested, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if not self._wait_count:
                    self._wake = trio.Event()
                    await self._wake.wait()
                asked_at = self._clock()
                for name in self._endpoints:
                    if self._in_flight[name] < MAX_POLLS_IN_FLIGHT:
                        nursery.start_soon(self._poll, name, asked_at)
                await trio.sleep(self._timing.confirm_interval)

    def probe_all(self, nursery: trio.Nursery) -> None:
        """Starts a probe of every member."""
        asked_at = self._clock()
        for name in self._endpoints:
            nursery.start_soon(self._probe, name, asked_at)

    async def _probe(self, name: str, asked_at: float) -> None:
        if not await self._ask(name, asked_at):
            self._fail(name, asked_at)

    async def _poll(self, name: str, asked_at: float) -> None:
        self._in_flight[name] += 1
        try:
            await self._ask(name, asked_at)
        finally:
            self._in_flight[name] -= 1

    async def _ask(self, name: str, asked_at: float) -> bool:
        """Requests the status of a member.

        Returns:
            Whether the member itself answered in time.
        """
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
