"""Probes endpoints that do not answer or that peers cannot reach."""

import trio

from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._gossip import ALIVE_SECONDS, Gossip
from lagoonstair.proxy._orders import EndpointCommands

CHECK_PERIOD_SECONDS = 0.1
"""Interval (s) between checks of the endpoints."""

UNANSWERED_SECONDS = 0.32
"""Time (s) without an answer to a statement after which its endpoint is
suspected; the longest statements take about 0.2 s."""

PROBE_REQUEST_SECONDS = 1.0
"""Time (s) for which a peer's request to probe a primary is honoured."""


IDLE_PRIMARY_SECONDS = 2.0
"""Time (s) without traffic after which one instance probes a primary.
Otherwise, the failure of an idle group's primary would only be found by the
next caller."""


class Prober:
    """Opens connections to check whether endpoints are reachable."""

    def __init__(
        self, fleet: Fleet, gossip: Gossip, commands: EndpointCommands
    ) -> None:
        self._fleet = fleet
        self._gossip = gossip
        self._commands = commands

    async def run(self) -> None:
        """Checks all endpoints until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(CHECK_PERIOD_SECONDS)
                now = trio.current_time()
                suspects = self._suspected_primaries(now)
                suspects |= self._idle_primaries(now)
                for name, pool in [*self._fleet.pools.items()]:
                    is_suspect = (
                        pool.unreachable_since is not None or name in suspects
                    )
                    if (
                        is_suspect
                        and not pool.is_probing
                        and not self._fleet.is_excluded(pool)
                    ):
                        workspace = self._commands.any_workspace()
                        nursery.start_soon(pool.probe, workspace)
                for pool in self._fleet.pools.values():
                    pool.close_excess_idle(now)

    def _suspected_primaries(self, now: float) -> set[str]:
        suspects = set()
        for group, record in self._fleet.primacy.records.items():
            pool = self._fleet.pools.get(record.primary)
            if pool is None:
                continue
            requested_at = self._gossip.probe_requested_at.get(
                group, float("-inf")
            )
            is_requested = now - requested_at < PROBE_REQUEST_SECONDS
            if pool.silent_seconds(now) > UNANSWERED_SECONDS or (
                is_requested and pool.unreachable_seconds(now) != 0
            ):
                suspects.add(record.primary)
        return suspects

    def _idle_primaries(self, now: float) -> set[str]:
        """Returns the idle primaries that this instance is to probe.

        The groups are distributed over the responsive voters.
        """
        primacy = self._fleet.primacy
        if self._fleet.name not in primacy.voters:
            return set()
        alive = sorted(
            primacy.responsive_voters(now, ALIVE_SECONDS) | {self._fleet.name}
        )
        idle = set()
        for number, (group, record) in enumerate(
            sorted(primacy.records.items())
        ):
            pool = self._fleet.pools.get(record.primary)
            if pool is None or alive[number % len(alive)] != self._fleet.name:
                continue
            active_at = max(pool.answered_at, self._fleet.reported_at(group))
            if now - active_at > IDLE_PRIMARY_SECONDS:
                idle.add(record.primary)
        return idle
