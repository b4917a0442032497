"""Whether a member is alive, from the outcome of its probes."""

import enum
from dataclasses import dataclass, replace

from lagoonstair.groups._timing import Timing


class Liveness(enum.StrEnum):
    """What the probes say of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True, slots=True, kw_only=True)
class Health:
    """The probe record of one member.

    Attributes:
        heard_at: When the latest answered probe was asked.
        failures: Failed probes asked since then.
    """

    heard_at: float
    failures: int = 0

    def answered(self, asked_at: float) -> "Health":
        """Records an answer; it counts from when it was asked."""
        return Health(heard_at=max(self.heard_at, asked_at))

    def failed(self, asked_at: float) -> "Health":
        """Records a failed probe, unless a later one was answered."""
        if asked_at < self.heard_at:
            return self
        return replace(self, failures=self.failures + 1)

    def liveness(self, now: float, timing: Timing) -> Liveness:
        """Tells slow from dead: dead takes silence and repeated failures."""
        if not self.failures:
            return Liveness.ALIVE
        silent = now - self.heard_at >= timing.dead_after
        if silent and self.failures >= timing.dead_failures:
            return Liveness.DEAD
        return Liveness.SUSPECT
