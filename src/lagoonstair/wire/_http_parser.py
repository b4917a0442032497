"""Incremental parsing of HTTP/1.1 with the httptools codec."""

import math
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

import httptools

CONTINUE = "100-continue"


class BadHttpError(Exception):
    """What arrived is not HTTP, or over a limit.

    Attributes:
        status: The HTTP status code that answers it.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class ParsedRequest(NamedTuple):
    """A request that arrived whole.

    Attributes:
        method: The method, in capitals.
        target: The path with its query.
        headers: The headers, with names in lower case.
        body: The body.
        keep_alive: Whether the client may send another request.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    keep_alive: bool


class ParsedResponse(NamedTuple):
    """A response that arrived whole.

    Attributes:
        status: The HTTP status code.
        headers: The headers, with names in lower case.
        body: The body.
        keep_alive: Whether the server takes another request.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    keep_alive: bool


class _MessageBuilder:
    """Gathers the parts of one message after another."""

    def __init__(self, *, header_bytes: float, body_bytes: float) -> None:
        self._header_limit = header_bytes
        self._body_limit = body_bytes
        self._head_size = 0
        self.began = False
        self.target = bytearray()
        self.headers: dict[str, str] = {}
        self.body = bytearray()

    def on_message_begin(self) -> None:
        self.began = True
        self._head_size = 0
        self.target = bytearray()
        self.headers = {}
        self.body = bytearray()

    def on_url(self, part: bytes) -> None:
        self._grow_head(len(part))
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow_head(len(name) + len(value))
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, part: bytes) -> None:
        self.body += part
        if len(self.body) > self._body_limit:
            raise BadHttpError(413, f"body is over {self._body_limit} bytes")

    def _grow_head(self, size: int) -> None:
        self._head_size += size
        self._check_head(self._head_size)

    def _check_head(self, size: int) -> None:
        if size > self._header_limit:
            raise BadHttpError(431, f"head is over {self._header_limit} bytes")


class RequestParser(_MessageBuilder):
    """Cuts a client's bytes into requests.

    Attributes:
        began: Whether a request has begun and not ended.
        wants_continue: Whether the client waits for leave to send a body.
    """

    def __init__(self, *, header_bytes: int, body_bytes: int) -> None:
        super().__init__(header_bytes=header_bytes, body_bytes=body_bytes)
        self._parser = httptools.HttpRequestParser(self)
        self._done: deque[ParsedRequest] = deque()
        self._fed = 0
        self._head_done = False
        self.wants_continue = False

    def feed(self, data: bytes) -> None:
        """Takes bytes as they arrive.

        Raises:
            BadHttpError: They are not HTTP, or a limit is passed.
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
        if self.began and not self._head_done:
            self._check_head(self._fed)

    def next_request(self) -> ParsedRequest | None:
        """The next request that arrived whole."""
        return self._done.popleft() if self._done else None

    def on_headers_complete(self) -> None:
        """Notes whether the client waits before it sends the body."""
        self._head_done = True
        self.wants_continue = self.headers.get("expect") == CONTINUE

    def on_message_complete(self) -> None:
        """Keeps a request that arrived whole."""
        self._done.append(
            ParsedRequest(
                method=self._parser.get_method().decode("ascii"),
                target=self.target.decode("latin-1"),
                headers=self.headers,
                body=bytes(self.body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )
        self.began = False
        self._head_done = False
        self._fed = 0


class ResponseParser(_MessageBuilder):
    """Cuts a server's bytes into responses."""

    def __init__(self) -> None:
        super().__init__(header_bytes=math.inf, body_bytes=math.inf)
        self._parser = httptools.HttpResponseParser(self)
        self._done: deque[ParsedResponse] = deque()

    @property
    def idle(self) -> bool:
        """Whether nothing came that was not taken."""
        return not self.began and not self._done

    def feed(self, data: bytes) -> None:
        """Takes bytes as they arrive.

        Raises:
            BadHttpError: They are not HTTP.
        """
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            raise BadHttpError(502, str(exc)) from exc

    def next_response(self) -> ParsedResponse | None:
        """The next response that arrived whole."""
        return self._done.popleft() if self._done else None

    def on_message_complete(self) -> None:
        """Keeps a response that arrived whole."""
        self._done.append(
            ParsedResponse(
                status=self._parser.get_status_code(),
                headers=self.headers,
                body=bytes(self.body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )
        self.began = False
