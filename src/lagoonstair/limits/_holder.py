"""Token bucket for one instance's share of one workspace's rate and burst."""

import math
from collections import deque
from typing import NamedTuple

from lagoonstair.limits._settings import LimitSettings, WorkspaceLimit
from lagoonstair.limits._units import NANOS_PER_SECOND, to_nanos


class _SharePosition(NamedTuple):
    """An instance's position among the holders of a workspace.

    Attributes:
        holders: Number of holders; 0 when the instance isn't a holder.
        rank: The instance's index among them, counted from 0.
    """

    holders: int
    rank: int

    def portion(self, total: int) -> int:
        """Returns this position's part of a total.

        The parts of all positions sum to the total.
        """
        if self.holders == 0:
            return 0
        return total // self.holders + (self.rank < total % self.holders)


class _PastPosition(NamedTuple):
    """A replaced position, which still limits the share.

    Attributes:
        position: The position.
        version: The configuration version that replaced it.
        until_ns: When it ceases to limit the share, in nanoseconds; ``None``
            until the version is known to be accepted.
    """

    position: _SharePosition
    version: int
    until_ns: int | None


NOT_A_HOLDER = _SharePosition(0, 0)


class ShareBucket:
    """Accrues the tokens of a share and keeps account of lent tokens.

    The balance plus the lent amount never exceeds the share of the burst. The
    effective share is the minimum of the current one and of those it replaced
    within ``LimitSettings.share_delay``, so that the shares of all instances
    never sum to more than the whole while instances learn of a change at
    different times. A new holder starts with an empty bucket.

    Attributes:
        version: The configuration version of the limit.
        limit: The limit, or ``None`` when the workspace has none.
        lent: Micro-tokens that are lent and neither reported as spent nor
            expired.
    """

    def __init__(
        self, name: str, settings: LimitSettings, *, accepted: float = math.inf
    ) -> None:
        """Creates an empty bucket.

        Args:
            name: The instance's name.
            settings: Timeouts and intervals of loans.
            accepted: The greatest configuration version known to be accepted.
        """
        self._name = name
        self._accepted_version = accepted
        self._delay_ns = to_nanos(settings.share_delay)
        self._position = NOT_A_HOLDER
        self._past_positions: deque[_PastPosition] = deque()
        self._balance = 0
        self._remainder = 0
        self._accrued_until_ns = 0
        self.version = 0
        self.limit: WorkspaceLimit | None = None
        self.lent = 0

    def configure(
        self,
        now: float,
        version: int,
        limit: WorkspaceLimit | None,
        *,
        created: bool = False,
        resumed: int | None = None,
    ) -> None:
        """Applies the limit of a configuration version.

        Versions must be applied one by one. After a skipped version the share
        starts empty again, because that version may have assigned it to other
        instances. The share of a newly created workspace takes effect
        immediately and with a full bucket, because no instance can have held
        it before. A share that an earlier run of this instance held also takes
        effect immediately, but starts with ``resumed`` micro-tokens, because
        that run may have spent all of it.
        """
        if version <= self.version:
            return
        if self.version == 0 and (created or resumed is not None):
            self._start_at_once(now, version, limit)
            if resumed is not None:
                self._balance = min(self._balance, resumed)
            return
        self._advance(now)
        skipped = self.version > 0 and version > self.version + 1
        position = self._position_in(limit)
        if position != self._position or skipped:
            self._replace_position(now, version, position, skipped)
        self.version = version
        self.limit = limit
        self._clamp_balance()

    def _start_at_once(
        self, now: float, version: int, limit: WorkspaceLimit | None
    ) -> None:
        self.version = version
        self.limit = limit
        self._position = self._position_in(limit)
        self._accrued_until_ns = to_nanos(now)
        self._balance = self._capacity()

    def set_accepted_version(self, now: float, version: float) -> None:
        """Records that a configuration version was accepted.

        Every other instance must learn the version or stop within the freshness
        bound, counted from its acceptance. The share delay therefore starts
        only then.
        """
        self._accepted_version = version
        until_ns = to_nanos(now) + self._delay_ns
        self._past_positions = deque(
            past._replace(until_ns=until_ns)
            if past.until_ns is None and past.version <= version
            else past
            for past in self._past_positions
        )

    def available(self, now: float) -> int:
        """Returns the micro-tokens that may be spent or lent now."""
        self._advance(now)
        return self._balance

    def take(self, now: float, amount: int) -> int:
        """Spends up to ``amount`` micro-tokens and returns the number spent."""
        taken = min(amount, self.available(now))
        self._balance -= taken
        return taken

    def lend(self, now: float, amount: int) -> int:
        """Lends up to ``amount`` micro-tokens and returns the number lent."""
        taken = self.take(now, amount)
        self.lent += taken
        return taken

    def settle(self, now: float, amount: int) -> None:
        """Removes lent micro-tokens that were spent or have expired."""
        self._advance(now)
        self.lent -= amount

    def refund(self, now: float, amount: int) -> None:
        """Returns lent micro-tokens that can no longer be spent."""
        self._advance(now)
        self.lent -= amount
        self._balance += amount
        self._clamp_balance()

    def _position_in(self, limit: WorkspaceLimit | None) -> _SharePosition:
        if limit is None or self._name not in limit.holders:
            return NOT_A_HOLDER
        return _SharePosition(
            len(limit.holders), limit.holders.index(self._name)
        )

    def _replace_position(
        self, now: float, version: int, position: _SharePosition, skipped: bool
    ) -> None:
        accepted = version <= self._accepted_version
        until_ns = to_nanos(now) + self._delay_ns if accepted else None
        self._past_positions.append(
            _PastPosition(self._position, version, until_ns)
        )
        if skipped:
            self._past_positions.append(
                _PastPosition(NOT_A_HOLDER, version, until_ns)
            )
        self._position = position
        self._remainder = 0

    def _advance(self, now: float) -> None:
        now_ns = to_nanos(now)
        while self._past_positions:
            until_ns = self._past_positions[0].until_ns
            if until_ns is None or until_ns > now_ns:
                break
            self._accrue(until_ns)
            self._past_positions.popleft()
            self._remainder = 0
        self._accrue(now_ns)

    def _accrue(self, until_ns: int) -> None:
        elapsed = until_ns - self._accrued_until_ns
        if elapsed <= 0:
            return
        self._accrued_until_ns = until_ns
        if self.limit is None:
            return
        positions = [
            self._position,
            *(past.position for past in self._past_positions),
        ]
        if any(position.holders == 0 for position in positions):
            self._clamp_balance()
            return
        divisor = (
            max(position.holders for position in positions) * NANOS_PER_SECOND
        )
        total = self.limit.rate * elapsed + self._remainder
        gain, self._remainder = divmod(total, divisor)
        self._balance += gain
        self._clamp_balance()

    def _clamp_balance(self) -> None:
        room = max(0, self._capacity() - self.lent)
        if self._balance >= room:
            self._balance = room
            self._remainder = 0

    def _capacity(self) -> int:
        if self.limit is None:
            return 0
        burst = self.limit.burst
        positions = [
            self._position,
            *(past.position for past in self._past_positions),
        ]
        return min(position.portion(burst) for position in positions)
