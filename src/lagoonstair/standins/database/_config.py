"""Settings and fault controls of the stand-in."""

from typing import Any

import msgspec
import trio

from lagoonstair._types import Address

ALL_PARTIES = "*"
"""In ``Faults.cut``: everybody."""


class DatabaseConfig(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of one member of a group.

    Attributes:
        name: The member's name.
        primary: The name of the primary of term 1.
        members: The address of each member of the group.
        host: The IP number to listen on.
        port: The TCP port to listen on, 0 for any.
        slots: How many calls or transactions run at once.
        connections: How many connections for statements it accepts.
        connect_seconds: What a new connection costs.
        service_seconds: How long each call holds its slot.
        schema: SQL script that every member starts from.
        record: Whether to keep what is received for ``/admin/received``.
    """

    name: str
    primary: str
    members: dict[str, Address] = {}
    host: str = "127.0.0.1"
    port: int = 0
    slots: int = 5
    connections: int = 30
    connect_seconds: float = 0.010
    service_seconds: float = 0.0
    schema: str = ""
    record: bool = False


class Faults(msgspec.Struct, frozen=True, kw_only=True):
    """The faults that are in force.

    The counted faults apply to the next statement calls, not to the opening
    of connections or control calls.

    Attributes:
        lag: Seconds between receiving an entry and applying it; negative
            stops the replica from applying.
        frozen: Whether all calls wait, neither run nor answered.
        cut: Names of instances and members without traffic; ``*`` is all.
        slow: Seconds added to each statement call while it holds its slot.
        drop_before: How many calls are closed before they run.
        drop_after: How many calls are run and closed without their answer.
        hold_after: How many calls are run with the answer held back until
            ``held`` is cleared.
        held: Whether answers are held back.
        crossed: How many calls get the answer given to an earlier call.
        truncated: How many answers are cut in half.
    """

    lag: float = 0.0
    frozen: bool = False
    cut: frozenset[str] = frozenset()
    slow: float = 0.0
    drop_before: int = 0
    drop_after: int = 0
    hold_after: int = 0
    held: bool = True
    crossed: int = 0
    truncated: int = 0


class FaultControl:
    """Holds the faults and wakes what waits for them to change.

    Attributes:
        faults: The faults in force.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self._changed = trio.Event()

    def change(self, changes: dict[str, Any]) -> Faults:
        """Sets the named faults and leaves the others.

        Raises:
            msgspec.ValidationError: A name or a value is wrong.
        """
        now = msgspec.to_builtins(self.faults)
        if unknown := changes.keys() - now.keys():
            raise msgspec.ValidationError(f"no such fault: {unknown}")
        self.faults = msgspec.convert(now | changes, Faults)
        self._changed.set()
        self._changed = trio.Event()
        return self.faults

    async def wait_changed(self) -> None:
        """Waits for the next change."""
        await self._changed.wait()

    def is_cut(self, name: str) -> bool:
        """Whether there is no traffic with the named party."""
        return name in self.faults.cut or ALL_PARTIES in self.faults.cut

    async def wait_reachable(self, name: str) -> None:
        """Waits until the member runs and is not cut from the party."""
        while self.faults.frozen or self.is_cut(name):
            await self.wait_changed()

    async def wait_released(self) -> None:
        """Waits until held answers are released."""
        while self.faults.held:
            await self.wait_changed()

    def consume(self, fault: str) -> bool:
        """Uses one of a counted fault up; false when none is left."""
        left = getattr(self.faults, fault)
        if left:
            self.faults = msgspec.structs.replace(
                self.faults, **{fault: left - 1}
            )
        return bool(left)
