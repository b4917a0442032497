"""Runs statements: chooses the endpoint, retries, tells what is known."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

from lagoonstair._types import Position
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.platform import lines
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._link import Link, LinkError
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._pool import EndpointPool, NoLinkError
from lagoonstair.routing import Consistency, Route, order_for_read
from lagoonstair.statements import (
    NOT_RUN,
    Code,
    Done,
    Failure,
    Result,
    Run,
    Sent,
    Session,
    State,
    Work,
    outcome_of,
)

MAX_ATTEMPTS = 4
"""Endpoints that one statement is tried at: each of a group, and one again."""

STALENESS_MARGIN_SECONDS = 0.05
"""By how much fresher a read is than its route asks; clocks run alike."""

HEDGE_FACTOR = 8.0
"""A read is tried elsewhere after this many times its usual duration."""

HEDGE_SECONDS = 0.3
"""But not before: the longest statements take some 0.2 s."""

PRIMARY_WAIT_SECONDS = 0.02
"""Least time left for a statement once a primary is found."""

NO_PRIMARY = "no primary can be used"


@dataclass(slots=True, kw_only=True)
class Caller:
    """On whose behalf statements run.

    Attributes:
        workspace: The caller's workspace.
        session: Its session's values and prepared statements.
        written: The position of its last commit, and the group it went to.
    """

    workspace: str
    session: Session
    written: tuple[str, Position] | None = None


@dataclass(slots=True, kw_only=True)
class Transaction:
    """An open transaction; without a link until its first statement.

    Attributes:
        route: Where it goes.
        read_only: Whether a replica may run it.
        began: When it began, in seconds.
        link: The connection that it is pinned to.
        pool: The endpoint of the connection.
        epoch: The epoch of the primary that it runs on; 0 on a replica.
        wrote: Whether a write succeeded.
    """

    route: Route
    read_only: bool
    began: float
    link: Link | None = None
    pool: EndpointPool | None = None
    epoch: int = 0
    wrote: bool = False


@dataclass(frozen=True, slots=True)
class _Target:
    pool: EndpointPool
    after: Position | None
    is_primary: bool


class Executor:
    """Runs the statements of all callers of one instance."""

    def __init__(self, fleet: Fleet, metrics: Metrics) -> None:
        self._fleet = fleet
        self._metrics = metrics
        self._transactions: set[int] = set()
        self._open: dict[int, Transaction] = {}

    async def run_alone(
        self, caller: Caller, route: Route, run: Run, request_id: str
    ) -> Result:
        """Runs a statement outside a transaction."""
        work = Work.WRITE if run.writes else Work.READ
        arrived = trio.current_time()
        deadline = arrived + route.timeout
        tried: set[str] = set()
        failure = Failure(Code.BUSY, NO_PRIMARY)
        sent = Sent.NO
        for _ in range(MAX_ATTEMPTS):
            target = await self._choose(
                caller, route, run.writes, arrived, deadline, tried
            )
            if isinstance(target, Failure):
                failure = target if sent is Sent.NO else failure
                break
            tried.add(target.pool.endpoint.name)
            last = not self._has_other(route, run.writes, tried)
            until = deadline if last else self._hedge(target.pool, deadline)
            sent, result = await self._attempt(
                caller, route, run, request_id, target, until, deadline
            )
            if isinstance(result, Done):
                return result
            failure = result
            self._metrics.count("attempts_failed", code=failure.code.value)
            if sent is Sent.UNANSWERED and run.writes:
                break
            ran = sent is Sent.ANSWERED and failure.code not in NOT_RUN
            if ran and (run.writes or failure.code is not Code.FAILED):
                break
            if run.writes or route.consistency is Consistency.PRIMARY:
                # There is one endpoint for it; a new primary may be another.
                tried.clear()
                await trio.sleep(0.01)
            if trio.current_time() >= deadline - PRIMARY_WAIT_SECONDS:
                break
        return outcome_of(work, sent, failure)

    async def run_inside(
        self,
        caller: Caller,
        tx: Transaction,
        run: Run,
        request_id: str,
    ) -> Result:
        """Runs a statement of a transaction; a failure has rolled it back."""
        deadline = trio.current_time() + tx.route.timeout
        if tx.link is None:
            failure = await self._pin(caller, tx, deadline)
            if failure is not None:
                return failure
        assert tx.link is not None
        if not self._may_go_on(tx):
            self.abandon(tx)
            return Failure(Code.ABORTED, "the primary is being replaced")
        sent = Sent.NO
        failure = Failure(Code.ABORTED, "no slot was free in time")
        try:
            with trio.move_on_at(deadline):
                name = await tx.link.match_session(
                    caller.session.values, run.shape
                )
                sent = Sent.UNANSWERED
                failure = Failure(Code.ABORTED, "no answer in time")
                text = _text(run, name)
                result = await self._exchange(
                    caller, tx, request_id, text, deadline
                )
                if isinstance(result, Done):
                    tx.wrote |= run.writes
                    return result
                sent = Sent.ANSWERED
                failure = result
        except LinkError as exc:
            failure = Failure(Code.ABORTED, str(exc))
        except LagoonstairError as exc:
            sent = Sent.NO
            failure = Failure(Code.BUSY, exc.message)
        self.abandon(tx)
        return outcome_of(Work.IN_TRANSACTION, sent, failure)

    async def commit(
        self, caller: Caller, tx: Transaction, request_id: str
    ) -> Result:
        """Commits a transaction and lets its connection go."""
        deadline = trio.current_time() + tx.route.timeout
        if tx.link is None:
            failure = await self._pin(caller, tx, deadline)
            if failure is not None:
                return failure
        if not self._may_go_on(tx):
            self.abandon(tx)
            return Failure(Code.ABORTED, "the primary is being replaced")
        sent = Sent.UNANSWERED
        failure = Failure(Code.IN_DOUBT, "no answer in time")
        work = Work.COMMIT if tx.wrote else Work.READ
        try:
            with trio.move_on_at(deadline):
                result = await self._exchange(
                    caller, tx, request_id, "COMMIT", deadline
                )
                if isinstance(result, Done):
                    self._close(tx)
                    return result
                sent = Sent.ANSWERED
                failure = result
        except LinkError as exc:
            failure = Failure(Code.IN_DOUBT, str(exc))
        except LagoonstairError as exc:
            sent = Sent.NO
            failure = Failure(Code.ABORTED, exc.message)
        self.abandon(tx)
        return outcome_of(work, sent, failure)

    async def roll_back(self, tx: Transaction) -> None:
        """Rolls a transaction back and lets its connection go."""
        link = tx.link
        if link is not None and link.usable and link.state is not State.IDLE:
            with trio.move_on_after(tx.route.timeout):
                try:
                    await link.command(lines.ROLLBACK)
                except LinkError:
                    # Closing the connection rolls back as well.
                    link.close()
        self._close(tx)

    def abandon(self, tx: Transaction) -> None:
        """Closes a transaction's connection, which rolls it back."""
        if tx.link is not None:
            tx.link.close()
        self._close(tx)

    def cut_group(self, group: str) -> None:
        """Abandons all that runs on the primary of a group."""
        for tx in [*self._open.values()]:
            if tx.route.group == group and tx.epoch:
                self.abandon(tx)
        record = self._fleet.primacy.records.get(group)
        pool = None if record is None else self._fleet.pools.get(record.primary)
        if pool is not None:
            pool.cut()

    async def _choose(
        self,
        caller: Caller,
        route: Route,
        writes: bool,
        arrived: float,
        deadline: float,
        tried: set[str],
    ) -> _Target | Failure:
        if writes or route.consistency is Consistency.PRIMARY:
            return await self._wait_primary(route, deadline)
        target = self._choose_for_read(caller, route, arrived, tried)
        if target is not None:
            return target
        if tried:
            return Failure(Code.BUSY, "no endpoint can serve the read")
        return await self._wait_primary(route, deadline)

    def _choose_for_read(
        self, caller: Caller, route: Route, arrived: float, tried: set[str]
    ) -> _Target | None:
        fleet = self._fleet
        primary = fleet.primacy.primary(route.group, trio.current_time())
        candidates = order_for_read(
            fleet.loads(route.group, caller.workspace, except_for=tried),
            now=trio.current_time(),
            primary=primary,
            after=self._needed(caller, route, arrived),
            failure_domain=fleet.failure_domain,
        )
        if not candidates:
            return None
        best = candidates[0]
        pool = fleet.pools[best.endpoint.name]
        return _Target(pool, best.after, best.endpoint.name == primary)

    def _needed(
        self, caller: Caller, route: Route, arrived: float
    ) -> Position | None:
        """The position that a replica's log must hold for a read."""
        since = arrived - route.max_staleness + STALENESS_MARGIN_SECONDS
        position = self._fleet.covering(route.group, since)
        if position is None or route.consistency is Consistency.BOUNDED:
            return position
        if caller.written is not None and caller.written[0] == route.group:
            return max(position, caller.written[1])
        return position

    async def _wait_primary(
        self, route: Route, deadline: float
    ) -> _Target | Failure:
        fleet = self._fleet
        while True:
            pool = fleet.primary(route.group)
            if pool is not None and pool.failing(trio.current_time()) <= 0:
                return _Target(pool, None, True)
            left = deadline - trio.current_time() - PRIMARY_WAIT_SECONDS
            due = fleet.recovery_in(route.group)
            if due > left:
                later = int(max(due, 0.1) * 1000)
                message = f"{NO_PRIMARY}; retry_after_ms={later}"
                return Failure(Code.BUSY, message)
            await fleet.wait_change(min(left, 0.1))

    async def _attempt(
        self,
        caller: Caller,
        route: Route,
        run: Run,
        request_id: str,
        target: _Target,
        until: float,
        deadline: float,
    ) -> tuple[Sent, Result]:
        pool = target.pool
        try:
            link = await pool.take(
                caller.workspace, deadline=until, priority=route.priority
            )
        except NoLinkError as exc:
            return Sent.NO, exc.failure
        sent = Sent.NO
        failure = Failure(Code.BUSY, "no slot was free in time")
        began = trio.current_time()
        try:
            with self._use(route.group, target.is_primary):
                with trio.move_on_at(until):
                    async with pool.statement(caller.workspace, until):
                        name = await link.match_session(
                            caller.session.values, run.shape
                        )
                        if target.is_primary and not self._is_primary(pool):
                            return Sent.NO, Failure(Code.BUSY, NO_PRIMARY)
                        text = lines.after(target.after, _text(run, name))
                        began = trio.current_time()
                        sent = Sent.UNANSWERED
                        failure = Failure(Code.TIMEOUT, "no answer in time")
                        reply = await link.run(request_id, text)
                        self._note(caller, route, pool, link, began, run.writes)
                        if isinstance(reply.result, Failure):
                            self._note_refusal(pool, reply.result)
                        return Sent.ANSWERED, reply.result
        except LinkError as exc:
            pool.note_failure(began)
            failure = Failure(Code.BUSY, str(exc))
        except LagoonstairError as exc:
            failure = Failure(Code.BUSY, exc.message)
        finally:
            if link.usable and link.state is State.IDLE:
                pool.give_back(link)
            else:
                pool.discard(link)
        if sent is Sent.UNANSWERED:
            pool.note_failure(began)
            log_event(
                "statement unanswered",
                request=request_id,
                group=route.group,
                endpoint=pool.endpoint.name,
                waited=round(trio.current_time() - began, 3),
                cause=failure.message,
            )
        return sent, failure

    async def _pin(
        self, caller: Caller, tx: Transaction, deadline: float
    ) -> Failure | None:
        """Opens the transaction at an endpoint."""
        failure = Failure(Code.BUSY, NO_PRIMARY)
        tried: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            target = await self._choose(
                caller,
                tx.route,
                not tx.read_only,
                tx.began,
                deadline,
                tried,
            )
            if isinstance(target, Failure):
                return target
            tried.add(target.pool.endpoint.name)
            refusal = await self._pin_to(caller, tx, target, deadline)
            if refusal is None:
                return None
            failure = refusal
            if trio.current_time() >= deadline - PRIMARY_WAIT_SECONDS:
                break
            if target.is_primary:
                tried.clear()
                await trio.sleep(0.01)
        if failure.code in NOT_RUN:
            return failure
        return Failure(Code.ABORTED, failure.message)

    async def _pin_to(
        self,
        caller: Caller,
        tx: Transaction,
        target: _Target,
        deadline: float,
    ) -> Failure | None:
        pool = target.pool
        route = tx.route
        try:
            link = await pool.take(
                caller.workspace, deadline=deadline, priority=route.priority
            )
        except NoLinkError as exc:
            return exc.failure
        began = trio.current_time()
        failure = Failure(Code.BUSY, "no answer in time")
        try:
            with trio.move_on_at(deadline):
                if target.is_primary and not self._is_primary(pool):
                    pool.give_back(link)
                    return Failure(Code.BUSY, NO_PRIMARY)
                begin = lines.begin_text(read_only=tx.read_only)
                reply = await link.command(lines.after(target.after, begin))
                if isinstance(reply.result, Done):
                    tx.link = link
                    tx.pool = pool
                    if target.is_primary:
                        tx.epoch = self._fleet.primacy.epoch(route.group)
                        self._enter(route.group)
                    self._open[id(tx)] = tx
                    return None
                self._note_refusal(pool, reply.result)
                failure = reply.result
        except LinkError as exc:
            pool.note_failure(began)
            failure = Failure(Code.BUSY, str(exc))
        if link.usable and link.state is State.IDLE:
            pool.give_back(link)
        else:
            pool.discard(link)
        return failure

    async def _exchange(
        self,
        caller: Caller,
        tx: Transaction,
        request_id: str,
        text: str,
        deadline: float,
    ) -> Result:
        assert tx.link is not None
        assert tx.pool is not None
        async with tx.pool.statement(caller.workspace, deadline):
            began = trio.current_time()
            try:
                reply = await tx.link.run(request_id, text)
            except LinkError:
                tx.pool.note_failure(began)
                raise
            wrote = tx.wrote and text == "COMMIT"
            self._note(caller, tx.route, tx.pool, tx.link, began, wrote)
            return reply.result

    def _close(self, tx: Transaction) -> None:
        if self._open.pop(id(tx), None) is None:
            return
        assert tx.link is not None
        assert tx.pool is not None
        if tx.epoch:
            self._leave(tx.route.group)
        if tx.link.usable and tx.link.state is State.IDLE:
            tx.pool.give_back(tx.link)
        else:
            tx.pool.discard(tx.link)

    def _note(
        self,
        caller: Caller,
        route: Route,
        pool: EndpointPool,
        link: Link,
        began: float,
        wrote: bool,
    ) -> None:
        """Takes over what an answer tells of the endpoint."""
        pool.note_answer(link, trio.current_time() - began)
        if link.position is None or not self._is_primary(pool):
            return
        self._fleet.note_position(route.group, began, link.position)
        if wrote:
            caller.written = (route.group, link.position)

    def _note_refusal(self, pool: EndpointPool, failure: Failure) -> None:
        if failure.code is Code.LAGGING:
            self._metrics.count("reads_lagging")
        self._metrics.count("endpoint_refusals", code=failure.code.value)

    def _is_primary(self, pool: EndpointPool) -> bool:
        """Whether the endpoint is proved to be its group's primary now."""
        return self._fleet.primary(pool.endpoint.group) is pool

    def _may_go_on(self, tx: Transaction) -> bool:
        """Whether the primary of a transaction may still be used."""
        if tx.link is None or not tx.link.usable:
            return False
        if not tx.epoch:
            return True
        assert tx.pool is not None
        return (
            self._is_primary(tx.pool)
            and self._fleet.primacy.epoch(tx.route.group) == tx.epoch
        )

    def _has_other(self, route: Route, writes: bool, tried: set[str]) -> bool:
        if writes:
            return False
        if route.consistency is Consistency.PRIMARY:
            return True
        return any(
            pool.endpoint.name not in tried
            for pool in self._fleet.group_pools(route.group)
        )

    def _hedge(self, pool: EndpointPool, deadline: float) -> float:
        patience = max(HEDGE_SECONDS, HEDGE_FACTOR * pool.latency)
        return min(deadline, trio.current_time() + patience)

    @contextmanager
    def _use(self, group: str, is_primary: bool) -> Iterator[None]:
        if not is_primary:
            yield
            return
        self._enter(group)
        try:
            yield
        finally:
            self._leave(group)

    def _enter(self, group: str) -> None:
        uses = self._fleet.uses
        uses[group] = uses.get(group, 0) + 1

    def _leave(self, group: str) -> None:
        self._fleet.uses[group] -= 1
        if not self._fleet.uses[group]:
            self._fleet.notify()


def _text(run: Run, name: str) -> str:
    if run.shape is None:
        return run.text
    return lines.execute_text(name, run.arguments)
