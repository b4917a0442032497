"""Lifecycle of the groups that this instance owns or is a standby for."""

from collections.abc import Callable

import trio

from lagoonstair.groups import GroupView, GroupViewAsk
from lagoonstair.peers import HandlerRegistry, PeerContext
from lagoonstair.ports import ListedGroup, Listing
from lagoonstair.service._group_runtime import GroupRuntime
from lagoonstair.service._refusals import unavailable_error

MakeGroup = Callable[[ListedGroup], GroupRuntime]


class GroupManager:
    """Starts and stops the runtimes of groups as their ownership changes."""

    def __init__(
        self,
        name: str,
        *,
        owners: Callable[[str], tuple[str, ...]],
        make_group: MakeGroup,
        registry: HandlerRegistry,
        nursery: trio.Nursery,
    ) -> None:
        """Initializes the manager.

        Args:
            name: The name of this instance.
            owners: Returns the owner of a group, followed by its standbys in
                order.
            make_group: Creates the runtime of a listed group.
            registry: Receives the handler for the view requests of other
                watchers.
            nursery: Runs the runtimes.
        """
        self._name = name
        self._owners = owners
        self._make_group = make_group
        self._nursery = nursery
        self._listing: Listing | None = None
        self._running: dict[str, GroupRuntime] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        registry.register(GroupViewAsk, self._on_view_request)

    @property
    def running(self) -> dict[str, GroupRuntime]:
        """The started runtimes by group name."""
        return self._running

    def apply(self, listing: Listing | None) -> None:
        """Starts and stops runtimes according to listing and ownership.

        Args:
            listing: A newer listing of the platform; ``None`` if only the
                ownership may have changed.
        """
        if listing is not None:
            self._listing = listing
        if self._listing is None:
            return
        listed = {group.name: group for group in self._listing.groups}
        for name, group in listed.items():
            if name in self._running:
                runtime = self._running[name]
                runtime.update_listing(self._listing.version, group)
            elif self._name in self._owners(name):
                self._start(group)
            self._set_watchers(name)
        for name in tuple(self._running):
            if name not in listed or self._may_stop(name):
                self._stop(name)

    async def get(self, name: str) -> GroupRuntime:
        """Returns the runtime of a group, and starts it if necessary.

        Raises:
            LagoonstairError: ``UNAVAILABLE``; the platform does not list the
                group.
        """
        runtime = self._running.get(name)
        if runtime is not None:
            return runtime
        groups = () if self._listing is None else self._listing.groups
        for group in groups:
            if group.name == name:
                return self._start(group)
        raise unavailable_error(f"group {name} is not listed")

    def withdraw(self, key_id: str) -> None:
        """Rejects queued requests and ends transactions of a withdrawn key."""
        for runtime in self._running.values():
            runtime.withdraw(key_id)

    def _start(self, group: ListedGroup) -> GroupRuntime:
        runtime = self._make_group(group)
        self._running[group.name] = runtime
        self._set_watchers(group.name)
        scope = trio.CancelScope()
        self._scopes[group.name] = scope
        self._nursery.start_soon(_run_scoped, runtime, scope)
        return runtime

    def _stop(self, name: str) -> None:
        del self._running[name]
        self._scopes.pop(name).cancel()

    def _may_stop(self, name: str) -> bool:
        """Returns whether a group is owned elsewhere and idle here."""
        owned = self._name in self._owners(name)
        return not owned and self._running[name].idle

    def _set_watchers(self, name: str) -> None:
        runtime = self._running.get(name)
        if runtime is not None:
            runtime.watch.set_watchers(self._owners(name))

    async def _on_view_request(
        self, message: GroupViewAsk, ctx: PeerContext
    ) -> GroupView:
        runtime = self._running.get(message.group)
        if runtime is None:
            raise unavailable_error(
                f"group {message.group} is not watched here"
            )
        return runtime.watch.view()


async def _run_scoped(runtime: GroupRuntime, scope: trio.CancelScope) -> None:
    with scope:
        await runtime.run()
