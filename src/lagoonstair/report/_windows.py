"""Earlier windows, packed so that many workspaces fit into memory.

The windows of the last hour are minutes. Older ones are blocks of six minutes,
which is precise enough for the burn over six hours.
"""

import msgspec

from lagoonstair.report._measurements import WindowCounts, add_counts

MINUTE_WINDOWS_SPAN_MINUTES = 60
BLOCK_MINUTES = 6
RETENTION_MINUTES = 360
MAX_WINDOWS = (
    MINUTE_WINDOWS_SPAN_MINUTES
    + (RETENTION_MINUTES - MINUTE_WINDOWS_SPAN_MINUTES) // BLOCK_MINUTES
    + 1
)

_Packed = tuple[dict[str, int], int, int, int, float]

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Packed)


class PackedWindows:
    """The windows before the running minute, by their first minute."""

    def __init__(self) -> None:
        self._packed: dict[int, bytes] = {}

    def __len__(self) -> int:
        return len(self._packed)

    def add(self, minute: int, counts: WindowCounts) -> None:
        """Keeps a finished minute."""
        self._packed[minute] = _pack(counts)

    def compact(self, now: int) -> None:
        """Joins minutes that are an hour old, and drops what is too old."""
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
        """Returns the windows with their age, the latest first."""
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
    packed: _Packed = (
        counts.outcomes,
        counts.refused_within_rate,
        counts.slow,
        counts.by_replica,
        counts.gap,
    )
    return _ENCODER.encode(packed)


def _unpack(content: bytes, age: int) -> WindowCounts:
    outcomes, refused, slow, by_replica, gap = _DECODER.decode(content)
    return WindowCounts(
        age=age,
        outcomes=outcomes,
        refused_within_rate=refused,
        slow=slow,
        by_replica=by_replica,
        gap=gap,
    )
