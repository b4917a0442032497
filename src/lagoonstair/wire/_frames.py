"""Length-prefixed frames on a trio stream."""

import struct

import trio

LENGTH = struct.Struct(">I")
"""Frame header: the length of the body in bytes, big-endian."""

MAX_FRAME_BYTES = 8 * 1024 * 1024
"""Default size limit (bytes) of a received frame's body."""

READ_BYTES = 64 * 1024
"""Maximum number of bytes that one read from the stream returns."""


class FrameTooLargeError(Exception):
    """A frame's announced length exceeds the size limit."""


class FrameReader:
    """Incremental reader of frames from a byte stream.

    Args:
        stream: The stream to read from.
        limit: Size limit of a frame's body, in bytes.
    """

    def __init__(
        self, stream: trio.abc.ReceiveStream, *, limit: int = MAX_FRAME_BYTES
    ) -> None:
        self._stream = stream
        self._limit = limit
        self._buf = bytearray()

    async def read(self) -> bytes | None:
        """Reads the next frame.

        Returns:
            The frame's body, or ``None`` at the end of the stream.

        Raises:
            FrameTooLargeError: The announced length exceeds the limit.
            trio.BrokenResourceError: The stream ended within a frame.
        """
        while (body := self._take_frame()) is None:
            chunk = await self._stream.receive_some(READ_BYTES)
            if not chunk:
                if self._buf:
                    raise trio.BrokenResourceError(
                        "the stream ended within a frame"
                    )
                return None
            self._buf += chunk
        return body

    def _take_frame(self) -> bytes | None:
        """Removes the first complete frame from the buffer, if any."""
        if len(self._buf) < LENGTH.size:
            return None
        (size,) = LENGTH.unpack_from(self._buf)
        if size > self._limit:
            raise FrameTooLargeError(
                f"a frame of {size} bytes exceeds the size limit"
            )
        end = LENGTH.size + size
        if len(self._buf) < end:
            return None
        body = bytes(self._buf[LENGTH.size : end])
        del self._buf[:end]
        return body


async def write_frame(stream: trio.abc.SendStream, body: bytes) -> None:
    """Sends one frame.

    The caller must serialize calls on the same stream: trio forbids concurrent
    sends.

    Args:
        stream: The stream to write to.
        body: The frame's body.
    """
    await stream.send_all(LENGTH.pack(len(body)) + body)
