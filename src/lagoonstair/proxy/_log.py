"""JSON lines on standard output, bounded and never blocking."""

import os
import sys
from typing import TYPE_CHECKING, Any

import msgspec
import trio
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

LINES_PER_SECOND = 200.0
"""Lines that may be written a second; the rest are counted. A line costs some
30 us, so logging takes under 1% of a core."""

BURST_LINES = 400.0
"""Lines that may be written at once, so that a failover is told whole."""


class JsonSink:
    """Writes records as JSON lines; drops and counts what does not fit."""

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._tokens = BURST_LINES
        self._filled_at = 0.0
        self._dropped = 0
        self._rest = b""

    def __call__(self, message: "Message") -> None:
        """Writes a record."""
        record = message.record
        if not self._take(record["time"].timestamp()):
            self._dropped += 1
            return
        line: dict[str, Any] = {
            "time": record["time"].timestamp(),
            "level": record["level"].name,
            "event": record["message"],
            **record["extra"],
        }
        if self._dropped:
            line["lines_dropped"] = self._dropped
            self._dropped = 0
        encoded = msgspec.json.encode(line, enc_hook=str)
        self._write(self._rest + encoded + b"\n")

    def _take(self, now: float) -> bool:
        # The time of day may go back, which then adds nothing.
        passed = max(0.0, now - self._filled_at)
        self._filled_at = now
        filled = self._tokens + passed * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, filled)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write(self, data: bytes) -> None:
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            self._dropped += 1
            return
        except OSError:
            # Nobody reads any more; there is nowhere to tell it.
            self._dropped += 1
            return
        # The rest of a line that was cut goes first next time.
        self._rest = data[written:]


def set_up_logging(instance: str) -> None:
    """Sends all records to standard output as JSON lines."""
    fd = sys.stdout.fileno()
    os.set_blocking(fd, False)
    logger.remove()
    logger.add(
        JsonSink(fd),
        format="{message}",
        level="INFO",
        backtrace=False,
        diagnose=False,
    )
    logger.configure(extra={"instance": instance})


def log_event(event: str, **fields: Any) -> None:
    """Writes one event with its fields and the process's steady time."""
    logger.bind(at=round(trio.current_time(), 3), **fields).info(event)
