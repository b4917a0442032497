"""One instance's share of one workspace's rate and burst."""

import math
from collections import deque
from typing import NamedTuple

from lagoonstair.limits._settings import LimitSettings, WorkspaceLimit
from lagoonstair.limits._units import NANOS, to_nanos


class _Part(NamedTuple):
    """A place among the holders.

    Attributes:
        holders: How many holders there are; 0 when the instance is none.
        rank: The instance's place among them, from 0.
    """

    holders: int
    rank: int

    def of(self, total: int) -> int:
        """This place's part of a total; the parts of all places add up."""
        if self.holders == 0:
            return 0
        return total // self.holders + (self.rank < total % self.holders)


class _Past(NamedTuple):
    """An earlier place, which still limits the share.

    Attributes:
        part: The place.
        version: The configuration version that replaced it.
        until: When it stops to limit the share (ns); ``None`` before the
            version is known to be accepted.
    """

    part: _Part
    version: int
    until: int | None


NO_PART = _Part(0, 0)


class ShareBucket:
    """Accrues a share's tokens and counts those that are lent.

    The balance plus what is lent never exceeds the share of the burst. The
    share is the least of the current one and of those it replaced within
    ``LimitSettings.share_delay``, so shares never sum to more than one while
    instances learn of a change at different times. A new holder starts empty.

    Attributes:
        version: The configuration version of the limit.
        limit: The limit, or ``None`` when the workspace has none.
        lent: Micro-tokens lent, and neither reported spent nor expired.
    """

    def __init__(
        self, name: str, settings: LimitSettings, *, accepted: float = math.inf
    ) -> None:
        """Makes an empty share.

        Args:
            name: The instance's name.
            settings: Times of lending and waiting.
            accepted: The greatest configuration version known as accepted.
        """
        self._name = name
        self._accepted = accepted
        self._delay = to_nanos(settings.share_delay)
        self._part = NO_PART
        self._past: deque[_Past] = deque()
        self._balance = 0
        self._remainder = 0
        self._at = 0
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
        """Takes a limit over from a configuration version.

        Versions are to be given one by one. After a skipped version the share
        starts anew, because the skipped one may have given it to others. The
        share of a workspace that was just created starts full and at once,
        because nobody can have held it before. A share that an earlier run of
        this instance held counts at once too, but starts with ``resumed``
        micro-tokens, as that run may have spent it all.
        """
        if version <= self.version:
            return
        if self.version == 0 and (created or resumed is not None):
            self._create(now, version, limit)
            if resumed is not None:
                self._balance = min(self._balance, resumed)
            return
        self._advance(now)
        skipped = self.version > 0 and version > self.version + 1
        part = self._place(limit)
        if part != self._part or skipped:
            self._replace_part(now, version, part, skipped)
        self.version = version
        self.limit = limit
        self._clamp()

    def _create(
        self, now: float, version: int, limit: WorkspaceLimit | None
    ) -> None:
        self.version = version
        self.limit = limit
        self._part = self._place(limit)
        self._at = to_nanos(now)
        self._balance = self._cap()

    def accept(self, now: float, version: float) -> None:
        """Notes that a configuration version was accepted.

        Only from then on must every other instance learn the version or stop
        within the freshness bound, so only from then on does the delay count.
        """
        self._accepted = version
        until = to_nanos(now) + self._delay
        self._past = deque(
            past._replace(until=until)
            if past.until is None and past.version <= version
            else past
            for past in self._past
        )

    def available(self, now: float) -> int:
        """Micro-tokens that may be spent or lent now."""
        self._advance(now)
        return self._balance

    def take(self, now: float, amount: int) -> int:
        """Spends up to ``amount`` micro-tokens; returns how many."""
        taken = min(amount, self.available(now))
        self._balance -= taken
        return taken

    def lend(self, now: float, amount: int) -> int:
        """Lends up to ``amount`` micro-tokens; returns how many."""
        taken = self.take(now, amount)
        self.lent += taken
        return taken

    def settle(self, now: float, amount: int) -> None:
        """Notes that lent micro-tokens were spent or have expired."""
        self._advance(now)
        self.lent -= amount

    def refund(self, now: float, amount: int) -> None:
        """Takes lent micro-tokens back that can no longer be spent."""
        self._advance(now)
        self.lent -= amount
        self._balance += amount
        self._clamp()

    def _place(self, limit: WorkspaceLimit | None) -> _Part:
        if limit is None or self._name not in limit.holders:
            return NO_PART
        return _Part(len(limit.holders), limit.holders.index(self._name))

    def _replace_part(
        self, now: float, version: int, part: _Part, skipped: bool
    ) -> None:
        accepted = version <= self._accepted
        until = to_nanos(now) + self._delay if accepted else None
        self._past.append(_Past(self._part, version, until))
        if skipped:
            self._past.append(_Past(NO_PART, version, until))
        self._part = part
        self._remainder = 0

    def _advance(self, now: float) -> None:
        now_ns = to_nanos(now)
        while self._past:
            until = self._past[0].until
            if until is None or until > now_ns:
                break
            self._accrue(until)
            self._past.popleft()
            self._remainder = 0
        self._accrue(now_ns)

    def _accrue(self, until: int) -> None:
        elapsed = until - self._at
        if elapsed <= 0:
            return
        self._at = until
        if self.limit is None:
            return
        parts = [self._part, *(past.part for past in self._past)]
        if any(part.holders == 0 for part in parts):
            self._clamp()
            return
        divisor = max(part.holders for part in parts) * NANOS
        total = self.limit.rate * elapsed + self._remainder
        gain, self._remainder = divmod(total, divisor)
        self._balance += gain
        self._clamp()

    def _clamp(self) -> None:
        room = max(0, self._cap() - self.lent)
        if self._balance >= room:
            self._balance = room
            self._remainder = 0

    def _cap(self) -> int:
        if self.limit is None:
            return 0
        burst = self.limit.burst
        parts = [self._part, *(past.part for past in self._past)]
        return min(part.of(burst) for part in parts)
