"""Settings and fault injection of the database stand-in."""

from typing import Any

import msgspec
import trio

from lagoonstair._types import Address

ALL_PARTIES = "*"
"""The entry of ``Faults.cut`` that stands for all instances and members."""


class DatabaseConfig(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of one member of a group.

    Attributes:
        name: The member's name.
        primary: The name of the primary of term 1.
        members: The address of each member of the group, by name.
        host: The IP address to listen on.
        port: The TCP port to listen on; 0 takes a free one.
        slots: The maximum number of concurrent calls and open transactions.
        connections: The maximum number of open statement connections.
        connect_seconds: The delay before a new connection is usable, in
            seconds.
        service_seconds: How long each call holds its slot, in seconds.
        schema: The SQL script that creates the initial tables; the same on
            every member.
        record: Whether to record calls for ``/admin/received``.
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
    """The faults that are injected.

    Faults with a count apply to the next statement calls, not to the opening
    of connections or to control calls.

    Attributes:
        lag: Seconds between receiving a log entry and applying it; a
            negative value stops the replica from applying entries.
        frozen: Whether all calls are blocked, neither run nor answered.
        cut: Names of the instances and members that are partitioned from
            this member; ``*`` stands for all of them.
        slow: Seconds added to each statement call while it holds its slot.
        drop_before: The number of calls whose connection is closed before
            they run.
        drop_after: The number of calls that run, but whose connection is
            closed in place of an answer.
        hold_after: The number of calls that run, but whose answer is delayed
            until ``held`` is cleared.
        held: Whether delayed answers stay delayed.
        crossed: The number of calls that get the answer to the previous call.
        truncated: The number of answers that are cut off at half their
            length.
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
    """Keeps the injected faults and wakes tasks that wait for a change.

    Attributes:
        faults: The faults that are injected now.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self._changed = trio.Event()

    def change(self, changes: dict[str, Any]) -> Faults:
        """Sets the named faults and keeps the other ones as they are.

        Args:
            changes: The new values, by the names of ``Faults``' fields.

        Returns:
            All faults after the change.

        Raises:
            msgspec.ValidationError: A name is unknown or a value is invalid.
        """
        current = msgspec.to_builtins(self.faults)
        if unknown := changes.keys() - current.keys():
            raise msgspec.ValidationError(f"no such fault: {unknown}")
        self.faults = msgspec.convert(current | changes, Faults)
        self._changed.set()
        self._changed = trio.Event()
        return self.faults

    async def wait_changed(self) -> None:
        """Waits for the next change of the faults."""
        await self._changed.wait()

    def is_cut(self, name: str) -> bool:
        """Returns whether the named instance or member is partitioned away."""
        return name in self.faults.cut or ALL_PARTIES in self.faults.cut

    async def wait_reachable(self, name: str) -> None:
        """Waits until the member isn't frozen and can exchange traffic.

        Args:
            name: The instance or member on the other side.
        """
        while self.faults.frozen or self.is_cut(name):
            await self.wait_changed()

    async def wait_released(self) -> None:
        """Waits until delayed answers may be sent."""
        while self.faults.held:
            await self.wait_changed()

    def consume(self, fault: str) -> bool:
        """Decrements the count of a fault; returns false if it is zero.

        Args:
            fault: The name of a field of ``Faults`` that holds a count.
        """
        remaining = getattr(self.faults, fault)
        if remaining:
            self.faults = msgspec.structs.replace(
                self.faults, **{fault: remaining - 1}
            )
        return bool(remaining)
