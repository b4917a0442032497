"""What a session has seen of each group."""

import msgspec

from lagoonstair._types import EMPTY_LOG_POSITION, Position


class GroupMark(msgspec.Struct, frozen=True, array_like=True):
    """What a session has seen of one group.

    Attributes:
        write: The position of its last confirmed write.
        read: The position of its last read.
    """

    write: Position = EMPTY_LOG_POSITION
    read: Position = EMPTY_LOG_POSITION

    @property
    def min_read_position(self) -> Position:
        """The position that the session's next read must cover."""
        return max(self.write, self.read)


class SessionState(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a session, which travels with the caller.

    Attributes:
        workspace: The workspace that the session belongs to.
        marks: What it has seen, by group.
    """

    workspace: str
    marks: dict[str, GroupMark] = {}

    def mark(self, group: str) -> GroupMark:
        """What the session has seen of a group."""
        return self.marks.get(group, GroupMark())

    def with_mark(self, group: str, mark: GroupMark) -> "SessionState":
        """Replaces what the session has seen of a group."""
        return SessionState(
            workspace=self.workspace, marks={**self.marks, group: mark}
        )
