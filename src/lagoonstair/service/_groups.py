"""The groups that this instance owns or stands by for."""

from collections.abc import Callable

import trio

from lagoonstair.groups import GroupView, GroupViewAsk
from lagoonstair.peers import HandlerRegistry, PeerContext
from lagoonstair.ports import ListedGroup, Listing
from lagoonstair.service._group_runtime import GroupRuntime
from lagoonstair.service._refusals import unavailable_error

MakeGroup = Callable[[ListedGroup], GroupRuntime]


class GroupManager:
    """Starts and stops the runtimes of groups as duties move."""

    def __init__(
        self,
        name: str,
        *,
        owners: Callable[[str], tuple[str, ...]],
        make_group: MakeGroup,
        registry: HandlerRegistry,
        nursery: trio.Nursery,
    ) -> None:
        """Sets the collaborators.

        Args:
            name: This instance's name.
            owners: The owner of a group and its standbys, in order.
            make_group: Makes the runtime of a listed group.
            registry: Gets the handler for other watchers' questions.
            nursery: Runs the runtimes.
        """
        self._name = name
        self._owners = owners
        self._make_group = make_group
        self._nursery = nursery
        self._listing: Listing | None = None
        self._running: dict[str, GroupRuntime] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        registry.register(GroupViewAsk, self._answer)

    @property
    def running(self) -> dict[str, GroupRuntime]:
        """The runtimes by group name."""
        return self._running

    def apply(self, listing: Listing | None) -> None:
        """Takes a list, or with None looks at the duties again."""
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
            if name not in listed or self._is_given_up(name):
                self._stop(name)

    async def get(self, name: str) -> GroupRuntime:
        """The runtime of a group, started if it isn't running.

        Raises:
            LagoonstairError: The platform lists no such group.
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
        """Refuses queued requests of a withdrawn key."""
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

    def _is_given_up(self, name: str) -> bool:
        """Whether others own a group now, and nothing is left to do here."""
        owned = self._name in self._owners(name)
        return not owned and self._running[name].idle

    def _set_watchers(self, name: str) -> None:
        runtime = self._running.get(name)
        if runtime is not None:
            runtime.watch.set_watchers(self._owners(name))

    async def _answer(
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
