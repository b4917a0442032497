"""Client for the platform calls that only one instance at a time may make."""

import enum
from http import HTTPStatus

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.platform.store import is_refusal
from lagoonstair.wire import HttpConnection, HttpError, NotSentError

HOLDER_HEADER = "X-Lagoonstair-Duty-Holder"
"""Header with the name of the instance that holds the promotion duty."""

FENCE_HEADER = "X-Lagoonstair-Fence-Token"
"""Header with the fencing token of that duty, in decimal digits."""

CALL_SECONDS = 1.0
"""Timeout (s) of a call; the platform answers within a few milliseconds."""


class PromoteAnswer(enum.Enum):
    """The platform's answer to a promotion request.

    Attributes:
        ACCEPTED: The platform accepted the request (status 200).
        NOT_RUNNING: The endpoint to promote is not running (status 409).
        REFUSED: The platform answered with another status by which nothing
            was done, or the request was not sent.
        UNKNOWN: No answer came, or one that leaves it open, so the promotion
            may be running.
    """

    ACCEPTED = "accepted"
    NOT_RUNNING = "not_running"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Duties:
    """Client for the platform's exclusive calls, which carry fencing tokens."""

    def __init__(self, address: Address) -> None:
        self._address = address

    async def promote(
        self, group: str, endpoint: str, *, holder: str, fence: int
    ) -> PromoteAnswer:
        """Asks the platform to make an endpoint the group's next primary.

        Each of these rare calls has a connection of its own: an idle one may
        have broken unnoticed, and a call without an answer costs seconds. If no
        answer comes, the connection is reset, so that a call that is held up on
        the way does not arrive after a later one.

        Args:
            group: The name of the group.
            endpoint: The name of the endpoint to promote.
            holder: The instance that holds the promotion duty.
            fence: The fencing token of that duty.
        """
        body = msgspec.json.encode({"service": group, "id": endpoint})
        headers = (
            ("content-type", "application/json"),
            (HOLDER_HEADER, holder),
            (FENCE_HEADER, str(fence)),
        )
        try:
            with trio.fail_after(CALL_SECONDS):
                conn = await HttpConnection.open(self._address)
                try:
                    answer = await conn.call(
                        "POST", "/promotion", body, headers=headers
                    )
                except trio.Cancelled:
                    conn.reset()
                    raise
                conn.close()
        except NotSentError:
            return PromoteAnswer.REFUSED
        except (HttpError, trio.TooSlowError):
            return PromoteAnswer.UNKNOWN
        match answer.status:
            case HTTPStatus.OK:
                return PromoteAnswer.ACCEPTED
            case HTTPStatus.CONFLICT:
                return PromoteAnswer.NOT_RUNNING
            case status if is_refusal(status):
                return PromoteAnswer.REFUSED
            case _:
                return PromoteAnswer.UNKNOWN
