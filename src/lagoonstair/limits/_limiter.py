"""The decisions of one instance on rate and burst; pure."""

import math
from collections.abc import Container, Iterator, Mapping
from dataclasses import dataclass

from lagoonstair.exceptions import ErrorKind
from lagoonstair.limits._borrower import Borrower
from lagoonstair.limits._lender import Lender
from lagoonstair.limits._line import Line
from lagoonstair.limits._messages import TokenAsk, TokenGrant
from lagoonstair.limits._settings import LimitSettings, WorkspaceLimit
from lagoonstair.limits._units import MICROS_PER_TOKEN

LEAST_LOAN = MICROS_PER_TOKEN // 4
"""Micro-tokens for which an urgent ask is worth its messages: the few holders
of a workspace have a whole token together."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Admit:
    """Lets the request of a ticket run."""

    ticket: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Refuses the request of a ticket.

    Attributes:
        ticket: The request's ticket.
        kind: ``RATE_LIMITED``, ``NOT_FRESH`` or ``NOT_FOUND``.
        retry_after: Seconds after which its token is due, if known.
    """

    ticket: int
    kind: ErrorKind
    retry_after: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SendAsk:
    """Asks another holder for tokens."""

    lender: str
    ask: TokenAsk


Effect = Admit | Refuse | SendAsk


