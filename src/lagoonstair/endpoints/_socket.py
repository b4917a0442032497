"""HTTP connection that is not reused after any unexpected event."""

import trio

from lagoonstair._types import Address
from lagoonstair.ports import EndpointUnreachableError, ResultUnknownError
from lagoonstair.wire import ClientResponse, HttpConnection, HttpError


class Socket:
    """An HTTP connection that detects when it must not be reused.

    Args:
        stream: The connected stream.
        address: The address to which the stream is connected.
    """

    def __init__(self, stream: trio.SocketStream, address: Address) -> None:
        self._http = HttpConnection(stream, address)

    @classmethod
    async def open(cls, address: Address) -> "Socket":
        """Connects to an address.

        Raises:
            EndpointUnreachableError: The connection could not be opened.
        """
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except OSError as exc:
            raise EndpointUnreachableError(f"{address}: {exc}") from exc
        return cls(stream, address)

    @property
    def reusable(self) -> bool:
        """Whether the connection is open and received no unexpected data."""
        return self._http.usable

    async def call(
        self, target: str, body: bytes, headers: list[tuple[str, str]]
    ) -> ClientResponse:
        """Sends a call and waits for its answer.

        Without a complete answer the connection is closed.

        Args:
            target: The path of the request.
            body: The body of the request.
            headers: Additional headers of the request.

        Raises:
            EndpointUnreachableError: The connection can't be used; nothing
                was sent.
            ResultUnknownError: No complete answer was received.
        """
        if not self.reusable:
            self.close()
            raise EndpointUnreachableError("the connection is closed")
        try:
            return await self._http.call(
                "POST", target, body, headers=headers, is_correlated=True
            )
        except HttpError as exc:
            raise ResultUnknownError(str(exc)) from exc
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Closes the connection at once."""
        self._http.close()
