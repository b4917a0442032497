"""A TCP proxy on the loopback interface that injects network faults."""

import contextlib
import enum

import trio

HOST = "127.0.0.1"
READ_BYTES = 65536

DARK_SECONDS = 3.0
"""How long a database keeps a connection whose far end is dark, in seconds."""


class Mode(enum.Enum):
    """What the link does with the bytes that it receives.

    Attributes:
        OPEN: Forwards them.
        DELAY: Forwards them after a delay.
        RESET: Closes all connections at once; ``OPEN`` afterwards.
        NO_REQUESTS: Blocks bytes from the client to the target.
        NO_ANSWERS: Blocks bytes from the target to the client.
        SILENT: Blocks both directions.
    """

    OPEN = "open"
    DELAY = "delay"
    RESET = "reset"
    NO_REQUESTS = "no_requests"
    NO_ANSWERS = "no_answers"
    SILENT = "silent"


class FaultyLink:
    """Forwards connections to a port on the loopback interface.

    Blocked bytes are kept and forwarded when the mode changes.

    Attributes:
        port: The TCP port that the link listens on.
        mode: What the link does with bytes, also of open connections.
        delay: The delay of each chunk under ``Mode.DELAY``, in seconds.
    """

    def __init__(self, target):
        self._target = target
        self._streams = set()
        self._forwarding = set()
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

    def silence_open(self):
        """Makes all open connections silent for good; new ones work."""
        for scope in self._forwarding:
            scope.cancel()

    async def _serve(self, stream):
        try:
            upstream = await trio.open_tcp_stream(HOST, self._target)
        except OSError:
            await stream.aclose()
            return
        self._streams |= {stream, upstream}
        try:
            with trio.CancelScope() as forwarding:
                self._forwarding.add(forwarding)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._forward,
                        stream,
                        upstream,
                        Mode.NO_REQUESTS,
                        nursery,
                    )
                    nursery.start_soon(
                        self._forward,
                        upstream,
                        stream,
                        Mode.NO_ANSWERS,
                        nursery,
                    )
            if forwarding.cancelled_caught:
                await _keep_silent(stream, upstream)
        finally:
            self._forwarding.discard(forwarding)
            self._streams -= {stream, upstream}
            stream.socket.close()
            upstream.socket.close()

    async def _forward(self, source, sink, blocking_mode, nursery):
        pending = b""
        try:
            while chunk := await source.receive_some(READ_BYTES):
                if self.mode is Mode.DELAY:
                    await trio.sleep(self.delay)
                pending += chunk
                while self.mode in (blocking_mode, Mode.SILENT):
                    await trio.sleep(0.02)
                await sink.send_all(pending)
                pending = b""
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # One side has disconnected; both connections are closed below.
            pending = b""
        nursery.cancel_scope.cancel()


async def _keep_silent(stream, upstream):
    """Keeps a connection open without a byte until the client closes it."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_drop_dark, upstream)
        with contextlib.suppress(
            OSError, trio.BrokenResourceError, trio.ClosedResourceError
        ):
            while await stream.receive_some(READ_BYTES):
                pass
        nursery.cancel_scope.cancel()


async def _drop_dark(upstream):
    """Closes the target's side, as a server does to a client gone dark."""
    await trio.sleep(DARK_SECONDS)
    upstream.socket.close()
