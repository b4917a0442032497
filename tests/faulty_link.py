"""A loopback proxy that delays, resets, cuts one way or goes silent."""

import enum

import trio

HOST = "127.0.0.1"
READ_BYTES = 65536


class Mode(enum.Enum):
    """What happens to the bytes."""

    OPEN = "open"
    DELAY = "delay"
    RESET = "reset"
    NO_REQUESTS = "no_requests"
    NO_ANSWERS = "no_answers"
    SILENT = "silent"


class FaultyLink:
    """Passes connections on to a port.

    Attributes:
        port: Where it listens.
        mode: What it does to bytes that come from now on.
        delay: Seconds by which ``Mode.DELAY`` holds each chunk back.
    """

    def __init__(self, target):
        self._target = target
        self._streams = set()
        self.port = 0
        self.mode = Mode.OPEN
        self.delay = 0.05

    async def serve(self, *, task_status):
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        self.port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            task_status.started()

    def set(self, mode):
        self.mode = mode
        if mode is Mode.RESET:
            for stream in [*self._streams]:
                stream.socket.close()
            self.mode = Mode.OPEN

    async def _serve(self, stream):
        try:
            far = await trio.open_tcp_stream(HOST, self._target)
        except OSError:
            await stream.aclose()
            return
        self._streams |= {stream, far}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._pass, stream, far, Mode.NO_REQUESTS, nursery
                )
                nursery.start_soon(
                    self._pass, far, stream, Mode.NO_ANSWERS, nursery
                )
        finally:
            self._streams -= {stream, far}
            stream.socket.close()
            far.socket.close()

    async def _pass(self, source, sink, blocked_in, nursery):
        held = b""
        try:
            while chunk := await source.receive_some(READ_BYTES):
                if self.mode is Mode.DELAY:
                    await trio.sleep(self.delay)
                held += chunk
                while self.mode in (blocked_in, Mode.SILENT):
                    await trio.sleep(0.02)
                await sink.send_all(held)
                held = b""
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # One side is gone; the other one is closed with it.
            held = b""
        nursery.cancel_scope.cancel()
