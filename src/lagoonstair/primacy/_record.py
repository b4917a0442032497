"""What the store keeps of a group, and what instances tell each other."""

import msgspec


class GroupRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The primary of a group, as the store keeps it.

    Attributes:
        epoch: Grows with every change of this record.
        primary: The primary; while a promotion runs, the one of before.
        term: The term that it leads, as far as it was seen.
        promoting: The instance that runs a promotion; empty without one.
    """

    epoch: int
    primary: str
    term: int = 0
    promoting: str = ""


class Duty(msgspec.Struct, frozen=True, kw_only=True):
    """Who may promote, and with which fencing token."""

    holder: str
    fence: int


class GroupReport(msgspec.Struct, frozen=True, array_like=True):
    """What one instance says to another of one group.

    Attributes:
        group: The group.
        epoch: The newest epoch that it knows of; higher than the store's
            while it is about to begin a promotion.
        released: The epoch up to which it uses no earlier primary any more.
        term: The term of the primary's last position.
        offset: The offset of that position; -1 when it knows none.
        position_age: Seconds since the statement was sent which the primary
            answered with that position.
        failing: Seconds for which it has been unable to reach the primary;
            0 when it reaches it; -1 when it has not tried of late.
    """

    group: str
    epoch: int
    released_epoch: int
    term: int
    offset: int
    position_age: float
    unreachable_for: float
