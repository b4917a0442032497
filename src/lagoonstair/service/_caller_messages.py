"""JSON bodies of the callers' requests and responses."""

import re
from typing import Any, TypeVar

import msgspec

from lagoonstair.exceptions import ErrorKind, LagoonstairError, Outcome, Retry
from lagoonstair.ports import Result
from lagoonstair.wire import HttpRequest, HttpResponse

BEGIN = "begin"
"""Value of the field ``transaction`` that opens a transaction."""

MAX_REQUEST_ID_CHARACTERS = 128
"""Maximum length of a request ID, in characters."""

_REQUEST_ID = re.compile(rf"[!-~]{{1,{MAX_REQUEST_ID_CHARACTERS}}}")


class RouteRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request to run a route.

    Attributes:
        params: The value of each named parameter of the route's statements.
        request_id: Identifies a write, so that it runs at most once even if it
            is sent again.
        session: The session token from the previous response.
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
        instance: The instance that executed the request.
        endpoint: The database that ran the statements.
        term: The term of the log position written or read.
        offset: The offset of that position in the group's log.
    """

    instance: str
    endpoint: str
    term: int
    offset: int


class SuccessBody(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Response body of a request that ran.

    Attributes:
        outcome: Always ``answered``.
        results: One list of rows per statement.
        session: The session token for the next request.
        served_by: Where the request ran.
        request_id: The ID under which the request ran.
        transaction: The token of the transaction, if it is still open.
        duplicate: Whether the results are those of an earlier request with the
            same ID.
    """

    outcome: str
    results: tuple[Result, ...]
    session: str
    served_by: ServedBy | None
    request_id: str | None = None
    transaction: str | None = None
    duplicate: bool = False


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The error of a failed request.

    Attributes:
        kind: The kind of error.
        message: A description for humans.
        retry: How the caller may retry the request.
        retry_after: Delay after which a retry may succeed, in seconds, if
            known.
    """

    kind: ErrorKind
    message: str
    retry: Retry
    retry_after: float | None = None


class FailureBody(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Response body of a request that failed.

    Attributes:
        outcome: ``not_run`` or ``unknown``.
        error: The error.
        request_id: The ID with which to send the request again.
        session: A new session token, if the old one is no longer usable.
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
        LagoonstairError: ``BAD_REQUEST``; the message locates the fault.
    """
    return _decode(_route_requests, req)


def decode_end_request(req: HttpRequest) -> EndRequest:
    """Decodes the body of a request to end a transaction.

    Raises:
        LagoonstairError: ``BAD_REQUEST``; the message locates the fault.
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
    """Encodes the response to a request that ran."""
    return HttpResponse(status=200, body=_encoder.encode(body))


def encode_failure(
    exc: LagoonstairError,
    *,
    request_id: str | None = None,
    session: str | None = None,
) -> HttpResponse:
    """Encodes the response to a request that failed.

    The kind of the error determines the status, the outcome and the advice on
    retries.

    Args:
        exc: The error.
        request_id: The ID with which to send the request again.
        session: A new session token, if the old one is no longer usable.
    """
    response = exc.response
    body = FailureBody(
        outcome=response.outcome,
        error=ErrorBody(
            kind=exc.kind,
            message=exc.message,
            retry=response.retry,
            retry_after=exc.retry_after,
        ),
        request_id=request_id,
        session=session,
    )
    headers: tuple[tuple[str, str], ...] = ()
    if exc.retry_after is not None:
        headers = (("retry-after", f"{max(1, round(exc.retry_after))}"),)
    return HttpResponse(
        status=response.status, body=_encoder.encode(body), headers=headers
    )


def _check_request_id(request_id: str | None) -> None:
    if request_id is not None and not _REQUEST_ID.fullmatch(request_id):
        raise LagoonstairError(
            ErrorKind.BAD_REQUEST,
            "request_id: expected 1 to "
            f"{MAX_REQUEST_ID_CHARACTERS} printable ASCII characters",
        )
