"""Rate-limit decisions of one instance, without I/O."""

import math
from collections.abc import Callable, Container, Iterator, Mapping
from dataclasses import dataclass

from lagoonstair.exceptions import ErrorKind
from lagoonstair.limits._borrower import Borrower
from lagoonstair.limits._lender import Lender
from lagoonstair.limits._line import MIN_URGENT_LOAN, WaitQueue
from lagoonstair.limits._messages import TokenAsk, TokenGrant
from lagoonstair.limits._settings import LimitSettings, WorkspaceLimit
from lagoonstair.limits._units import MICROS_PER_TOKEN


@dataclass(frozen=True, slots=True, kw_only=True)
class Admit:
    """Admits the request of a ticket."""

    ticket: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Refuses the request of a ticket.

    Attributes:
        ticket: The request's ticket.
        kind: ``RATE_LIMITED``, ``NOT_FRESH`` or ``NOT_FOUND``.
        retry_after: Seconds until a token is expected, if known.
    """

    ticket: int
    kind: ErrorKind
    retry_after: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SendAsk:
    """Sends an ask for tokens to another holder."""

    lender: str
    ask: TokenAsk


Effect = Admit | Refuse | SendAsk


class Limiter:
    """Admits the requests of one instance and lends tokens to other instances.

    Every method takes the monotonic time ``now`` in seconds. ``fresh`` states
    whether the instance may rely on its configuration. Without it, no token
    is spent or lent.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        settings: LimitSettings,
        distance: Callable[[str], float] = lambda holder: 0.0,
    ) -> None:
        """Creates a limiter that knows no limit yet.

        Args:
            name: The instance's name.
            incarnation: An id of this run of the instance.
            settings: Timeouts and intervals of loans and of waiting.
            distance: Returns the round trip to a holder's region in seconds;
                0 for the own region.
        """
        self._name = name
        self._distance = distance
        self._settings = settings
        self._lender = Lender(name, settings)
        self._borrower = Borrower(incarnation, settings)
        self._queues: dict[str, WaitQueue] = {}
        self._workspace_by_ticket: dict[int, str] = {}
        self._last_full_ask_at: dict[str, float] = {}
        self._version = 0

    def apply(
        self,
        now: float,
        version: int,
        limits: Mapping[str, WorkspaceLimit],
        *,
        created: Container[str] = (),
        resumed: Mapping[str, int] | None = None,
    ) -> None:
        """Applies the limits of a configuration version, in version order.

        Args:
            now: The time, in seconds.
            version: The configuration version.
            limits: The limits of all workspaces.
            created: Workspaces that no earlier version had and of which this
                run of the instance is among the first holders. Ignored when a
                version was skipped, because that one may have had other
                holders.
            resumed: Workspaces whose share an earlier run held, with the
                initial balance in micro-tokens. Likewise ignored after a
                skipped version.
        """
        kept = resumed or {}
        skipped = version != self._version + 1
        self._version = max(self._version, version)
        for workspace in {*self._lender.buckets, *limits}:
            self.apply_limit(
                now,
                version,
                workspace,
                limits.get(workspace),
                created=workspace in created and not skipped,
                resumed=None if skipped else kept.get(workspace),
            )

    def set_accepted_version(self, now: float, version: int) -> None:
        """Sets the greatest configuration version known to be accepted.

        Without a call, every version counts as accepted when it is learned.
        """
        self._lender.set_accepted_version(now, version)

    def apply_limit(
        self,
        now: float,
        version: int,
        workspace: str,
        limit: WorkspaceLimit | None,
        *,
        created: bool = False,
        resumed: int | None = None,
    ) -> None:
        """Applies the limit of one workspace from a configuration version."""
        self._lender.expire(now)
        bucket = self._lender.bucket(workspace)
        if version <= bucket.version:
            return
        bucket.configure(now, version, limit, created=created, resumed=resumed)

    def request(
        self, now: float, workspace: str, ticket: int, *, fresh: bool
    ) -> list[Effect]:
        """Admits, refuses or queues a request under a new ticket.

        No effect means that the request waits. The caller must then call
        ``tick`` soon, once for all requests that arrived together.
        """
        if not fresh:
            return [Refuse(ticket=ticket, kind=ErrorKind.NOT_FRESH)]
        limit = self._limit(workspace)
        if limit is None:
            return [Refuse(ticket=ticket, kind=ErrorKind.NOT_FOUND)]
        queue = self._queues.setdefault(workspace, WaitQueue())
        queue.count_request(now)
        if not queue.waiting and self._spend(now, workspace):
            return [Admit(ticket=ticket)]
        tokens = len(queue.waiting) + 1
        max_wait = self._max_wait(limit)
        wait = self._estimate_wait(now, workspace, limit, tokens)
        if wait > max_wait or not self._can_arrive(
            now, workspace, limit, tokens
        ):
            return [self._refusal(ticket, wait)]
        queue.waiting[ticket] = now + max_wait
        self._workspace_by_ticket[ticket] = workspace
        return []

    def has_token(self, now: float, workspace: str, *, fresh: bool) -> bool:
        """Returns whether a request would be admitted at once.

        If not, it counts as demand, so that tokens are borrowed for later
        ones.
        """
        if not fresh or self._limit(workspace) is None:
            return False
        queue = self._queues.setdefault(workspace, WaitQueue())
        if (
            not queue.waiting
            and self.available(now, workspace) >= MICROS_PER_TOKEN
        ):
            return True
        queue.count_request(now)
        return False

    def try_spend(self, now: float, workspace: str, *, fresh: bool) -> bool:
        """Spends a token for a request that does not wait, if there is one."""
        if not self.has_token(now, workspace, fresh=fresh):
            return False
        self._queues[workspace].count_request(now)
        return self._spend(now, workspace)

    def cancel(self, ticket: int) -> None:
        """Removes a queued request."""
        workspace = self._workspace_by_ticket.pop(ticket, None)
        if workspace is not None:
            del self._queues[workspace].waiting[ticket]

    def answer(
        self, now: float, borrower: str, ask: TokenAsk, *, fresh: bool
    ) -> TokenGrant:
        """Answers another instance's ask."""
        return self._lender.answer(now, borrower, ask, fresh=fresh)

    def handle_grant(
        self, now: float, lender: str, grant: TokenGrant, *, fresh: bool
    ) -> list[Effect]:
        """Applies the answer to an ask."""
        if not self._borrower.accept_grant(now, lender, grant):
            return []
        for lent in grant.lent:
            queue = self._queues.get(lent.workspace)
            if queue is not None:
                queue.record_remaining(now, lender, lent.remaining)
        return self.tick(now, fresh=fresh)

    def handle_lost_ask(self, now: float, lender: str, seq: int) -> None:
        """Abandons an ask that was not answered."""
        if self._borrower.abandon(lender, seq):
            for queue in self._queues.values():
                queue.record_loss(now, lender)

    def tick(self, now: float, *, fresh: bool) -> list[Effect]:
        """Admits and refuses waiting requests, and sends asks for tokens."""
        self._lender.expire(now)
        effects: list[Effect] = []
        for workspace, queue in self._queues.items():
            if fresh:
                effects += self._admit_waiting(now, workspace, queue)
            effects += self._refuse_expired(now, workspace, queue)
        effects += self._ask(now)
        return effects

    def prune(self, now: float) -> None:
        """Drops idle queues and accounts."""
        self._lender.prune(now)
        idle = [
            name for name, queue in self._queues.items() if queue.is_idle(now)
        ]
        for name in idle:
            del self._queues[name]

    def next_tick_at(self, now: float) -> float | None:
        """Returns when ``tick`` is due unless another event comes first."""
        if self._workspace_by_ticket:
            return now + self._settings.min_ask_interval
        if self._queues or self._borrower.lenders_to_report(now):
            return now + self._settings.ask_interval
        return None

    def waiting(self, workspace: str) -> int:
        """Returns the number of waiting requests of a workspace."""
        queue = self._queues.get(workspace)
        return 0 if queue is None else len(queue.waiting)

    def available(self, now: float, workspace: str) -> int:
        """Returns the micro-tokens that this instance could spend now."""
        self._lender.expire(now)
        own = self._lender.bucket(workspace).available(now)
        return own + self._borrower.available(now, workspace)

    def _limit(self, workspace: str) -> WorkspaceLimit | None:
        bucket = self._lender.buckets.get(workspace)
        return None if bucket is None else bucket.limit

    def _max_wait(self, limit: WorkspaceLimit) -> float:
        """Returns the longest wait, which the farthest holder determines."""
        distances = map(self._distance, limit.holders)
        return self._settings.max_wait_at(max(distances, default=0.0))

    def _spend(self, now: float, workspace: str) -> bool:
        """Spends one token, from the instance's own share first."""
        if self.available(now, workspace) < MICROS_PER_TOKEN:
            return False
        own = self._lender.bucket(workspace).take(now, MICROS_PER_TOKEN)
        self._borrower.spend(now, workspace, MICROS_PER_TOKEN - own)
        return True

    def _admit_waiting(
        self, now: float, workspace: str, queue: WaitQueue
    ) -> Iterator[Effect]:
        while queue.waiting and self._spend(now, workspace):
            ticket, _ = queue.waiting.popitem(last=False)
            del self._workspace_by_ticket[ticket]
            yield Admit(ticket=ticket)

    def _refuse_expired(
        self, now: float, workspace: str, queue: WaitQueue
    ) -> Iterator[Effect]:
        limit = self._limit(workspace)
        while queue.waiting:
            ticket, until = next(iter(queue.waiting.items()))
            if limit is not None and until > now:
                return
            del queue.waiting[ticket]
            del self._workspace_by_ticket[ticket]
            if limit is None:
                yield Refuse(ticket=ticket, kind=ErrorKind.NOT_FOUND)
            else:
                queue.waited_in_vain_at = now
                ahead = len(queue.waiting) + 1
                wait = self._estimate_wait(now, workspace, limit, ahead)
                yield self._refusal(ticket, wait)

    def _refusal(self, ticket: int, wait: float) -> Refuse:
        return Refuse(
            ticket=ticket,
            kind=ErrorKind.RATE_LIMITED,
            retry_after=max(wait, self._settings.ask_interval),
        )

    def _estimate_wait(
        self, now: float, workspace: str, limit: WorkspaceLimit, tokens: int
    ) -> float:
        """Estimates the seconds until so many tokens are available."""
        queue = self._queues[workspace]
        have = self.available(now, workspace)
        have += sum(self._estimate_remaining(now, queue, limit).values())
        missing = tokens * MICROS_PER_TOKEN - have
        # A workspace's rate can be 0.
        return max(0, missing) / max(1, limit.rate)

    def _can_arrive(
        self, now: float, workspace: str, limit: WorkspaceLimit, tokens: int
    ) -> bool:
        """Returns whether so many tokens can arrive while a request waits.

        Only what this instance's own share accrues and what the holders that
        do not count as empty have can arrive. Without
        ``LimitSettings.skips_empty_holders``, no holder counts as empty.

        Holders of a workspace within its rate are empty for moments too, when
        others hold loans in advance. So a request must have waited in vain
        since the last regular ask: in the simulation of
        ``test_load_throttling.py``, 29 of some 560 operations of such
        workspaces were refused without this condition, and 1 with it.
        """
        queue = self._queues[workspace]
        interval = self._settings.ask_interval
        if (
            not self._settings.skips_empty_holders
            or now - queue.waited_in_vain_at >= interval
        ):
            return True
        share = limit.rate // max(1, len(limit.holders))
        have = self.available(now, workspace)
        rate = share if self._name in limit.holders else 0
        for lender, remaining in self._estimate_remaining(
            now, queue, limit
        ).items():
            if not queue.is_empty(now, lender, interval):
                have += remaining
                rate += share
        missing = tokens * MICROS_PER_TOKEN - have
        return missing <= rate * self._max_wait(limit)

    def _estimate_remaining(
        self, now: float, queue: WaitQueue, limit: WorkspaceLimit
    ) -> dict[str, int]:
        """Estimates the balance of each other holder, in micro-tokens."""
        count = max(1, len(limit.holders))
        rate = limit.rate // count
        burst = limit.burst // count
        return {
            lender: queue.estimate_remaining(now, lender, rate, burst)
            for lender in limit.holders
            if lender != self._name
        }

    def _ask(self, now: float) -> Iterator[SendAsk]:
        """Creates the due asks to lenders that have no outstanding ask."""
        wants = self._demand_by_lender(now)
        reporting = self._borrower.lenders_to_report(now)
        for lender in dict.fromkeys([*wants, *reporting]):
            if self._borrower.has_outstanding_ask(lender):
                continue
            wanted = wants.get(lender, {})
            if now - self._last_full_ask_at.get(lender, -math.inf) < (
                self._settings.ask_interval
            ):
                # An urgent ask for one workspace must not also fetch the small
                # demands of all other workspaces at that shorter interval.
                wanted = self._urgent_demand(now, lender, wanted)
                since = now - self._borrower.asked_at(lender)
                if not wanted or since < self._settings.min_ask_interval:
                    continue
            else:
                self._last_full_ask_at[lender] = now
            ask = self._borrower.ask(now, lender, wanted)
            yield SendAsk(lender=lender, ask=ask)

    def _urgent_demand(
        self, now: float, lender: str, wants: Mapping[str, int]
    ) -> dict[str, int]:
        """Returns the demand of waiting requests that the lender can meet."""
        urgent = {}
        for workspace, amount in wants.items():
            limit = self._limit(workspace)
            queue = self._queues[workspace]
            if limit is None or not queue.waiting:
                continue
            remaining_by_lender = self._estimate_remaining(now, queue, limit)
            have = self.available(now, workspace) + sum(
                remaining_by_lender.values()
            )
            if (
                remaining_by_lender[lender] >= MIN_URGENT_LOAN
                and have >= MICROS_PER_TOKEN
            ):
                urgent[workspace] = amount
        return urgent

    def _demand_by_lender(self, now: float) -> dict[str, dict[str, int]]:
        """Returns the micro-tokens to ask for, by lender and workspace."""
        wants: dict[str, dict[str, int]] = {}
        for workspace, queue in self._queues.items():
            limit = self._limit(workspace)
            if limit is None:
                continue
            need = self._missing_tokens(now, workspace, queue, limit)
            if need <= 0:
                continue
            remaining_by_lender = self._estimate_remaining(now, queue, limit)
            total = sum(remaining_by_lender.values())
            for lender, remaining in remaining_by_lender.items():
                if total > need:
                    part = need * remaining // total + 1
                else:
                    part = min(
                        need,
                        max(remaining, need // len(remaining_by_lender) + 1),
                    )
                wants.setdefault(lender, {})[workspace] = part
        return wants

    def _missing_tokens(
        self,
        now: float,
        workspace: str,
        queue: WaitQueue,
        limit: WorkspaceLimit,
    ) -> int:
        request_rate = min(
            int(queue.request_rate(now) * MICROS_PER_TOKEN), limit.rate
        )
        kept = (
            int(request_rate * self._settings.prefetch_horizon)
            // MICROS_PER_TOKEN
            * MICROS_PER_TOKEN
        )
        have = self.available(now, workspace)
        return kept + len(queue.waiting) * MICROS_PER_TOKEN - have
