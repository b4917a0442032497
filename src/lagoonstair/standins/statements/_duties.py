"""A stand-in for the server that promotes databases.

Only the current holder of a duty calls it, with a fencing token.
"""

from typing import NamedTuple

import msgspec
import trio

from lagoonstair.standins.statements._database import Group
from lagoonstair.wire import HttpRequest, HttpResponse, HttpServer


class DutyCall(NamedTuple):
    """A recorded promotion call.

    Attributes:
        holder: The name of the instance that holds the duty.
        fence: The fencing token of the call.
        group: The name of the group.
        endpoint: The name of the database to promote.
    """

    holder: str
    fence: int
    group: str
    endpoint: str


class DutiesStandin:
    """Promotes databases of simulated groups.

    Attributes:
        calls: The received calls, in order.
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
        """Serves until cancelled.

        Args:
            host: The IP address to listen on.
            task_status: Reports the bound port once the server listens.
        """
        await HttpServer(self._handle).serve(host, 0, task_status=task_status)

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        body = msgspec.json.decode(req.body)
        call = DutyCall(
            req.headers["x-lagoonstair-duty-holder"],
            int(req.headers["x-lagoonstair-fence-token"]),
            body["service"],
            body["id"],
        )
        self.calls.append(call)
        started = self._groups[call.group].promote(call.endpoint)
        return HttpResponse(status=200 if started else 409, body=b"{}")
