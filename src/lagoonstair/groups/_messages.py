"""What watchers of one group say to each other."""

import msgspec


class GroupViewAsk(msgspec.Struct, frozen=True, kw_only=True):
    """Asks another watcher how it sees a group.

    Attributes:
        group: The group's name.
    """

    group: str


class GroupView(msgspec.Struct, frozen=True, kw_only=True):
    """How a watcher sees a group.

    Attributes:
        watcher: The watcher's instance.
        term: The greatest term that any member reported to it.
        primary: The latest primary it knows; empty when it knows none.
        silence: Seconds since it last heard that primary.
        can_act: Whether it reaches a majority and has not stepped aside.
    """

    watcher: str
    term: int
    primary: str
    silence: float
    can_act: bool
