"""Tries endpoints that are silent, or that others can't reach."""

import trio

from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._gossip import ALIVE_SECONDS, Gossip
from lagoonstair.proxy._orders import EndpointCommands

TICK_SECONDS = 0.1
"""How often endpoints are looked at."""

UNANSWERED_SECONDS = 0.32
"""After which a statement without an answer makes its endpoint suspect; the
longest ones take some 0.2 s."""

ASKED_SECONDS = 1.0
"""How long another instance's suspicion is followed."""


QUIET_SECONDS = 2.0
"""After which a primary that nobody has asked anything is tried by one
instance: else the next caller of a quiet group would find it dead."""


class Prober:
    """Opens connections to see whether endpoints are in reach."""

    def __init__(
        self, fleet: Fleet, gossip: Gossip, orders: EndpointCommands
    ) -> None:
        self._fleet = fleet
        self._gossip = gossip
        self._orders = orders

    async def run(self) -> None:
        """Looks at all endpoints until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(TICK_SECONDS)
                now = trio.current_time()
                suspects = self._suspected_primaries(now)
                suspects |= self._quiet_primaries(now)
                for name, pool in [*self._fleet.pools.items()]:
                    pool.close_excess_idle(now)
                    suspect = (
                        pool.unreachable_since is not None or name in suspects
                    )
                    if suspect and not pool.is_probing:
                        workspace = self._orders.any_workspace()
                        nursery.start_soon(pool.probe, workspace)

    def _suspected_primaries(self, now: float) -> set[str]:
        suspects = set()
        for group, record in self._fleet.primacy.records.items():
            pool = self._fleet.pools.get(record.primary)
            if pool is None:
                continue
            asked_at = self._gossip.probe_requested_at.get(group, float("-inf"))
            asked = now - asked_at < ASKED_SECONDS
            if pool.silent_seconds(now) > UNANSWERED_SECONDS or (
                asked and pool.unreachable_seconds(now) != 0
            ):
                suspects.add(record.primary)
        return suspects

    def _quiet_primaries(self, now: float) -> set[str]:
        """Primaries without traffic that this instance is to try."""
        primacy = self._fleet.primacy
        if self._fleet.name not in primacy.voters:
            return set()
        alive = sorted(
            primacy.responsive_voters(now, ALIVE_SECONDS) | {self._fleet.name}
        )
        quiet = set()
        for number, (group, record) in enumerate(
            sorted(primacy.records.items())
        ):
            pool = self._fleet.pools.get(record.primary)
            if pool is None or alive[number % len(alive)] != self._fleet.name:
                continue
            tried_at = max(pool.answered_at, self._fleet.reported_at(group))
            if now - tried_at > QUIET_SECONDS:
                quiet.add(record.primary)
        return quiet
