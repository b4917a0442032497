"""Closed windows, encoded so that many workspaces fit into memory.

A window of the last hour covers one minute. Older windows cover six minutes,
which is precise enough for the burn rate over six hours.
"""

import msgspec

from lagoonstair.report._measurements import WindowCounts, add_counts

MINUTE_WINDOWS_SPAN_MINUTES = 60
"""Age, in minutes, below which a window covers one minute."""
BLOCK_MINUTES = 6
"""Length of an older window, in minutes."""
RETENTION_MINUTES = 360
"""Age, in minutes, at which a window is dropped."""
MAX_WINDOWS = (
    MINUTE_WINDOWS_SPAN_MINUTES
    + (RETENTION_MINUTES - MINUTE_WINDOWS_SPAN_MINUTES) // BLOCK_MINUTES
    + 1
)
"""Highest number of windows of a workspace."""

_Packed = tuple[dict[str, int], int, int, int, float]

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Packed)


class PackedWindows:
    """The windows before the current minute, by their first minute."""

    def __init__(self) -> None:
        self._packed: dict[int, bytes] = {}

    def __len__(self) -> int:
        return len(self._packed)

    def add(self, minute: int, counts: WindowCounts) -> None:
        """Adds the counts of a minute that has ended.

        Args:
            minute: The minute, counted from the origin of the monotonic clock.
            counts: The counts of the minute.
        """
        self._packed[minute] = _pack(counts)

    def compact(self, now: int) -> None:
        """Merges minutes that are an hour old, and drops expired windows.

        Args:
            now: The current minute.
        """
        old = [
            start
            for start in self._packed
            if _window_start(start, now) != start
        ]
        for start in old:
            counts = _unpack(self._packed.pop(start), 0)
            block = self._packed.get(_window_start(start, now))
            if block is not None:
                add_counts(counts, _unpack(block, 0))
            self._packed[_window_start(start, now)] = _pack(counts)
        for start in [s for s in self._packed if now - s >= RETENTION_MINUTES]:
            del self._packed[start]

    def list(self, now: int) -> list[WindowCounts]:
        """Returns the windows with their age, the latest first.

        Args:
            now: The current minute.
        """
        return [
            _unpack(self._packed[start], now - start)
            for start in sorted(self._packed, reverse=True)
        ]


def _window_start(minute: int, now: int) -> int:
    """Returns the first minute of the window that a minute belongs to."""
    if now - minute < MINUTE_WINDOWS_SPAN_MINUTES:
        return minute
    return minute - minute % BLOCK_MINUTES


def _pack(counts: WindowCounts) -> bytes:
    """Encodes the counts of a window, without its age."""
    packed: _Packed = (
        counts.outcomes,
        counts.refused_within_rate,
        counts.slow,
        counts.by_replica,
        counts.gap,
    )
    return _ENCODER.encode(packed)


def _unpack(content: bytes, age: int) -> WindowCounts:
    """Decodes the counts of a window and sets its age, in minutes."""
    outcomes, refused, slow, by_replica, gap = _DECODER.decode(content)
    return WindowCounts(
        age=age,
        outcomes=outcomes,
        refused_within_rate=refused,
        slow=slow,
        by_replica=by_replica,
        gap=gap,
    )
