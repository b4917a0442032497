"""Rate limits of a fleet of real processes, checked on recorded histories.

Guards against admitting more than rate and burst allow when the owner that
enforces them is killed, or is frozen and resumes after its replacement.
"""

import itertools
from typing import NamedTuple

import pytest
import trio

from lagoonstair.wire import HttpError, NotSentError
from process_fleet import process_fleet

WORKSPACE = "zlab-detva"
RATE = 5
"""Rate limit of the workspace, in requests per second."""
BURST = 20
"""Burst limit of the workspace, in requests."""
CALLERS = 6
REQUESTS = 20
"""Requests that each caller sends."""


class Admitted(NamedTuple):
    """An answered request.

    Attributes:
        sent: When it was sent, in seconds of trio's clock.
        answered: When its answer arrived, in seconds of the same clock.
    """

    sent: float
    answered: float


def worst_excess(history, *, rate, burst):
    """Returns the greatest excess of a window over rate x duration + burst.

    A request counts for a window only if it was both sent and answered within
    it, since only then it was certainly admitted in it.

    Args:
        history: The answered requests.
        rate: The admitted requests per second.
        burst: The number of requests admitted at once.
    """
    return max(
        sum(
            begin.sent <= a.sent and a.answered <= end.answered for a in history
        )
        - rate * (end.answered - begin.sent)
        - burst
        for begin, end in itertools.product(history, repeat=2)
        if begin.sent <= end.answered
    )


class Flood:
    """Callers that send each request as soon as the last one was answered.

    Attributes:
        history: The answered requests.
        kinds: The kind of error of each other request; "lost" without one.
    """

    def __init__(self, fleet, key):
        self._fleet = fleet
        self._key = key
        self.history = []
        self.kinds = []

    async def run(self, number):
        for turn in range(REQUESTS):
            entries = self._fleet.entries
            entry = entries[(number + turn) % len(entries)]
            sent = trio.current_time()
            try:
                found = await self._fleet.request_unless_lost(
                    entry, WORKSPACE, "site-notes", {"site": "a"}, key=self._key
                )
            except* (NotSentError, HttpError):
                found = {"outcome": "unknown"}
            if found["outcome"] == "answered":
                self.history.append(Admitted(sent, trio.current_time()))
            else:
                error = found.get("error", {})
                self.kinds.append(error.get("kind", "lost"))


async def _nothing(fleet):
    await trio.lowlevel.checkpoint()


async def _kill_owner(fleet):
    owner = await fleet.owner("g2")
    fleet.instances[owner].kill()
    fleet.lose(owner)


async def _freeze_and_wake_owner(fleet):
    owner = await fleet.owner("g2")
    fleet.instances[owner].freeze()
    fleet.lose(owner)
    await fleet.request("i2" if owner != "i2" else "i3", "x", "y", {})
    fleet.instances[owner].thaw()


@pytest.mark.parametrize(
    "fault",
    [_nothing, _kill_owner, _freeze_and_wake_owner],
    ids=lambda fault: fault.__name__,
)
async def test_no_window_admits_more_than_rate_and_burst(fault, tmp_path):
    async with process_fleet(tmp_path, instances=3, groups=2) as fleet:
        key = await fleet.apply_samples(WORKSPACE, rate=RATE, burst=BURST)
        flood = Flood(fleet, key)
        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                nursery.start_soon(flood.run, number)
            await fault(fleet)
    assert "rate_limited" in flood.kinds
    assert worst_excess(flood.history, rate=RATE, burst=BURST) <= 0


def test_the_checker_finds_an_excess():
    good = [Admitted(0.0, 0.1)] * 3
    assert worst_excess(good, rate=0, burst=3) <= 0
    assert worst_excess(good, rate=0, burst=2) > 0
    spread = [Admitted(float(n), n + 0.1) for n in range(5)]
    assert worst_excess(spread, rate=1, burst=1) <= 0
    assert worst_excess(spread, rate=0.5, burst=1) > 0
