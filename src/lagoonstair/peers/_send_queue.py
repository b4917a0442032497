"""Sends frames of one connection in batches, in order."""

import msgspec
import trio

from lagoonstair.wire import FrameTooLargeError
from lagoonstair.wire._frames import LENGTH

CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    FrameTooLargeError,
    msgspec.MsgspecError,
    OSError,
)
"""What ends a connection: it broke, or what arrived makes no sense."""


class SendQueue:
    """Frames that wait to be sent on one stream."""

    def __init__(self, stream: trio.abc.SendStream) -> None:
        self._stream = stream
        self._buf = bytearray()
        self._filled = trio.Event()

    def put(self, body: bytes) -> None:
        """Adds a frame; it is sent with whatever else waits."""
        self._buf += LENGTH.pack(len(body))
        self._buf += body
        self._filled.set()

    async def run(self) -> None:
        """Sends what is put, until cancelled or the stream breaks."""
        while True:
            await self._filled.wait()
            self._filled = trio.Event()
            batch, self._buf = self._buf, bytearray()
            await self._stream.send_all(batch)
