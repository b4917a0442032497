"""Which class of work goes next, without I/O."""

from collections.abc import Mapping
from dataclasses import dataclass

MAX_STARTS_BETWEEN = 8
"""A class with waiting work gets at least one of so many consecutive starts,
as long as no more than so many classes wait."""


@dataclass(slots=True)
class _Standing:
    """A class with waiting work.

    Attributes:
        since: When it last started work or, if later, began to wait, in
            seconds.
        passed_over: Starts of other classes since then.
    """

    since: float
    passed_over: int = 0


class ClassOrder:
    """Orders classes by priority, without starving any.

    A class that has been passed over too often goes first, then one that has
    waited longer than its target latency, then the most urgent one.
    """

    def __init__(self) -> None:
        self._standings: dict[int, _Standing] = {}

    def arrive(self, now: float, priority: int) -> None:
        """Records that a class has waiting work."""
        self._standings.setdefault(priority, _Standing(now))

    def leave(self, priority: int) -> None:
        """Records that a class has no waiting work any more."""
        self._standings.pop(priority, None)

    def take(self, now: float, targets: Mapping[int, float]) -> int:
        """Chooses the class of the next start and records the start.

        Args:
            now: The time, in seconds.
            targets: The target latency of each class that may start, in
                seconds; not empty, and each class has arrived.

        Returns:
            The priority of the class.
        """
        priority = self._choose(now, targets)
        for other in targets:
            self._standings[other].passed_over += 1
        self._standings[priority] = _Standing(now)
        return priority

    def _choose(self, now: float, targets: Mapping[int, float]) -> int:
        standings = self._standings
        overdue = [
            priority
            for priority, target in targets.items()
            if now - standings[priority].since > target
        ]
        choice = min(overdue or targets)
        # The starts for which each class may still be passed over. If too
        # many of the other classes run out of them, one goes first.
        slack = {
            priority: MAX_STARTS_BETWEEN - 1 - standings[priority].passed_over
            for priority in targets
        }
        others = sorted(slack[p] for p in targets if p != choice)
        if all(left > index for index, left in enumerate(others)):
            return choice
        return min(targets, key=lambda p: (slack[p], p))
