"""A machine that was suspended must not trust what has expired meanwhile."""

import time

import trio

from lagoonstair.primacy import PROOF_SECONDS, GroupRecord, Primacy
from lagoonstair.proxy import __main__ as program
from lagoonstair.proxy._clock import BootClock


def _suspend(monkeypatch):
    """Returns a function by which the machine sleeps for some seconds."""
    slept = 0.0
    real = time.clock_gettime

    def read(clock):
        return real(clock) + (slept if clock == time.CLOCK_BOOTTIME else 0.0)

    def suspend(seconds):
        nonlocal slept
        slept += seconds

    monkeypatch.setattr(time, "clock_gettime", read)
    return suspend


def test_a_proof_does_not_outlast_a_suspension(monkeypatch):
    """The others promote another endpoint as soon as the proof has expired."""
    suspend = _suspend(monkeypatch)

    async def run():
        primacy = Primacy("i1")
        primacy.set_voters(["i1", "i2", "i3"], 1)
        primacy.apply("g", GroupRecord(epoch=1, primary="d1"))
        primacy.note_store_read(trio.current_time())
        assert primacy.primary("g", trio.current_time()) == "d1"
        suspend(PROOF_SECONDS)
        assert primacy.primary("g", trio.current_time()) is None

    trio.run(run, clock=BootClock())


def test_deadlines_pass_during_a_suspension(monkeypatch):
    suspend = _suspend(monkeypatch)

    async def run():
        with trio.move_on_after(60) as scope:
            suspend(61)
            await trio.sleep(0.01)
            await trio.sleep(30)
        assert scope.cancelled_caught

    trio.run(run, clock=BootClock())


def test_the_program_runs_by_that_clock(monkeypatch):
    clocks = []
    monkeypatch.setattr(
        trio, "run", lambda main, clock=None: clocks.append(clock)
    )
    program.main()
    assert isinstance(clocks[0], BootClock)
