"""Tracking of instances that recently could not be reached."""

from collections.abc import Iterable


class Suspects:
    """Instances that are temporarily tried last.

    A wrong suspicion only costs an extra hop. It affects latency, never
    correctness.
    """

    def __init__(self, *, duration: float) -> None:
        """Creates an empty set of suspects.

        Args:
            duration: The time in seconds for which an instance is suspected.
        """
        self._duration = duration
        self._until: dict[str, float] = {}

    def suspect(self, name: str, now: float) -> None:
        """Records that an instance could not be reached.

        Args:
            name: The name of the instance.
            now: The current time in seconds.
        """
        self._until[name] = now + self._duration

    def clear(self, name: str) -> None:
        """Records that an instance answered, which ends the suspicion."""
        self._until.pop(name, None)

    def order(self, names: Iterable[str], now: float) -> tuple[str, ...]:
        """Returns the names with the suspected instances after the others."""
        return tuple(
            sorted(names, key=lambda name: self._until.get(name, 0.0) > now)
        )
