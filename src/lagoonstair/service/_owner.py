"""Runs forwarded requests at an owner of their group."""

from collections.abc import Callable
from typing import Protocol

import trio

from lagoonstair.config import Policy, RouteKind
from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.peers import HandlerRegistry, PeerContext
from lagoonstair.ports import Statement
from lagoonstair.service._config_view import ConfigView
from lagoonstair.service._groups import GroupManager
from lagoonstair.service._messages import (
    EndTransaction,
    ExecutionResult,
    Forward,
)
from lagoonstair.service._reads import run_read
from lagoonstair.service._refusals import unavailable_error, unknown_error
from lagoonstair.service._started import InFlightWork
from lagoonstair.service._transactions import Transactions
from lagoonstair.service._writes import run_write

WORKSPACE_PARAM = "workspace"
CATCH_UP_SECONDS = 1.0

OWN_PART = 0.9
"""The part of a caller's time after which the owner gives up by itself."""


class Admission(Protocol):
    """Keeps workspaces to their rate."""

    async def admit(
        self,
        workspace: str,
        *,
        rate: float,
        burst: float,
        holders: tuple[str, ...],
        config_version: int,
    ) -> None:
        """Returns once a request is within the workspace's rate."""
        ...


class Owner:
    """Answers forwarded requests on one instance."""

    def __init__(
        self,
        name: str,
        *,
        config: ConfigView,
        groups: GroupManager,
        admission: Admission,
        holders: Callable[[str], tuple[str, ...]],
        transactions: Transactions,
        in_flight: InFlightWork,
        registry: HandlerRegistry,
    ) -> None:
        """Sets the collaborators and registers the handlers."""
        self._name = name
        self._config = config
        self._groups = groups
        self._admission = admission
        self._holders = holders
        self._transactions = transactions
        self._in_flight = in_flight
        registry.register(Forward, self._on_forward)
        registry.register(EndTransaction, self._on_end)

    async def run(self, req: Forward) -> ExecutionResult:
        """Runs a forwarded request.

        Raises:
            LagoonstairError: The request did not run, or its outcome is
                unknown.
        """
        if req.transaction_id is None:
            self._in_flight.require_accepting()
        with self._in_flight.track(), trio.move_on_after(req.time_left):
            return await self._run(req, _deadline(req))
        raise unknown_error("time is up")

    async def end(self, req: EndTransaction) -> ExecutionResult:
        """Commits or rolls back a transaction.

        Raises:
            LagoonstairError: As in ``run``.
        """
        with self._in_flight.track(), trio.move_on_after(req.time_left):
            await self._catch_up(req.config_version)
            self._require_key(req.key_id)
            group = await self._groups.get(req.group)
            deadline = _deadline(req)
            return await self._transactions.end(group, req, deadline=deadline)
        raise unknown_error("time is up")

    async def _run(self, req: Forward, deadline: float) -> ExecutionResult:
        await self._catch_up(req.config_version)
        policy = self._policy(req)
        await self._admission.admit(
            policy.workspace,
            rate=policy.rate,
            burst=policy.burst,
            holders=self._holders(policy.workspace),
            config_version=self._config.current.version,
        )
        group = await self._groups.get(policy.group)
        if group.watch.deferring:
            raise unavailable_error("another owner reaches the group's primary")
        statements = bind(policy, req)

        def recheck() -> None:
            if self._policy(req) != policy:
                raise unavailable_error(
                    "the workspace's rules have just changed"
                )

        if req.begin or req.transaction_id is not None:
            return await self._transactions.run(
                group,
                req,
                statements,
                deadline=deadline,
                recheck=recheck,
            )
        match policy.kind:
            case RouteKind.READ:
                return await run_read(
                    group,
                    req,
                    statements,
                    max_age=policy.max_age,
                    deadline=deadline,
                    recheck=recheck,
                    instance=self._name,
                )
            case RouteKind.WRITE:
                return await run_write(
                    group,
                    req,
                    statements,
                    deadline=deadline,
                    recheck=recheck,
                    instance=self._name,
                )

    async def _catch_up(self, version: int) -> None:
        """Waits until this instance is no older than the entry instance."""
        with trio.move_on_after(CATCH_UP_SECONDS):
            await self._config.wait_version(version)
        if self._config.current.version < version:
            raise LagoonstairError(
                ErrorKind.NOT_FRESH, "the owner's configuration is older"
            )

    def _policy(self, req: Forward) -> Policy:
        """What holds for a request now.

        Raises:
            LagoonstairError: The key was withdrawn, the route was removed,
                or the configuration may be out of date.
        """
        self._require_key(req.key_id)
        policy = self._config.current.policy(req.workspace, req.route)
        if req.key_id is None and not policy.open:
            raise LagoonstairError(
                ErrorKind.UNAUTHENTICATED, "the route is not open any more"
            )
        return policy

    def _require_key(self, key_id: str | None) -> None:
        cfg = self._config.require_fresh(trio.current_time())
        if key_id is not None and not cfg.key_is_live(key_id):
            raise LagoonstairError(
                ErrorKind.UNAUTHENTICATED, "the key was withdrawn"
            )

    async def _on_forward(
        self, req: Forward, ctx: PeerContext
    ) -> ExecutionResult:
        return await self.run(req)

    async def _on_end(
        self, req: EndTransaction, ctx: PeerContext
    ) -> ExecutionResult:
        return await self.end(req)


def _deadline(req: Forward | EndTransaction) -> float:
    """When to give up, early enough for the caller to be told why."""
    return trio.current_time() + OWN_PART * req.time_left


def bind(policy: Policy, req: Forward) -> tuple[Statement, ...]:
    """Binds a request's parameters to its route's statements.

    The workspace is bound here, so that no caller can name another one.
    """
    if WORKSPACE_PARAM in req.params:
        raise LagoonstairError(
            ErrorKind.BAD_REQUEST,
            f"params.{WORKSPACE_PARAM}: is set by the proxy",
        )
    params = {**req.params, WORKSPACE_PARAM: policy.workspace}
    return tuple(Statement(sql, params) for sql in policy.statements)
