"""The health check tells a load balancer whether requests are accepted."""

import pytest

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.service._front import CallerHandler
from lagoonstair.service._started import InFlightWork
from lagoonstair.wire import HttpRequest

HEALTH = HttpRequest(
    method="GET", target="/health", headers={}, body=b"", connection=1
)


class Config:
    """Fake configuration that is fresh or not."""

    def __init__(self, *, fresh):
        self._fresh = fresh

    def require_fresh(self, now):
        if not self._fresh:
            raise LagoonstairError(ErrorKind.NOT_FRESH, "no proof")


@pytest.mark.parametrize(
    ("fresh", "draining", "status"),
    [(True, False, 200), (False, False, 503), (True, True, 503)],
)
async def test_health_says_whether_requests_may_come(fresh, draining, status):
    in_flight = InFlightWork()
    in_flight.draining = draining
    front = CallerHandler(
        config=Config(fresh=fresh),
        dispatcher=None,
        tokens=None,
        in_flight=in_flight,
        deadline=1.0,
        observe=lambda observed: None,
    )
    assert (await front.handle(HEALTH)).status == status
