"""Failure detection for a group member, based on its probe results."""

import enum
from dataclasses import dataclass, replace

from lagoonstair.groups._timing import Timing


class Liveness(enum.StrEnum):
    """The liveness of a member as determined by its probes.

    Attributes:
        ALIVE: No probe has failed since the latest answered one.
        SUSPECT: Probes have failed, but not enough to declare it dead.
        DEAD: Silence and the number of failures both exceed their bounds.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True, slots=True, kw_only=True)
class Health:
    """The probe results of one member.

    Attributes:
        heard_at: The time at which the latest answered probe was sent, in
            seconds of the watcher's clock.
        failures: The number of failed probes sent since then.
    """

    heard_at: float
    failures: int = 0

    def answered(self, asked_at: float) -> "Health":
        """Records an answered probe.

        Args:
            asked_at: The time at which the probe was sent. The answer counts
                from then, as the member's later state is unknown.
        """
        return Health(heard_at=max(self.heard_at, asked_at))

    def failed(self, asked_at: float) -> "Health":
        """Records a failed probe unless a later probe was answered.

        Args:
            asked_at: The time at which the probe was sent.
        """
        if asked_at < self.heard_at:
            return self
        return replace(self, failures=self.failures + 1)

    def liveness(self, now: float, timing: Timing) -> Liveness:
        """Classifies the member at a given time.

        Declaring a member dead requires both a long silence and repeated
        failures, which keeps a slow member apart from a dead one.

        Args:
            now: The current time in seconds of the watcher's clock.
            timing: The bounds ``dead_after`` and ``dead_failures``.
        """
        if not self.failures:
            return Liveness.ALIVE
        silent = now - self.heard_at >= timing.dead_after
        if silent and self.failures >= timing.dead_failures:
            return Liveness.DEAD
        return Liveness.SUSPECT
