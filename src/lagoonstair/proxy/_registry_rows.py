"""Rows of the registry, the system's own store table."""

from collections.abc import Mapping
from typing import Annotated

import msgspec

from lagoonstair._types import Address
from lagoonstair.platform.decoding import UnreadableError, decode_json
from lagoonstair.platform.discovery import MAX_PORT, parse_host
from lagoonstair.primacy import Duty, GroupRecord
from lagoonstair.proxy._log import log_event

TABLE = "lagoonstair"
"""The store table of the registry."""

FOUNDING_KEY = "founding"
"""The key of the row written at the system's first start."""

SEATS_KEY = "seats"
"""The key of the row that each instance changes when it takes a seat."""

DUTY_KEY = "duty"
"""The key of the row with the holder of the promotion duty."""

MEMBER_PREFIX = "member/"
"""Prefix of the keys of registered instances; the instance's name follows."""

GROUP_PREFIX = "group/"
"""Prefix of the keys of group records; the group's name follows."""

ERA_PREFIX = "era/"
"""Prefix of the keys of history rows; the history's number follows."""

FLOOR_BITS = 20
"""Number of bits by which a history's number is shifted for its floor. Fewer
epochs and fencing tokens than this allows are given out in one history."""

VERSION_BITS = 40
"""Number of bits by which a history's number is shifted to compare versions of
several histories. The store's counter of transactions stays below it."""


class Founding(msgspec.Struct, frozen=True, kw_only=True):
    """The row written at the system's first start.

    Attributes:
        secret: The secret that authenticates instances to each other, in
            hexadecimal digits.
        at: When the row was written, in seconds on the store's clock.
    """

    secret: Annotated[str, msgspec.Meta(pattern=r"^([0-9a-f]{2})+\Z")]
    at: float


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A registered instance.

    Attributes:
        host: The IP address at which other instances call it.
        port: The port at which other instances call it.
        failure_domain: The failure domain in which it runs.
        since: When it registered, in seconds on the store's clock.
        capacity: Its processor time per second, in seconds of the reference
            processor.
        suspected: When it was last suspected to be gone, in seconds on the
            store's clock; 0 while it is not suspected.
        seated: When it took its place in the line of voters, in seconds on the
            store's clock; 0 if that was when it registered.
        stops: Whether its process is stopping and may resign.
        stood_down: Whether, while it stops, no proof counts it any more, so
            that any instance may give up its seat.
        resigned: Whether it has no place in the line of voters.
        can_resign: Whether its build knows resignations.
        gives_up: Whether its build gives up the seats of stopped instances.
    """

    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
    failure_domain: str
    since: float
    capacity: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    suspected: float = 0.0
    seated: float = 0.0
    stops: bool = False
    stood_down: bool = False
    resigned: bool = False
    can_resign: bool = False
    gives_up: bool = False

    def __post_init__(self) -> None:
        parse_host(self.host)

    @property
    def address(self) -> Address:
        """Address at which other instances call it."""
        return Address(self.host, self.port)

    @property
    def place(self) -> float:
        """Its place in the line of voters, in seconds on the store's clock."""
        return self.seated or self.since


class Seats(msgspec.Struct, frozen=True, kw_only=True):
    """The row that each instance changes when it takes a seat.

    Attributes:
        newest: The place in the line of voters given out last, in seconds on
            the store's clock.
    """

    newest: float


class Era(msgspec.Struct, frozen=True, kw_only=True):
    """The row that says that the registry is complete in a store history.

    A restore of the store from an older copy starts a new history without this
    row. The instance that writes it has put back what the copy lacks.

    Attributes:
        at: When the row was written, in seconds on the store's clock.
        floor: A number below the epochs and fencing tokens of this history and
            above those of all earlier ones; 0 in the first history.
    """

    at: float
    floor: int = 0


RowValue = Founding | Member | GroupRecord | Duty | Era | Seats

SINGLE_ROWS: dict[str, type[RowValue]] = {
    FOUNDING_KEY: Founding,
    DUTY_KEY: Duty,
    SEATS_KEY: Seats,
}
"""The types of the rows of which there is one."""

ROWS_BY_PREFIX: dict[str, type[RowValue]] = {
    MEMBER_PREFIX: Member,
    GROUP_PREFIX: GroupRecord,
    ERA_PREFIX: Era,
}
"""The types of the other rows, by the prefix of their keys."""


def line_of_voters(members: Mapping[str, Member]) -> list[str]:
    """Returns the instances that vote or will, in the order of their places."""
    return sorted(
        (name for name, member in members.items() if not member.resigned),
        key=lambda name: (members[name].place, name),
    )


def stood_down(members: Mapping[str, Member]) -> frozenset[str]:
    """Returns the instances whose seats any instance may give up."""
    return frozenset(
        name
        for name, member in members.items()
        if member.stops and member.stood_down and not member.resigned
    )


def all_can_resign(members: Mapping[str, Member]) -> bool:
    """Returns whether every instance registered with a build that can."""
    return all(member.can_resign for member in members.values())


def can_leave_seat(members: Mapping[str, Member], name: str) -> bool:
    """Returns whether all others have builds that give up its seat for it."""
    return all(
        member.gives_up for other, member in members.items() if other != name
    )


def era_key(era: int) -> str:
    """Returns the key of a history's row."""
    return f"{ERA_PREFIX}{era}"


def floor_of(era: int) -> int:
    """Returns the floor of a history that follows a restore."""
    return era << FLOOR_BITS


def decode_row(key: str, value: bytes | None) -> RowValue | None:
    """Decodes a row of the registry.

    Returns:
        The row; ``None`` if it was removed, is of an unknown kind, or cannot
        be read, which is logged.
    """
    kind = _kind_of(key)
    if value is None or kind is None:
        return None
    try:
        return decode_json(value, kind)
    except UnreadableError as exc:
        log_event("registry row unreadable", key=key, cause=str(exc))
        return None


def _kind_of(key: str) -> type[RowValue] | None:
    """Returns the type of a row by its key; ``None`` if it is unknown."""
    if key in SINGLE_ROWS:
        return SINGLE_ROWS[key]
    if key.startswith(ERA_PREFIX) and not _is_era_key(key):
        return None
    return next(
        (
            kind
            for prefix, kind in ROWS_BY_PREFIX.items()
            if key.startswith(prefix)
        ),
        None,
    )


def _is_era_key(key: str) -> bool:
    number = key.removeprefix(ERA_PREFIX)
    return number.isascii() and number.isdecimal()
