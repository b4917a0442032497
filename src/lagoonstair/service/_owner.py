"""Execution of forwarded requests at an owner of their group."""

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
"""Statement parameter that always holds the request's workspace."""

CATCH_UP_SECONDS = 1.0
"""Maximum time (s) to wait for the configuration version of a request."""

OWNER_TIME_FRACTION = 0.9
"""Fraction of the request's remaining time after which the owner gives up.

The rest leaves time to send the caller an error that states the reason.
"""


class Admission(Protocol):
    """Rate limiter of workspaces."""

    async def admit(
        self,
        workspace: str,
        *,
        rate: float,
        burst: float,
        holders: tuple[str, ...],
        config_version: int,
    ) -> None:
        """Waits until the rate limit of a workspace admits a request.

        Args:
            workspace: The workspace.
            rate: The admitted requests per second.
            burst: The number of requests admitted at once.
            holders: The instances that hold shares of the workspace's limit.
            config_version: The version of the configuration in force.
        """
        ...


class Owner:
    """Executes forwarded requests on one instance."""

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
        """Initializes the owner and registers its message handlers.

        Args:
            name: The name of this instance.
            config: The configuration in force.
            groups: The groups that run on this instance.
            admission: Enforces the rate limits of workspaces.
            holders: Returns the instances that hold shares of a workspace's
                limit.
            transactions: The transactions that are open on this instance.
            in_flight: Counts the requests in progress.
            registry: Receives the message handlers.
        """
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

        During a shutdown only requests of open transactions are accepted.

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
            await self._wait_config(req.config_version)
            self._require_key(req.key_id)
            group = await self._groups.get(req.group)
            deadline = _deadline(req)
            return await self._transactions.end(group, req, deadline=deadline)
        raise unknown_error("time is up")

    async def _run(self, req: Forward, deadline: float) -> ExecutionResult:
        await self._wait_config(req.config_version)
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

    async def _wait_config(self, version: int) -> None:
        """Waits until the configuration is as recent as the entry's.

        Raises:
            LagoonstairError: ``NOT_FRESH`` after ``CATCH_UP_SECONDS``.
        """
        with trio.move_on_after(CATCH_UP_SECONDS):
            await self._config.wait_version(version)
        if self._config.current.version < version:
            raise LagoonstairError(
                ErrorKind.NOT_FRESH,
                "the owner's configuration is older",
            )

    def _policy(self, req: Forward) -> Policy:
        """Returns the policy that currently applies to a request.

        Raises:
            LagoonstairError: The key was withdrawn, the route was removed or
                now requires a key, or the configuration may be out of date.
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
    """Returns the time at which the owner gives up, before the caller does."""
    return trio.current_time() + OWNER_TIME_FRACTION * req.time_left


def bind(policy: Policy, req: Forward) -> tuple[Statement, ...]:
    """Binds a request's parameters to its route's statements.

    The workspace parameter is bound here, from the authorized policy, so that
    a caller cannot access another workspace.

    Raises:
        LagoonstairError: ``BAD_REQUEST``; the caller sets that parameter.
    """
    if WORKSPACE_PARAM in req.params:
        raise LagoonstairError(
            ErrorKind.BAD_REQUEST,
            f"params.{WORKSPACE_PARAM}: is set by the proxy",
        )
    params = {**req.params, WORKSPACE_PARAM: policy.workspace}
    return tuple(Statement(sql, params) for sql in policy.statements)
