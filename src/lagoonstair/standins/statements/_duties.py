"""A stand-in for the calls that one instance at a time makes."""

from typing import NamedTuple

import msgspec
import trio

from lagoonstair.standins.statements._database import Group
from lagoonstair.wire import HttpRequest, HttpResponse, HttpServer


class DutyCall(NamedTuple):
    """A call as it came.

    Attributes:
        holder: Who made it.
        fence: Its fencing token.
        group: The group.
        endpoint: The database that is to lead.
    """

    holder: str
    fence: int
    group: str
    endpoint: str


class DutiesStandin:
    """Promotes databases.

    Attributes:
        calls: The calls that came, in order.
    """

    def __init__(self, groups: dict[str, Group]) -> None:
        self._groups = groups
        self.calls: list[DutyCall] = []

    async def serve(
        self,
        host: str,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens until cancelled; reports the port."""
        await HttpServer(self._answer).serve(host, 0, task_status=task_status)

    async def _answer(self, req: HttpRequest) -> HttpResponse:
        body = msgspec.json.decode(req.body)
        call = DutyCall(
            req.headers["x-lagoonstair-duty-holder"],
            int(req.headers["x-lagoonstair-fence-token"]),
            body["service"],
            body["id"],
        )
        self.calls.append(call)
        done = self._groups[call.group].promote(call.endpoint)
        return HttpResponse(status=200 if done else 409, body=b"{}")