class Limiter:
    """Admits the requests of one instance and lends to the others.

    Every method takes the monotonic time ``now`` in seconds. ``fresh`` says
    whether the instance may rely on its configuration; without it nothing is
    spent or lent.
    """

    def __init__(
        self, name: str, incarnation: str, settings: LimitSettings
    ) -> None:
        self._name = name
        self._settings = settings
        self._lender = Lender(name, settings)
        self._borrower = Borrower(incarnation, settings)
        self._lines: dict[str, Line] = {}
        self._where: dict[int, str] = {}
        self._asked_all_at: dict[str, float] = {}
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
        """Takes the limits of a configuration version; versions in order.

        Args:
            now: The time, in seconds.
            version: The configuration version.
            limits: The limits of all workspaces.
            created: Workspaces that no earlier version had, of which this
                run of the instance is among the first holders. Without effect
                when a version was skipped, which may have named others.
            resumed: Workspaces whose share an earlier run held, with the
                micro-tokens that it starts with; likewise.
        """
        kept = resumed or {}
        skipped = version != self._version + 1
        self._version = max(self._version, version)
        for workspace in {*self._lender.holders, *limits}:
            self.apply_limit(
                now,
                version,
                workspace,
                limits.get(workspace),
                created=workspace in created and not skipped,
                resumed=None if skipped else kept.get(workspace),
            )

    def accept(self, now: float, version: int) -> None:
        """Notes the greatest configuration version known as accepted.

        Without a call, every version counts as accepted when it is learned.
        """
        self._lender.accept(now, version)

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
        """Takes the limit of one workspace from a configuration version."""
        self._lender.expire(now)
        holder = self._lender.holder(workspace)
        if version <= holder.version:
            return
        holder.configure(now, version, limit, created=created, resumed=resumed)

    def request(
        self, now: float, workspace: str, ticket: int, *, fresh: bool
    ) -> list[Effect]:
        """Admits, refuses or queues a request under a new ticket.

        Without an effect it waits; ``tick`` is to be called soon, once for
        all requests that have come together.
        """
        if not fresh:
            return [Refuse(ticket=ticket, kind=ErrorKind.NOT_FRESH)]
        limit = self._limit(workspace)
        if limit is None:
            return [Refuse(ticket=ticket, kind=ErrorKind.NOT_FOUND)]
        line = self._lines.setdefault(workspace, Line())
        line.count_request(now)
        if not line.waiting and self._spend(now, workspace):
            return [Admit(ticket=ticket)]
        due = self._due(now, workspace, limit, len(line.waiting) + 1)
        if due > self._settings.max_wait:
            return [self._refusal(ticket, due)]
        line.waiting[ticket] = now + self._settings.max_wait
        self._where[ticket] = workspace
        return []

    def cancel(self, ticket: int) -> None:
        """Takes a queued request back."""
        workspace = self._where.pop(ticket, None)
        if workspace is not None:
            del self._lines[workspace].waiting[ticket]

    def answer(
        self, now: float, borrower: str, ask: TokenAsk, *, fresh: bool
    ) -> TokenGrant:
        """Answers another instance's ask."""
        return self._lender.answer(now, borrower, ask, fresh=fresh)

    def handle_grant(
        self, now: float, lender: str, grant: TokenGrant, *, fresh: bool
    ) -> list[Effect]:
        """Takes the answer to an ask."""
        if not self._borrower.accept(now, lender, grant):
            return []
        for lent in grant.lent:
            line = self._lines.get(lent.workspace)
            if line is not None:
                line.note_left(now, lender, lent.remaining)
        return self.tick(now, fresh=fresh)

    def handle_lost_ask(self, now: float, lender: str, seq: int) -> None:
        """Gives up an ask that got no answer."""
        if self._borrower.give_up(lender, seq):
            for line in self._lines.values():
                line.note_lost(now, lender)

    def tick(self, now: float, *, fresh: bool) -> list[Effect]:
        """Admits and refuses what is due, and asks for tokens."""
        self._lender.expire(now)
        effects: list[Effect] = []
        for workspace, line in self._lines.items():
            if fresh:
                effects += self._admit_waiting(now, workspace, line)
            effects += self._refuse_late(now, workspace, line)
        effects += self._ask(now)
        return effects

    def prune(self, now: float) -> None:
        """Drops state that is no longer of use."""
        self._lender.forget(now)
        idle = [name for name, line in self._lines.items() if line.is_idle(now)]
        for name in idle:
            del self._lines[name]

    def next_tick_at(self, now: float) -> float | None:
        """When to call ``tick`` next, if nothing else happens."""
        if self._where:
            return now + self._settings.min_ask_interval
        if self._lines or self._borrower.lenders_to_report(now):
            return now + self._settings.ask_interval
        return None

    def waiting(self, workspace: str) -> int:
        """How many requests of a workspace wait."""
        line = self._lines.get(workspace)
        return 0 if line is None else len(line.waiting)

    def available(self, now: float, workspace: str) -> int:
        """Micro-tokens that this instance could spend on a workspace now."""
        self._lender.expire(now)
        own = self._lender.holder(workspace).available(now)
        return own + self._borrower.available(now, workspace)

    def _limit(self, workspace: str) -> WorkspaceLimit | None:
        holder = self._lender.holders.get(workspace)
        return None if holder is None else holder.limit

    def _spend(self, now: float, workspace: str) -> bool:
        """Spends one token, of its own share first."""
        if self.available(now, workspace) < MICROS_PER_TOKEN:
            return False
        own = self._lender.holder(workspace).take(now, MICROS_PER_TOKEN)
        self._borrower.spend(now, workspace, MICROS_PER_TOKEN - own)
        return True

    def _admit_waiting(
        self, now: float, workspace: str, line: Line
    ) -> Iterator[Effect]:
        while line.waiting and self._spend(now, workspace):
            ticket, _ = line.waiting.popitem(last=False)
            del self._where[ticket]
            yield Admit(ticket=ticket)

    def _refuse_late(
        self, now: float, workspace: str, line: Line
    ) -> Iterator[Effect]:
        limit = self._limit(workspace)
        while line.waiting:
            ticket, until = next(iter(line.waiting.items()))
            if limit is not None and until > now:
                return
            del line.waiting[ticket]
            del self._where[ticket]
            if limit is None:
                yield Refuse(ticket=ticket, kind=ErrorKind.NOT_FOUND)
            else:
                ahead = len(line.waiting) + 1
                due = self._due(now, workspace, limit, ahead)
                yield self._refusal(ticket, due)

    def _refusal(self, ticket: int, due: float) -> Refuse:
        return Refuse(
            ticket=ticket,
            kind=ErrorKind.RATE_LIMITED,
            retry_after=max(due, self._settings.ask_interval),
        )

    def _due(
        self, now: float, workspace: str, limit: WorkspaceLimit, tokens: int
    ) -> float:
        """Estimates in how many seconds so many tokens can be had."""
        line = self._lines[workspace]
        have = self.available(now, workspace)
        have += sum(self._lefts(now, line, limit).values())
        missing = tokens * MICROS_PER_TOKEN - have
        return max(0, missing) / limit.rate

    def _lefts(
        self, now: float, line: Line, limit: WorkspaceLimit
    ) -> dict[str, int]:
        """Estimates what each of the other holders could lend."""
        count = max(1, len(limit.holders))
        rate = limit.rate // count
        burst = limit.burst // count
        return {
            lender: line.left(now, lender, rate, burst)
            for lender in limit.holders
            if lender != self._name
        }

    def _ask(self, now: float) -> Iterator[SendAsk]:
        """Asks each lender that owes no answer and is due."""
        wants = self._wants(now)
        reporting = self._borrower.lenders_to_report(now)
        for lender in dict.fromkeys([*wants, *reporting]):
            if self._borrower.is_waiting(lender):
                continue
            wanted = wants.get(lender, {})
            if now - self._asked_all_at.get(lender, -math.inf) < (
                self._settings.ask_interval
            ):
                # One workspace in need must not have all the others' small
                # needs lent at its pace.
                wanted = self._urgent(now, lender, wanted)
                since = now - self._borrower.asked_at(lender)
                if not wanted or since < self._settings.min_ask_interval:
                    continue
            else:
                self._asked_all_at[lender] = now
            ask = self._borrower.ask(now, lender, wanted)
            yield SendAsk(lender=lender, ask=ask)

    def _urgent(
        self, now: float, lender: str, wants: Mapping[str, int]
    ) -> dict[str, int]:
        """The wants of requests that wait and that the lender can help."""
        urgent = {}
        for workspace, amount in wants.items():
            limit = self._limit(workspace)
            line = self._lines[workspace]
            if limit is None or not line.waiting:
                continue
            lefts = self._lefts(now, line, limit)
            have = self.available(now, workspace) + sum(lefts.values())
            if lefts[lender] >= LEAST_LOAN and have >= MICROS_PER_TOKEN:
                urgent[workspace] = amount
        return urgent

    def _wants(self, now: float) -> dict[str, dict[str, int]]:
        """What to ask for: by lender, then by workspace."""
        wants: dict[str, dict[str, int]] = {}
        for workspace, line in self._lines.items():
            limit = self._limit(workspace)
            if limit is None:
                continue
            need = self._need(now, workspace, line, limit)
            if need <= 0:
                continue
            lefts = self._lefts(now, line, limit)
            total = sum(lefts.values())
            for lender, left in lefts.items():
                if total > need:
                    part = need * left // total + 1
                else:
                    part = min(need, max(left, need // len(lefts) + 1))
                wants.setdefault(lender, {})[workspace] = part
        return wants

    def _need(
        self, now: float, workspace: str, line: Line, limit: WorkspaceLimit
    ) -> int:
        use = min(int(line.use(now) * MICROS_PER_TOKEN), limit.rate)
        kept = (
            int(use * self._settings.prefetch_horizon)
            // MICROS_PER_TOKEN
            * MICROS_PER_TOKEN
        )
        have = self.available(now, workspace)
        return kept + len(line.waiting) * MICROS_PER_TOKEN - have
