"""What callers send and get, as JSON."""

import re
from typing import Any, TypeVar

import msgspec

from lagoonstair.exceptions import ErrorKind, LagoonstairError, Outcome, Retry
from lagoonstair.ports import Result
from lagoonstair.wire import HttpRequest, HttpResponse

BEGIN = "begin"
"""The value of ``transaction`` that opens a transaction."""

MAX_REQUEST_ID_CHARACTERS = 128
_REQUEST_ID = re.compile(rf"[!-~]{{1,{MAX_REQUEST_ID_CHARACTERS}}}")


class RouteRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request to run a route.

    Attributes:
        params: The value of each named parameter of the route's statements.
        request_id: Names a write so that it runs at most once.
        session: The session's token from the last answer.
        transaction: ``begin``, or the token of an open transaction.
    """

    params: dict[str, Any] = {}
    request_id: str | None = None
    session: str | None = None
    transaction: str | None = None


class EndRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request to commit or roll back a transaction.

    Attributes:
        request_id: As in ``RouteRequest``.
        session: As in ``RouteRequest``.
    """

    request_id: str | None = None
    session: str | None = None


class ServedBy(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request ran.

    Attributes:
        instance: The instance that held the connection.
        endpoint: The database that ran it.
        term: The group's term.
        offset: The position's offset in the group's log.
    """

    instance: str
    endpoint: str
    term: int
    offset: int


class SuccessBody(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """The answer to a request that ran.

    Attributes:
        outcome: Always ``answered``.
        results: One list of rows per statement.
        session: The session's new token.
        served_by: Where the request ran.
        request_id: The id under which it ran.
        transaction: The open transaction's token.
        duplicate: Whether an earlier run with the same id is answered.
    """

    outcome: str
    results: tuple[Result, ...]
    session: str
    served_by: ServedBy | None
    request_id: str | None = None
    transaction: str | None = None
    duplicate: bool = False


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What went wrong.

    Attributes:
        kind: The kind, from the closed list.
        message: The error in words.
        retry: What the caller may do next.
        retry_after: Seconds after which a retry may succeed, if known.
    """

    kind: ErrorKind
    message: str
    retry: Retry
    retry_after: float | None = None


class FailureBody(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """The answer to a request that failed.

    Attributes:
        outcome: ``not_run`` or ``unknown``.
        error: What went wrong.
        request_id: The id under which the request may be repeated.
        session: A new token, where the old one can't be used any more.
    """

    outcome: Outcome
    error: ErrorBody
    request_id: str | None = None
    session: str | None = None


_encoder = msgspec.json.Encoder()
_route_requests = msgspec.json.Decoder(RouteRequest)
_end_requests = msgspec.json.Decoder(EndRequest)

BodyT = TypeVar("BodyT", RouteRequest, EndRequest)


def decode_route_request(req: HttpRequest) -> RouteRequest:
    """Decodes the body of a request to run a route.

    Raises:
        LagoonstairError: Names the fault and its place.
    """
    return _decode(_route_requests, req)


def decode_end_request(req: HttpRequest) -> EndRequest:
    """Decodes the body of a request to end a transaction.

    Raises:
        LagoonstairError: Names the fault and its place.
    """
    return _decode(_end_requests, req)


def _decode(decoder: msgspec.json.Decoder[BodyT], req: HttpRequest) -> BodyT:
    try:
        body = decoder.decode(req.body or b"{}")
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise LagoonstairError(ErrorKind.BAD_REQUEST, str(exc)) from None
    _check_request_id(body.request_id)
    return body


def encode_success(body: SuccessBody) -> HttpResponse:
    """Encodes an answer."""
    return HttpResponse(status=200, body=_encoder.encode(body))


def encode_failure(
    exc: LagoonstairError,
    *,
    request_id: str | None = None,
    session: str | None = None,
) -> HttpResponse:
    """Encodes an error by its row in the answer table."""
    answer = exc.response
    body = FailureBody(
        outcome=answer.outcome,
        error=ErrorBody(
            kind=exc.kind,
            message=exc.message,
            retry=answer.retry,
            retry_after=exc.retry_after,
        ),
        request_id=request_id,
        session=session,
    )
    headers: tuple[tuple[str, str], ...] = ()
    if exc.retry_after is not None:
        headers = (("retry-after", f"{max(1, round(exc.retry_after))}"),)
    return HttpResponse(
        status=answer.status, body=_encoder.encode(body), headers=headers
    )


def _check_request_id(request_id: str | None) -> None:
    if request_id is not None and not _REQUEST_ID.fullmatch(request_id):
        raise LagoonstairError(
            ErrorKind.BAD_REQUEST,
            "request_id: expected 1 to "
            f"{MAX_REQUEST_ID_CHARACTERS} printable ASCII characters",
        )
