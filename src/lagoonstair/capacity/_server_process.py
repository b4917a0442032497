"""Runs a server in a forked process, to measure its cost without the client."""

import contextlib
import os
import time
from collections.abc import Awaitable, Callable, Iterator

import trio

Serve = Callable[[trio.TaskStatus[int]], Awaitable[None]]

"""Serves until cancelled, and reports the port once it listens."""

MAX_TEXT_BYTES = 64
"""Greatest length in bytes of a number that is read from the pipe."""


class ServerProcess:
    """A server in a process of its own.

    Attributes:
        port: The port that the server listens on; 0 before it runs.
        cpu_seconds: Processor time in seconds between the start of listening
            and the stop; 0 before the server has stopped.

    Args:
        make_serve: Creates the server in the forked process.
    """

    def __init__(self, make_serve: Callable[[], Serve]) -> None:
        self._make_serve = make_serve
        self.port = 0
        self.cpu_seconds = 0.0

    @contextlib.contextmanager
    def running(self) -> Iterator["ServerProcess"]:
        """Runs the server while the body of the ``with`` statement runs.

        Yields:
            This object, with the server's port.
        """
        results, stop = os.pipe(), os.pipe()
        pid = os.fork()
        if pid == 0:
            trio.run(self._main, results[1], stop[0])
            os._exit(0)
        self.port = int(os.read(results[0], MAX_TEXT_BYTES))
        try:
            yield self
        finally:
            os.write(stop[1], b"1")
            self.cpu_seconds = float(os.read(results[0], MAX_TEXT_BYTES))
            os.waitpid(pid, 0)

    async def _main(self, results: int, stop: int) -> None:
        serve = self._make_serve()

        async def run(
            *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
        ) -> None:
            await serve(task_status)

        async with trio.open_nursery() as nursery:
            port = await nursery.start(run)
            started_at = time.process_time()
            os.write(results, str(port).encode())
            await trio.lowlevel.wait_readable(stop)
            cpu_seconds = time.process_time() - started_at
            os.write(results, str(cpu_seconds).encode())
            nursery.cancel_scope.cancel()
