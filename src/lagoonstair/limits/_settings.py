"""Settings of the rate limiter and the rate limit of one workspace."""

from dataclasses import dataclass

from lagoonstair.limits._units import to_micro

MAX_HOLDERS = 7
"""Default upper bound on the instances that hold a share of one workspace."""
MIN_TOKENS_PER_HOLDER = 1
"""Minimum tokens of burst per holder, unless there is only one holder."""
MAX_CLOCK_RATE_ERROR = 0.01
"""Relative error of the clock rate that the timeouts tolerate."""
MAX_EXTENDED_SECONDS = 0.1
"""Upper bound, in seconds, of a wait that the distance of a holder extends. It
is half of the shortest target latency of a route, some 200 ms."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """Timeouts and intervals of token loans and of waiting, in seconds.

    Attributes:
        freshness_bound: How long an instance may serve after it last proved
            that its configuration is current.
        loan_ttl: How long a borrower may spend a loan, counted from the time
            at which it sent the ask.
        loan_margin: How much longer the lender keeps the record of a loan, so
            that the borrower's last report can arrive.
        ask_interval: Interval between asks to one lender in steady use.
        min_ask_interval: Minimum interval between two asks to one lender.
        ask_timeout: Timeout after which an unanswered ask is abandoned.
        prefetch_horizon: How many seconds of expected use a borrower holds
            tokens for in advance.
        max_wait: Maximum time for which a request waits for a token.
        share_margin: Safety margin added to the delay before a share grows.
        skips_empty_holders: Whether a holder that reported almost no tokens
            counts as empty until the next regular ask to it, so that no
            request waits for its tokens before then, once one has waited in
            vain.
    """

    freshness_bound: float = 5.0
    loan_ttl: float = 1.0
    loan_margin: float = 0.25
    ask_interval: float = 0.1
    min_ask_interval: float = 0.025
    ask_timeout: float = 0.05
    prefetch_horizon: float = 0.25
    max_wait: float = 0.25
    share_margin: float = 0.1
    skips_empty_holders: bool = False

    def ask_timeout_at(self, distance: float) -> float:
        """Returns the timeout of an ask to a holder at a distance.

        Args:
            distance: The round trip to the holder's region in seconds; 0 for
                the own region.
        """
        return _extend(self.ask_timeout, distance)

    def max_wait_at(self, distance: float) -> float:
        """Returns how long a request may wait for a holder at a distance."""
        return _extend(self.max_wait, distance)

    @property
    def lender_ttl(self) -> float:
        """How long the lender keeps the record of a loan after granting it."""
        return self.loan_ttl * (1 + MAX_CLOCK_RATE_ERROR) + self.loan_margin

    @property
    def share_delay(self) -> float:
        """How long a replaced, smaller share continues to apply.

        Within this time after a version is learned, every other instance has
        learned it too or has stopped, and all earlier loans have expired.
        """
        longest = self.freshness_bound + self.loan_ttl
        return longest * (1 + MAX_CLOCK_RATE_ERROR) + self.share_margin


def _extend(seconds: float, distance: float) -> float:
    return max(seconds, min(seconds + distance, MAX_EXTENDED_SECONDS))


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceLimit:
    """The rate and burst of a workspace, and the instances that share them.

    Attributes:
        rate: Micro-tokens per second.
        burst: Micro-tokens.
        holders: Names of the instances that each hold a share.
    """

    rate: int
    burst: int
    holders: tuple[str, ...]

    @classmethod
    def from_config(
        cls,
        *,
        rate: float,
        burst: float,
        holders: tuple[str, ...],
        max_holders: int = MAX_HOLDERS,
    ) -> "WorkspaceLimit":
        """Creates a limit from requests per second and a burst in requests.

        A small burst is split among fewer holders. With shares below one token,
        a single request would have to collect tokens from several holders.
        """
        count = max(1, min(max_holders, int(burst) // MIN_TOKENS_PER_HOLDER))
        return cls(
            rate=to_micro(rate), burst=to_micro(burst), holders=holders[:count]
        )
