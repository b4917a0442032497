"""The log positions that a session has observed in each group."""

import msgspec

from lagoonstair._types import EMPTY_LOG_POSITION, Position


class GroupMark(msgspec.Struct, frozen=True, array_like=True):
    """The log positions that a session has observed in one group.

    Attributes:
        write: The position of its last confirmed write.
        read: The position of its last read.
    """

    write: Position = EMPTY_LOG_POSITION
    read: Position = EMPTY_LOG_POSITION

    @property
    def min_read_position(self) -> Position:
        """The minimum position that the session's next read must cover."""
        return max(self.write, self.read)


class SessionState(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a session, which the caller carries in its token.

    Attributes:
        workspace: The workspace that the session belongs to.
        marks: The observed positions, by group.
    """

    workspace: str
    marks: dict[str, GroupMark] = {}

    def mark(self, group: str) -> GroupMark:
        """Returns the positions that the session has observed in a group."""
        return self.marks.get(group, GroupMark())

    def with_mark(self, group: str, mark: GroupMark) -> "SessionState":
        """Returns a copy with other positions for one group."""
        return SessionState(
            workspace=self.workspace, marks={**self.marks, group: mark}
        )
