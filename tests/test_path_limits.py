"""Rate and burst over a fleet of real processes, checked by history."""

import itertools
from typing import NamedTuple

import pytest
import trio

from lagoonstair.wire import HttpError, NotSentError
from process_fleet import process_fleet

WORKSPACE = "zlab-detva"
RATE = 5
BURST = 20
CALLERS = 6
REQUESTS = 20


class Admitted(NamedTuple):
    """An answered request, by the test's clock, in seconds."""

    sent: float
    answered: float


def worst_excess(history, *, rate, burst):
    """How far any window's admissions exceed rate x window + burst.

    A request that was sent and answered inside a window was admitted in it.
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
    """Callers that send as fast as they are answered."""

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
