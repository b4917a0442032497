"""Which homes to try for sessions that need a group's primary, without I/O."""

import itertools
import math
from collections.abc import Iterable, Sequence

UNREACHED_SECONDS = 0.5
"""Time in seconds after which a home that can't reach a group's primary refuses
sessions that need it. A primary that fails is replaced some 0.8 s later."""

MAX_HOMES = 8
"""Greatest number of homes that are asked to open a session. An answer takes
some milliseconds, and a caller gives up after 2 s."""

SKIP_SECONDS = 1.0
"""Time in seconds for which a home that refused so is skipped for a group."""

OUT_OF_REACH_MESSAGE = "the primary is out of reach of this home"


def is_out_of_reach(unreachable_seconds: float, promoting: str) -> bool:
    """Returns whether sessions that need the primary should go elsewhere.

    Args:
        unreachable_seconds: For how long the recorded primary has been
            unreachable, in seconds; not positive if it is reachable.
        promoting: The instance that promotes another endpoint; empty without
            a promotion.
    """
    return not promoting and unreachable_seconds > UNREACHED_SECONDS


class RefusingHomes:
    """The homes that lately refused sessions of a group.

    A refusal counts only as long as the group's record is the same: a home
    may reach the next primary.
    """

    def __init__(self) -> None:
        self._until: dict[tuple[str, str], tuple[float, object]] = {}

    def note(self, now: float, home: str, group: str, record: object) -> bool:
        """Records a refusal.

        Args:
            now: The time, in seconds.
            home: The home.
            group: The group whose primary it can't reach.
            record: The group's record as known here.

        Returns:
            Whether the home was not yet skipped for the group.
        """
        is_new = not self._is_skipped(now, home, group, record)
        self._until[home, group] = now + SKIP_SECONDS, record
        return is_new

    def order(
        self,
        now: float,
        group: str,
        record: object,
        *,
        candidates: Sequence[str],
        homes: Iterable[str],
    ) -> tuple[str, ...]:
        """Returns the homes to ask, in order.

        Args:
            now: The time, in seconds.
            group: The group.
            record: The group's record as known here.
            candidates: The candidate homes of the workspace, in order.
            homes: All homes.

        Returns:
            The candidates, then the other homes, without those that refused
            lately.
        """
        others = sorted(set(homes) - set(candidates))
        asked = (
            name
            for name in (*candidates, *others)
            if not self._is_skipped(now, name, group, record)
        )
        return tuple(itertools.islice(asked, MAX_HOMES))

    def _is_skipped(
        self, now: float, home: str, group: str, record: object
    ) -> bool:
        until, noted = self._until.get((home, group), (-math.inf, None))
        return until > now and noted == record
