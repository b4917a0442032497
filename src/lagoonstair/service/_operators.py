"""HTTP interface for operators: configuration, status and shutdown."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.service._caller_messages import encode_failure
from lagoonstair.service._status import InstanceStatus
from lagoonstair.wire import HttpRequest, HttpResponse

ACCEPTED = HttpResponse(status=202, body=b'{"draining":true}')
"""Response to a request to drain the instance."""


class OperatorApi(Protocol):
    """The part of the operators' interface that manages the configuration."""

    async def handle(self, req: HttpRequest) -> HttpResponse | None:
        """Answers a request; returns None if another handler must do so."""
        ...

    def authenticate(self, req: HttpRequest) -> None:
        """Checks that the request carries an operator's key.

        Raises:
            LagoonstairError: ``UNAUTHENTICATED``; it does not.
        """
        ...


class OperatorHandler:
    """Handles the operators' HTTP requests to one instance."""

    def __init__(
        self,
        *,
        api: OperatorApi,
        status: Callable[[], InstanceStatus],
        measurements: Callable[[], bytes],
        drain: Callable[[], None],
    ) -> None:
        """Initializes the handler.

        Args:
            api: Authenticates operators and manages the configuration.
            status: Returns the instance's status.
            measurements: Returns the instance's measurements as JSON.
            drain: Starts the shutdown.
        """
        self._api = api
        self._status = status
        self._measurements = measurements
        self._drain = drain

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answers an operator's request."""
        resp = await self._api.handle(req)
        if resp is not None:
            return resp
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
