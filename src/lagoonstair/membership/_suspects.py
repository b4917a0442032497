"""Remembers which instances could not be reached lately."""

from collections.abc import Iterable


class Suspects:
    """Instances that are passed over for a while.

    A suspicion costs at most a detour: it decides speed, not safety.
    """

    def __init__(self, *, duration: float) -> None:
        """Sets for how many seconds a suspicion lasts."""
        self._duration = duration
        self._until: dict[str, float] = {}

    def suspect(self, name: str, now: float) -> None:
        """Notes that an instance could not be reached."""
        self._until[name] = now + self._duration

    def clear(self, name: str) -> None:
        """Notes that an instance answered."""
        self._until.pop(name, None)

    def order(self, names: Iterable[str], now: float) -> tuple[str, ...]:
        """Moves suspected instances behind the others."""
        return tuple(
            sorted(names, key=lambda name: self._until.get(name, 0.0) > now)
        )
