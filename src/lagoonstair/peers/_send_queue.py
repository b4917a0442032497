"""Sends the frames of one connection in order and in batches."""

import msgspec
import trio

from lagoonstair.wire import FrameTooLargeError
from lagoonstair.wire._frames import LENGTH, MAX_FRAME_BYTES

CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    FrameTooLargeError,
    msgspec.MsgspecError,
    RecursionError,
    OSError,
)
"""Errors that end a connection: it broke, or a frame is invalid."""


class SendQueue:
    """A queue of frames to be sent on one stream."""

    def __init__(self, stream: trio.abc.SendStream) -> None:
        self._stream = stream
        self._buf = bytearray()
        self._filled = trio.Event()

    def put(self, body: bytes) -> None:
        """Queues a frame, to be sent in one batch with the others queued.

        Raises:
            FrameTooLargeError: The receiver would refuse the frame and close
                the connection.
        """
        if len(body) > MAX_FRAME_BYTES:
            raise FrameTooLargeError(
                f"a frame of {len(body)} bytes exceeds the size limit"
            )
        self._buf += LENGTH.pack(len(body))
        self._buf += body
        self._filled.set()

    async def run(self) -> None:
        """Sends queued frames until cancelled or the stream breaks."""
        while True:
            await self._filled.wait()
            self._filled = trio.Event()
            batch, self._buf = self._buf, bytearray()
            await self._stream.send_all(batch)
