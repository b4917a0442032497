"""State of sockets that trio does not expose."""

import os
import select

import trio


def is_readable(stream: trio.SocketStream) -> bool:
    """Returns whether data has arrived, or the other side has closed."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_unread_data(stream: trio.SocketStream) -> bool:
    """Returns whether the other side has sent data; consumes a byte of it.

    It is for connections that are not used again.
    """
    try:
        return bool(os.read(stream.socket.fileno(), 1))
    except OSError:
        # Nothing has arrived, or the connection is broken.
        return False
