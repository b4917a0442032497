"""TCP listener on trio."""

from collections.abc import Awaitable, Callable

import trio

ServeStream = Callable[[trio.SocketStream], Awaitable[None]]


async def listen(
    serve_stream: ServeStream,
    host: str,
    port: int,
    task_status: trio.TaskStatus[int],
) -> None:
    """Accepts TCP connections until cancelled.

    Args:
        serve_stream: Serves one connection, in a task of its own.
        host: The IP address to listen on.
        port: The TCP port; 0 lets the operating system choose one.
        task_status: Receives the bound port once the listener is open.
    """
    listeners = await trio.open_tcp_listeners(port, host=host)
    bound = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        await nursery.start(trio.serve_listeners, serve_stream, listeners)
        task_status.started(bound)
