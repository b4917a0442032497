"""What an instance orders databases to do, and asks them."""

import trio

from lagoonstair._types import Position
from lagoonstair.platform import lines
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._link import Link, LinkError
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._pool import EndpointPool
from lagoonstair.statements import Success

CATCH_UP_SECONDS = 1.0
"""How long a replica may take to receive what a leaving primary has."""

STATUS_SECONDS = 0.5
"""How long a status may take; it waits for a slot."""

LEAD_SECONDS = 3.0
"""How long the promoted endpoint may take to lead; 0.6 to 1 s is usual."""

POLL_SECONDS = 0.04
"""Between two looks at an endpoint that is about to lead."""


class EndpointCommands:
    """Talks to databases on connections of its own."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    async def positions(
        self,
        group: str,
        candidates: list[EndpointPool],
        *,
        old: EndpointPool | None,
    ) -> dict[str, Position]:
        """The ends of the candidates' logs, once they have what they can.

        Args:
            group: The group.
            candidates: The endpoints that may take over.
            old: The primary of before, if it still answers.
        """
        until = trio.current_time() + CATCH_UP_SECONDS
        status = None if old is None else await self._status(old)
        wanted = None if status is None else status.received
        config = self._fleet.config
        settings = None if config is None else config.groups.get(group)
        if settings is not None and settings.synchronous_replicas:
            await self._suspend(candidates)
        while True:
            received: dict[str, Position] = {}
            async with trio.open_nursery() as nursery:
                for pool in candidates:
                    nursery.start_soon(self._add_position, pool, received)
            best = max(received.values(), default=None)
            if wanted is None or (best is not None and best >= wanted):
                return received
            if trio.current_time() > until:
                return received
            await trio.sleep(POLL_SECONDS)

    async def _add_position(
        self, pool: EndpointPool, received: dict[str, Position]
    ) -> None:
        status = await self._status(pool)
        if status is not None:
            received[pool.endpoint.name] = status.received

    async def _suspend(self, candidates: list[EndpointPool]) -> None:
        """Keeps replicas from receiving until one of them leads.

        The old primary, if it lives, can then acknowledge nothing that the
        new one lacks.
        """
        statuses = [await self._status(pool) for pool in candidates]
        term = max((s.term for s in statuses if s is not None), default=0) + 1
        for pool in candidates:
            await self._command(pool, lines.suspend_text(term))

    async def wait_until_primary(self, target: str) -> int | None:
        """Waits until an endpoint leads; returns its term, if it does."""
        until = trio.current_time() + LEAD_SECONDS
        while trio.current_time() < until:
            pool = self._fleet.pools.get(target)
            if pool is None:
                return None
            status = await self._status(pool)
            if status is not None and status.is_primary:
                return status.term
            await trio.sleep(POLL_SECONDS)
        log_event("promotion without effect", target=target)
        return None

    async def demote(self, old: str, target: str, term: int) -> None:
        """Has the primary of before follow the new one, if it answers."""
        pool = self._fleet.pools.get(old)
        if pool is None or old == target or pool.unreachable_since is not None:
            return
        await self._command(pool, lines.demote_text(term))

    async def _status(self, pool: EndpointPool) -> lines.EndpointStatus | None:
        rows = await self._command(pool, lines.STATUS)
        if rows is None:
            return None
        try:
            return lines.parse_status(rows)
        except lines.BadLineError as exc:
            log_event(
                "status unreadable", endpoint=pool.endpoint.name, cause=str(exc)
            )
            return None

    async def _command(
        self, pool: EndpointPool, text: str
    ) -> tuple[bytes, ...] | None:
        """Runs a command on a connection of its own."""
        began = trio.current_time()
        with trio.move_on_after(STATUS_SECONDS):
            link = None
            try:
                link = await Link.open(pool.endpoint, self.any_workspace())
                reply = await link.run_internal(text)
                pool.record_reachable()
                if isinstance(reply.result, Success):
                    return reply.result.rows
                return None
            except LinkError as exc:
                if exc.refusal is None:
                    pool.record_failure(began)
                return None
            finally:
                if link is not None:
                    link.close()
        pool.record_failure(began)
        return None

    def any_workspace(self) -> str:
        """In whose name the instance itself connects: endpoints ask for one."""
        config = self._fleet.config
        names = () if config is None else config.workspaces
        return next(iter(names), self._fleet.name)
