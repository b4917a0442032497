"""Messages between the watchers of one group."""

import msgspec


class GroupViewAsk(msgspec.Struct, frozen=True, kw_only=True):
    """Requests another watcher's view of a group.

    Attributes:
        group: The name of the group.
    """

    group: str


class GroupView(msgspec.Struct, frozen=True, kw_only=True):
    """A watcher's view of a group; the answer to ``GroupViewAsk``.

    Attributes:
        watcher: The name of the instance that the watcher runs on.
        term: The highest term that any member reported to the watcher.
        primary: The latest primary known to the watcher; empty if there is
            none, or if it is superseded or isolated.
        silence: The number of seconds since that primary last answered;
            infinite if ``primary`` is empty.
        can_act: Whether the watcher reaches a majority of the members and
            does not defer to another watcher.
    """

    watcher: str
    term: int
    primary: str
    silence: float
    can_act: bool
