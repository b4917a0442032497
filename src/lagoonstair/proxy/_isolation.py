"""Turns callers away while the instance is cut off from all homes."""

import itertools
import math
from collections.abc import Awaitable, Callable

import trio

from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._gossip import ROUND_PERIOD_SECONDS
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._relays import HomeRouter
from lagoonstair.reachability import CONTACT_SECONDS, Contact
from lagoonstair.statements import ErrorCode, Failure

CHECK_SECONDS = 0.1
"""Interval in seconds between two checks."""

RETRY_AFTER_MS = 200
"""Retry hint to a refused caller, in milliseconds: another instance may serve
it at once, and a hint of 0 would make it return without a pause."""

ISOLATED_MESSAGE = "this instance reaches no home"


class IsolationWatch:
    """Watches one instance's contact with the homes and the voters.

    It probes one home in each round of gossip, unless one has opened a session
    since the round before.
    """

    def __init__(
        self,
        fleet: Fleet,
        router: HomeRouter,
        is_reachable: Callable[[str], Awaitable[bool]],
        metrics: Metrics,
    ) -> None:
        """Creates a watch of an instance that is not isolated.

        Args:
            fleet: The state of the instances and endpoints.
            router: Opens sessions at homes.
            is_reachable: Returns whether an instance answers a call now.
            metrics: The metrics.
        """
        self._fleet = fleet
        self._router = router
        self._is_reachable = is_reachable
        self._metrics = metrics
        self._contact = Contact()
        self._probed_at = -math.inf
        self._probes = itertools.count()
        self.close_idle_sessions: Callable[[], int] = lambda: 0

    @property
    def turns_away_all(self) -> bool:
        """Whether the readiness check is to fail.

        A home still runs the sessions of its own workspaces.
        """
        return (
            self._contact.is_isolated
            and self._fleet.name not in self._fleet.homes.names
        )

    def refusal(
        self, workspace: str, allowed: frozenset[str] | None = None
    ) -> Failure | None:
        """Returns why a session is not opened, if so.

        Args:
            workspace: The session's workspace.
            allowed: The failure domains that its home may be in; ``None`` for
                all.
        """
        if (
            not self._contact.is_isolated
            or self._fleet.name in self._router.candidates(workspace, allowed)
        ):
            return None
        return Failure(
            ErrorCode.BUSY,
            f"{ISOLATED_MESSAGE}; retry_after_ms={RETRY_AFTER_MS}",
        )

    async def run(self) -> None:
        """Watches until cancelled; to be called once the instance is ready."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._probe_in_rounds)
            while True:
                self.check()
                await trio.sleep(CHECK_SECONDS)

    def check(self) -> None:
        """Decides anew, and closes idle sessions while isolated."""
        if self._fleet.homes.is_direct:
            return
        now = trio.current_time()
        voters = self._fleet.primacy.responsive_voters(now, CONTACT_SECONDS)
        has_changed = self._contact.check(
            now, home_at=self._home_at, hears_voter=bool(voters)
        )
        isolated = self._contact.is_isolated
        closed = self.close_idle_sessions() if isolated else 0
        if has_changed:
            self._metrics.set("isolated", float(isolated))
            log_event(
                "instance isolated" if isolated else "instance in contact",
                closed=closed,
                home_silent_for=round(now - self._home_at, 3),
                homes=len(self._fleet.homes.names),
            )

    @property
    def _home_at(self) -> float:
        return max(self._probed_at, self._router.home_answered_at)

    async def _probe_in_rounds(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                homes = sorted(self._fleet.homes.names - {self._fleet.name})
                age = trio.current_time() - self._home_at
                if (
                    homes
                    and not self._fleet.homes.is_direct
                    and age >= ROUND_PERIOD_SECONDS
                ):
                    name = homes[next(self._probes) % len(homes)]
                    nursery.start_soon(self._probe, name)
                await trio.sleep(ROUND_PERIOD_SECONDS)

    async def _probe(self, name: str) -> None:
        with self._fleet.supervisor.contain("home probe", peer=name):
            if await self._is_reachable(name):
                self._probed_at = trio.current_time()
