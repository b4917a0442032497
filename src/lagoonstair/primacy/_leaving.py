"""For how long primaries have been about to shut down, without any I/O."""


class LeavingSince:
    """Tracks since when each group's primary has announced its shutdown."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    def note(self, group: str, now: float, *, is_leaving: bool) -> None:
        """Notes whether a group's primary is about to shut down.

        Called regularly, also while nothing can be promoted: the primary
        leaves in any case.

        Args:
            group: The name of the group.
            now: The current time, in seconds.
            is_leaving: Whether the primary has announced its shutdown.
        """
        if is_leaving:
            self._since.setdefault(group, now)
        else:
            self._since.pop(group, None)

    def seconds(self, group: str, now: float) -> float:
        """Returns how long ago, in seconds, the announcement was noted.

        Args:
            group: The name of the group.
            now: The current time, in seconds.

        Returns:
            The time in seconds; 0 if there is none.
        """
        return now - self._since.get(group, now)
