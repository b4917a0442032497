"""Administrative commands and status queries to endpoints."""

import contextlib
import functools
from collections.abc import Callable, Iterable, Mapping

import trio

from lagoonstair.platform import lines
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._link import LinkError
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._pool import EndpointPool
from lagoonstair.statements import Success

CATCH_UP_SECONDS = 1.0
"""Time (s) within which a replica should receive the rest of a leaving
primary's log."""

COMMAND_TIMEOUT_SECONDS = 0.5
"""Timeout (s) of a command, which may have to wait for a slot of the
endpoint."""

POLL_SECONDS = 0.04
"""Interval (s) between status queries to an endpoint that is catching up."""


class EndpointCommands:
    """Sends commands to endpoints on connections opened for that purpose."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    async def statuses(
        self,
        candidates: list[EndpointPool],
        *,
        old: EndpointPool | None,
    ) -> dict[str, lines.EndpointStatus]:
        """Returns the candidates' statuses after letting them catch up.

        The wait ends once a candidate has the previous primary's whole log, or
        after ``CATCH_UP_SECONDS``.

        Args:
            candidates: The endpoints that may be promoted.
            old: The previous primary, if it may still answer.

        Returns:
            The status by endpoint name, for each candidate that answered.
        """
        deadline = trio.current_time() + CATCH_UP_SECONDS
        old_status = None if old is None else await self.status(old)
        required = None if old_status is None else old_status.received
        while True:
            statuses = await self._collect_statuses(candidates)
            best = max((s.received for s in statuses.values()), default=None)
            if required is None or (best is not None and best >= required):
                return statuses
            if trio.current_time() > deadline:
                return statuses
            await trio.sleep(POLL_SECONDS)

    async def _collect_statuses(
        self, pools: Iterable[EndpointPool]
    ) -> dict[str, lines.EndpointStatus]:
        """Returns the status of each endpoint that answers, by name."""
        statuses: dict[str, lines.EndpointStatus] = {}

        async def collect(pool: EndpointPool) -> None:
            status = await self.status(pool)
            if status is not None:
                statuses[pool.endpoint.name] = status

        async with trio.open_nursery() as nursery:
            for pool in pools:
                nursery.start_soon(collect, pool)
        return statuses

    async def led_terms(self, names: Iterable[str]) -> dict[str, int]:
        """Returns the term of each endpoint that regards itself as primary.

        Args:
            names: The names of the endpoints to ask.
        """
        pools = [self._fleet.pools.get(name) for name in names]
        statuses = await self._collect_statuses(filter(None, pools))
        return led_terms(statuses)

    async def demote(self, old: str, target: str, term: int) -> None:
        """Turns the previous primary into a replica if it is reachable.

        Args:
            old: The name of the previous primary.
            target: The name of the new primary.
            term: The term of the new primary.
        """
        pool = self._fleet.pools.get(old)
        if pool is None or old == target or pool.unreachable_since is not None:
            return
        await self._command(pool, lines.demote_text(term))

    async def status(self, pool: EndpointPool) -> lines.EndpointStatus | None:
        """Returns an endpoint's status, or ``None`` if it does not answer."""
        rows = await self._command(pool, lines.STATUS)
        return None if rows is None else _parse_status(pool, rows)

    async def follow_statuses(
        self,
        pools: Iterable[EndpointPool],
        is_enough: Callable[[dict[str, lines.EndpointStatus]], bool],
        seconds: float,
    ) -> dict[str, lines.EndpointStatus]:
        """Asks endpoints for their statuses until the answers are enough.

        Args:
            pools: The endpoints.
            is_enough: Told the newest status of each endpoint that has
                answered, by name, after each answer.
            seconds: Time limit.

        Returns:
            These statuses.
        """
        statuses: dict[str, lines.EndpointStatus] = {}

        def note(name: str, status: lines.EndpointStatus) -> None:
            statuses[name] = status
            if is_enough(statuses):
                nursery.cancel_scope.cancel()

        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for pool in pools:
                    nursery.start_soon(self._follow_contained, pool, note)
        return statuses

    async def _follow_contained(
        self,
        pool: EndpointPool,
        note: Callable[[str, lines.EndpointStatus], None],
    ) -> None:
        name = pool.endpoint.name
        with self._fleet.supervisor.contain("status", endpoint=name):
            await self._follow_status(pool, functools.partial(note, name))

    async def _follow_status(
        self, pool: EndpointPool, note: Callable[[lines.EndpointStatus], None]
    ) -> None:
        """Asks an endpoint for its status again and again until cancelled.

        An endpoint that refuses or fails is asked again after a short pause:
        one that reads keep busy may have no slot for seconds. The connection is
        new, so that a copy of an earlier status is not older than the survey.

        Args:
            pool: The endpoint.
            note: Called with each status.
        """
        while True:
            with contextlib.suppress(LinkError):
                link = await pool.open_link(self.any_workspace())
                try:
                    while link.is_in_step:
                        reply = await link.run_internal(lines.STATUS)
                        pool.record_reachable()
                        if isinstance(reply.result, Success):
                            status = _parse_status(pool, reply.result.rows)
                            if status is not None:
                                note(status)
                        await trio.sleep(POLL_SECONDS)
                finally:
                    link.close()
            await trio.sleep(POLL_SECONDS)

    async def _command(
        self, pool: EndpointPool, text: str
    ) -> tuple[bytes, ...] | None:
        """Runs a command on a new connection.

        Returns:
            The answer's rows, or ``None`` if the command failed.
        """
        started_at = trio.current_time()
        with trio.move_on_after(COMMAND_TIMEOUT_SECONDS):
            link = None
            try:
                link = await pool.open_link(self.any_workspace())
                reply = await link.run_internal(text)
                pool.record_reachable()
                if isinstance(reply.result, Success):
                    return reply.result.rows
                return None
            except LinkError as exc:
                if exc.refusal is None:
                    pool.record_link_error(started_at, exc)
                return None
            finally:
                if link is not None:
                    link.close()
        pool.record_failure(started_at)
        return None

    def any_workspace(self) -> str:
        """Returns a workspace for the instance's own connections.

        Endpoints require a workspace. Without a configured one, this is the
        instance's name.
        """
        config = self._fleet.config
        names = () if config is None else config.workspaces
        return next(iter(names), self._fleet.name)


def led_terms(statuses: Mapping[str, lines.EndpointStatus]) -> dict[str, int]:
    """Returns the term of each endpoint that regards itself as primary."""
    return {
        name: status.term
        for name, status in statuses.items()
        if status.is_primary
    }


def _parse_status(
    pool: EndpointPool, rows: tuple[bytes, ...]
) -> lines.EndpointStatus | None:
    """Parses a status; ``None`` if it cannot be read, which is logged."""
    try:
        return lines.parse_status(rows)
    except lines.BadLineError as exc:
        log_event(
            "status unreadable", endpoint=pool.endpoint.name, cause=str(exc)
        )
        return None
