"""The clock of the event loop."""

import time

import trio


class BootClock(trio.abc.Clock):
    """A steady clock that also counts the time for which a machine slept.

    Trio's own clock stands still while a machine is suspended. A proof would
    then hold for as long after the suspension as it had left before, although
    the other instances have let it expire meanwhile.
    """

    def start_clock(self) -> None:
        """Does nothing; the clock runs since the machine was started."""

    def current_time(self) -> float:
        """Returns the seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Returns the seconds until a deadline."""
        return deadline - self.current_time()
