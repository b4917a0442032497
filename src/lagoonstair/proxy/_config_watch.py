"""Reads the configuration when nothing else shows it to be current."""

import random

import trio

from lagoonstair.platform.store import CALL_SECONDS, StoreError
from lagoonstair.proxy._config_age import ConfigAge
from lagoonstair.proxy._fleet import Fleet, jittered
from lagoonstair.proxy._follower import (
    MAX_RETRY_SECONDS,
    RETRY_SECONDS,
    Follower,
)
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._registry import VOTER_COUNT, Registry

EXAMINATION_SECONDS = 0.1
"""Interval (s) at which the age of the known configuration is examined."""

TAKEOVER_JITTER = (0.9, 1.0)
"""Range of the fraction of the voters' limit on that age, drawn at random for
each examination, so that one of them reads the store first."""

FIRST_READ_SECONDS = 0.5
"""Timeout (s) of the first read, which may be sent on a connection that has
broken unnoticed."""


class ConfigWatcher:
    """Keeps the age of the known configuration within its bound.

    A feed call on a dead connection waits as if nothing had changed, so its
    silence proves nothing.
    """

    def __init__(
        self,
        fleet: Fleet,
        registry: Registry,
        config_age: ConfigAge,
        follower: Follower,
        metrics: Metrics,
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self._config_age = config_age
        self._follower = follower
        self._metrics = metrics

    async def run(self) -> None:
        """Examines the age and reads the store when needed, until cancelled."""
        reads = 0
        while True:
            await trio.sleep(jittered(self._pause(reads)))
            now = trio.current_time()
            age = self._config_age.age(now)
            self._metrics.set("configuration_age_seconds", round(age, 3))
            if not self._config_age.is_read_due(
                now, rank=self._rank(), jitter=random.uniform(*TAKEOVER_JITTER)
            ):
                reads = 0
                continue
            reads += 1
            try:
                await self._follower.read_config(
                    FIRST_READ_SECONDS if reads == 1 else CALL_SECONDS
                )
            except StoreError:
                self._metrics.count("configuration_reads_failed")

    def _rank(self) -> int | None:
        """Returns this instance's place among the voters, if it is one."""
        name = self._fleet.name
        if name not in self._fleet.primacy.voters:
            # Spares most instances the sorting of all members.
            return None
        voters = self._registry.voters()
        return voters.index(name) if name in voters else None

    def _pause(self, reads: int) -> float:
        """Returns the seconds until the next examination.

        In an outage the instances that are not voters together make about as
        many calls as the voters do.

        Args:
            reads: The number of reads since the configuration was last known
                to be current.
        """
        if not reads:
            return EXAMINATION_SECONDS
        pause = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2.0 ** min(reads - 1, 8))
        if reads == 1 or self._rank() is not None:
            return pause
        return pause * max(1.0, len(self._registry.members) / VOTER_COUNT)
