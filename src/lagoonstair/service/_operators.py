"""Answers operators: the configuration, the status, the drain."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.service._caller_messages import encode_failure
from lagoonstair.service._status import InstanceStatus
from lagoonstair.wire import HttpRequest, HttpResponse

ACCEPTED = HttpResponse(status=202, body=b'{"draining":true}')


class OperatorApi(Protocol):
    """The operators' interface of the configuration."""

    async def handle(self, req: HttpRequest) -> HttpResponse | None:
        """Answers a request, or None when it is not about configuration."""
        ...

    def authenticate(self, req: HttpRequest) -> None:
        """Raises UNAUTHENTICATED unless the request has an operator's key."""
        ...


class OperatorHandler:
    """The operators' interface of one instance."""

    def __init__(
        self,
        *,
        api: OperatorApi,
        status: Callable[[], InstanceStatus],
        measurements: Callable[[], bytes],
        drain: Callable[[], None],
    ) -> None:
        """Sets the collaborators.

        Args:
            api: Answers what is about configuration.
            status: The instance's status.
            measurements: What the instance has counted, as JSON.
            drain: Begins the shutdown.
        """
        self._api = api
        self._status = status
        self._measurements = measurements
        self._drain = drain

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answers one request."""
        answer = await self._api.handle(req)
        if answer is not None:
            return answer
        try:
            self._api.authenticate(req)
        except LagoonstairError as exc:
            return encode_failure(exc)
        match (req.method, req.target.split("?")[0]):
            case ("GET", "/v1/status"):
                body = msgspec.json.encode(self._status())
                return HttpResponse(status=200, body=body)
            case ("GET", "/v1/measurements"):
                return HttpResponse(status=200, body=self._measurements())
            case ("POST", "/v1/drain"):
                self._drain()
                return ACCEPTED
        return encode_failure(
            LagoonstairError(
                ErrorKind.NOT_FOUND, f"nothing at {req.method} {req.target}"
            )
        )
