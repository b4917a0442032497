"""Length-prefixed frames on a trio stream."""

import struct

import trio

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 8 * 1024 * 1024
READ_BYTES = 64 * 1024


class FrameTooLargeError(Exception):
    """A frame's length is over the limit."""


class FrameReader:
    """Cuts the bytes of a stream into frames."""

    def __init__(
        self, stream: trio.abc.ReceiveStream, *, limit: int = MAX_FRAME_BYTES
    ) -> None:
        self._stream = stream
        self._limit = limit
        self._buf = bytearray()

    async def read(self) -> bytes | None:
        """Returns the next frame's body, or None at the end of the stream.

        Raises:
            FrameTooLargeError: The announced length is over the limit.
            trio.BrokenResourceError: The stream ended inside a frame.
        """
        while (body := self._cut()) is None:
            chunk = await self._stream.receive_some(READ_BYTES)
            if not chunk:
                if self._buf:
                    raise trio.BrokenResourceError("stream ended in a frame")
                return None
            self._buf += chunk
        return body

    def _cut(self) -> bytes | None:
        if len(self._buf) < LENGTH.size:
            return None
        (size,) = LENGTH.unpack_from(self._buf)
        if size > self._limit:
            raise FrameTooLargeError(f"frame of {size} bytes")
        end = LENGTH.size + size
        if len(self._buf) < end:
            return None
        body = bytes(self._buf[LENGTH.size : end])
        del self._buf[:end]
        return body


async def write_frame(stream: trio.abc.SendStream, body: bytes) -> None:
    """Sends one frame; the caller makes sure that sends don't overlap."""
    await stream.send_all(LENGTH.pack(len(body)) + body)
