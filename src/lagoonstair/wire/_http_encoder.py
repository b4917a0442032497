"""Encoder of HTTP/1.1 messages, which refuses fields that would end early."""

import re
from collections.abc import Iterable
from http import HTTPStatus

TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
"""A method or a header name."""

TARGET = re.compile(r"[!-~]+")
"""A request target: printable ASCII characters without blanks."""

VALUE = re.compile(r"[\t -~\x80-\xff]*")
"""A header value: no control character but the tab."""

WITHOUT_BODY = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})
"""Statuses whose responses end with the head."""

Headers = Iterable[tuple[str, str]]


def encode_request(
    method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    """Encodes a request.

    Raises:
        ValueError: A field contains characters that it may not have, or the
            method is ``HEAD`` or ``CONNECT``, whose responses end otherwise.
    """
    if not TOKEN.fullmatch(method) or method in ("HEAD", "CONNECT"):
        raise ValueError("the request has an invalid method")
    if not TARGET.fullmatch(target):
        raise ValueError("the request has an invalid target")
    return _encode(f"{method} {target} HTTP/1.1", headers, body)


def encode_response(
    status: int, headers: Headers, body: bytes, *, is_head: bool = False
) -> bytes:
    """Encodes a response.

    Args:
        status: The status code.
        headers: The headers, without the length of the body.
        body: The body.
        is_head: Whether the request's method is ``HEAD``, so that the body is
            announced but not sent.

    Raises:
        ValueError: A field contains characters that it may not have, the
            status is unknown or not final, or it allows no body.
    """
    known = HTTPStatus(status)
    if known < HTTPStatus.OK or (body and known in WITHOUT_BODY):
        raise ValueError(f"a response of status {status} can't have a body")
    start = f"HTTP/1.1 {known.value} {known.phrase}"
    if known in WITHOUT_BODY:
        return _encode_head(start, headers)
    message = _encode(start, headers, body)
    return message[: len(message) - len(body)] if is_head else message


def _encode(start: str, headers: Headers, body: bytes) -> bytes:
    length = ("content-length", str(len(body)))
    return _encode_head(start, (length, *headers)) + body


def _encode_head(start: str, headers: Headers) -> bytes:
    lines = [start]
    for name, value in headers:
        if not TOKEN.fullmatch(name):
            raise ValueError("a header has an invalid name")
        if not VALUE.fullmatch(value):
            raise ValueError(f"header {name} has an invalid value")
        lines.append(f"{name}: {value}")
    return "\r\n".join((*lines, "", "")).encode("latin-1")
