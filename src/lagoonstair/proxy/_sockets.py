"""State of sockets that trio does not expose."""

import select

import trio


def is_readable(stream: trio.SocketStream) -> bool:
    """Returns whether data has arrived, or the other side has closed."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
