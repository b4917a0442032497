"""Incremental HTTP/1.1 parsers based on httptools."""

import math
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

import httptools

CONTINUE = "100-continue"
"""Value of the Expect header by which a client delays sending the body."""

FIRST_FINAL_STATUS = 200
"""Lowest status of a response that answers its request; a lower one announces
that another follows."""

VERSIONS = frozenset({"1.0", "1.1"})
"""The HTTP versions that are spoken."""

SINGLE_VALUED = frozenset(
    {
        "authorization",
        "content-length",
        "content-type",
        "expect",
        "host",
        "idempotency-key",
        "retry-after",
        "transfer-encoding",
    }
)
"""Headers that a message may have once; two readers may differ on which value
of several counts. The values of other repeated headers form a list."""


class BadHttpError(Exception):
    """A received message is malformed or incomplete, or exceeds a limit.

    Attributes:
        status: The HTTP status code to respond with.
        reason: The kind of fault: ``malformed``, ``repeated_header``,
            ``version``, ``too_large`` or ``slow``.
    """

    def __init__(
        self, status: int, message: str, reason: str = "malformed"
    ) -> None:
        super().__init__(message)
        self.status = status
        self.reason = reason


class ParsedRequest(NamedTuple):
    """A complete request.

    Attributes:
        method: The HTTP method in upper case.
        target: The request target: path and query.
        headers: The headers by lower-case name.
        body: The request body.
        keep_alive: Whether the client may send another request on the
            connection.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    keep_alive: bool


class ParsedResponse(NamedTuple):
    """A complete response.

    Attributes:
        status: The HTTP status code.
        headers: The headers by lower-case name.
        body: The response body.
        keep_alive: Whether the server accepts another request on the
            connection.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    keep_alive: bool


class _MessageBuilder:
    """Base class of the parsers, with the httptools callbacks they share.

    Args:
        header_bytes: Size limit of a message head, in bytes.
        body_bytes: Size limit of a message body, in bytes.
    """

    def __init__(self, *, header_bytes: float, body_bytes: float) -> None:
        self._header_limit = header_bytes
        self._body_limit = body_bytes
        self._head_size = 0
        self._head_done = False
        self.in_message = False
        self.target = bytearray()
        self.headers: dict[str, str] = {}
        self.body = bytearray()

    def on_message_begin(self) -> None:
        self.in_message = True
        self._head_size = 0
        self._head_done = False
        self.target = bytearray()
        self.headers = {}
        self.body = bytearray()

    def on_url(self, part: bytes) -> None:
        self._grow_head(len(part))
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow_head(len(name) + len(value))
        if self._head_done:
            # A trailer is no header, and must not replace one.
            return
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        earlier = self.headers.get(key)
        if earlier is not None:
            if key in SINGLE_VALUED:
                raise BadHttpError(
                    400, f"header {key} is repeated", "repeated_header"
                )
            text = f"{earlier}, {text}"
        self.headers[key] = text

    def on_body(self, part: bytes) -> None:
        self.body += part
        if len(self.body) > self._body_limit:
            raise BadHttpError(
                413, f"body is over {self._body_limit} bytes", "too_large"
            )

    def _grow_head(self, size: int) -> None:
        self._head_size += size
        self._check_head(self._head_size)

    def _check_head(self, size: int) -> None:
        if size > self._header_limit:
            raise BadHttpError(
                431, f"head is over {self._header_limit} bytes", "too_large"
            )

    def _end_head(self, version: str) -> None:
        """Checks a complete head.

        Raises:
            BadHttpError: The version is not spoken, or has no chunked bodies.
        """
        self._head_done = True
        if version not in VERSIONS:
            raise BadHttpError(400, "unknown HTTP version", "version")
        if version == "1.0" and "transfer-encoding" in self.headers:
            raise BadHttpError(400, "HTTP/1.0 has no transfer encodings")


class RequestParser(_MessageBuilder):
    """Incremental parser of the requests on one connection.

    Args:
        header_bytes: Size limit of a request head, in bytes.
        body_bytes: Size limit of a request body, in bytes.

    Attributes:
        in_message: Whether a request has been received in part.
        wants_continue: Whether the client waits for ``100 Continue`` before it
            sends the body.
    """

    def __init__(self, *, header_bytes: int, body_bytes: int) -> None:
        super().__init__(header_bytes=header_bytes, body_bytes=body_bytes)
        self._parser = httptools.HttpRequestParser(self)
        self._complete: deque[ParsedRequest] = deque()
        self._fed = 0
        self.wants_continue = False

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
            BadHttpError: The bytes are not valid HTTP, or a limit is exceeded.
        """
        self._fed += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, BadHttpError):
                raise exc.__context__ from None
            raise BadHttpError(400, "malformed request") from exc
        except httptools.HttpParserUpgrade as exc:
            raise BadHttpError(400, "upgrades are not supported") from exc
        except httptools.HttpParserError as exc:
            raise BadHttpError(400, str(exc)) from exc
        if self.in_message and not self._head_done:
            self._check_head(self._fed)

    def next_request(self) -> ParsedRequest | None:
        """Removes and returns the next complete request, if any."""
        return self._complete.popleft() if self._complete else None

    def on_headers_complete(self) -> None:
        """Records whether the client waits before it sends the body."""
        self._end_head(self._parser.get_http_version())
        self.wants_continue = self.headers.get("expect") == CONTINUE

    def on_message_complete(self) -> None:
        """Queues a complete request."""
        self._complete.append(
            ParsedRequest(
                method=self._parser.get_method().decode("ascii"),
                target=self.target.decode("latin-1"),
                headers=self.headers,
                body=bytes(self.body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )
        self.in_message = False
        self.wants_continue = False
        self._fed = 0


class ResponseParser(_MessageBuilder):
    """Incremental parser of the responses on one connection."""

    def __init__(self) -> None:
        super().__init__(header_bytes=math.inf, body_bytes=math.inf)
        self._parser = httptools.HttpResponseParser(self)
        self._complete: deque[ParsedResponse] = deque()

    @property
    def idle(self) -> bool:
        """Whether no response is incomplete or waits to be returned."""
        return not self.in_message and not self._complete

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
            BadHttpError: The bytes are not valid HTTP.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, BadHttpError):
                raise exc.__context__ from None
            raise BadHttpError(502, "malformed response") from exc
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            raise BadHttpError(502, str(exc)) from exc

    def next_response(self) -> ParsedResponse | None:
        """Removes and returns the next complete response, if any."""
        return self._complete.popleft() if self._complete else None

    def on_headers_complete(self) -> None:
        """Checks the head."""
        self._end_head(self._parser.get_http_version())

    def on_message_complete(self) -> None:
        """Queues a complete response; drops an interim one."""
        self.in_message = False
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        self._complete.append(
            ParsedResponse(
                status=status,
                headers=self.headers,
                body=bytes(self.body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )
        self.in_message = False
