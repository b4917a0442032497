"""An HTTP connection that is not used again after anything odd."""

import select

import trio

from lagoonstair._types import Address
from lagoonstair.ports import EndpointUnreachableError, ResultUnknownError
from lagoonstair.wire import HttpAnswer, HttpConnection, HttpError


class Socket:
    """An HTTP connection that notices when it should not be used."""

    def __init__(self, stream: trio.SocketStream, address: Address) -> None:
        self._http = HttpConnection(stream, address)
        self._poll = select.poll()
        self._poll.register(stream.socket.fileno(), select.POLLIN)

    @classmethod
    async def open(cls, address: Address) -> "Socket":
        """Connects to an address.

        Raises:
            EndpointUnreachableError: The address accepts no connection.
        """
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
        except OSError as exc:
            raise EndpointUnreachableError(f"{address}: {exc}") from exc
        return cls(stream, address)

    @property
    def reusable(self) -> bool:
        """Whether it is open and nothing came that was not asked for."""
        return self._http.usable and not self._poll.poll(0)

    async def call(
        self, target: str, body: bytes, headers: list[tuple[str, str]]
    ) -> HttpAnswer:
        """Sends a call, and closes the connection if no answer arrives.

        Raises:
            EndpointUnreachableError: Nothing was sent.
            ResultUnknownError: The answer did not arrive whole.
        """
        if not self.reusable:
            self.close()
            raise EndpointUnreachableError("the connection has ended")
        try:
            return await self._http.call("POST", target, body, headers=headers)
        except HttpError as exc:
            raise ResultUnknownError(str(exc)) from exc
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Closes the connection at once."""
        self._http.close()
