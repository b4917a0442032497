"""Adaptive limit on concurrent statements at an endpoint, without I/O."""

import math
from typing import NamedTuple

DECREASE_FACTOR = 0.7
"""Factor by which the limit shrinks."""

DECREASE_INTERVAL_SECONDS = 0.1
"""Least time, in seconds, between two decreases: the statements that run when
the limit shrinks were started under the former one."""

LATE_FACTOR = 3.0
"""An answer that takes longer than this multiple of the recent minimum is
late."""

LATE_FLOOR_SECONDS = 0.05
"""No answer within this time, in seconds, is late: a quarter of the shortest
target. With 10 ms, statements of 6 ms were late at any queue, and instances
that ran mostly those stayed at a limit of 1."""

MINIMUM_WINDOW_SECONDS = 10.0
"""Length, in seconds, of each of the two periods over which the minimum is
taken. Statements whose work has grown for good count as late for at most two
periods."""


class WorkKind(NamedTuple):
    """Statements that are expected to take about the same time.

    Attributes:
        priority: The class of work.
        writes: Whether they write. Writes wait for synchronous replicas, so
            the minimum of reads does not apply to them.
    """

    priority: int
    writes: bool


class _RecentMinimum:
    """The minimum of the current period and of the one before."""

    __slots__ = ("_current", "_ends_at", "_previous")

    def __init__(self) -> None:
        self._current = math.inf
        self._previous = math.inf
        self._ends_at = -math.inf

    def add(self, now: float, seconds: float) -> float:
        """Adds a duration and returns the minimum, both in seconds."""
        if now >= self._ends_at:
            is_stale = now >= self._ends_at + MINIMUM_WINDOW_SECONDS
            self._previous = math.inf if is_stale else self._current
            self._current = math.inf
            self._ends_at = now + MINIMUM_WINDOW_SECONDS
        self._current = min(self._current, seconds)
        return min(self._current, self._previous)


class ConcurrencyLimit:
    """How many statements one instance runs at an endpoint at once.

    Additive increase and multiplicative decrease: the instances find their
    shares of the endpoint's slots from its answers alone.
    """

    def __init__(self, slots: int) -> None:
        """Creates the limit of an endpoint that has not answered yet.

        Args:
            slots: Number of statements that the endpoint runs concurrently.
        """
        self._slots = max(1, slots)
        self._limit = float(self._slots)
        self._lowered_at = -math.inf
        self._minima: dict[WorkKind, _RecentMinimum] = {}

    @property
    def value(self) -> int:
        """The number of statements that may run at once; at least 1."""
        return int(self._limit)

    @property
    def exact(self) -> float:
        """The limit with its fraction, in statements."""
        return self._limit

    @property
    def slots(self) -> int:
        """The upper bound of the limit."""
        return self._slots

    def set_slots(self, slots: int) -> None:
        """Changes the upper bound; a limit at the former one follows it."""
        was_full = self._limit >= self._slots
        self._slots = max(1, slots)
        self._limit = min(self._limit, float(self._slots))
        if was_full:
            self._limit = float(self._slots)

    def record_busy(self, now: float) -> bool:
        """Records that the endpoint refused a statement as being overloaded.

        Args:
            now: The time, in seconds.

        Returns:
            Whether the limit was lowered.
        """
        return self._lower(now)

    def record_answer(
        self, now: float, kind: WorkKind, seconds: float, *, running: int
    ) -> bool:
        """Records an answer to a statement that ran.

        Args:
            now: The time, in seconds.
            kind: The kind of the statement.
            seconds: The time from the request to the answer.
            running: Number of statements that ran, with this one.

        Returns:
            Whether the limit was lowered.
        """
        minimum = self._minima.setdefault(kind, _RecentMinimum())
        late_after = LATE_FACTOR * minimum.add(now, seconds)
        if seconds > max(late_after, LATE_FLOOR_SECONDS):
            return self._lower(now)
        if running >= self.value:
            raised = self._limit + 1 / self._limit
            self._limit = min(float(self._slots), raised)
        return False

    def _lower(self, now: float) -> bool:
        if now - self._lowered_at < DECREASE_INTERVAL_SECONDS:
            return False
        self._lowered_at = now
        lowered = max(1.0, self._limit * DECREASE_FACTOR)
        is_lower = lowered < self._limit
        self._limit = lowered
        return is_lower
