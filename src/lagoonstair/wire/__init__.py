"""Network protocols: an HTTP/1.1 client and server, and binary frames.

HTTP carries requests from and to other systems; frames carry messages between
instances.
"""

from lagoonstair.wire._frames import (
    FrameReader,
    FrameTooLargeError,
    write_frame,
)
from lagoonstair.wire._http_client import (
    ClientResponse,
    HttpConnection,
    HttpError,
    NotSentError,
)
from lagoonstair.wire._http_pool import ConnectionPool
from lagoonstair.wire._http_server import (
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from lagoonstair.wire._listen import listen

__all__ = [
    "ClientResponse",
    "ConnectionPool",
    "FrameReader",
    "FrameTooLargeError",
    "Handler",
    "HttpConnection",
    "HttpError",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "NotSentError",
    "listen",
    "write_frame",
]
