"""Settings of the limits slice and the limit of one workspace."""

from dataclasses import dataclass

from lagoonstair.limits._units import to_micro

MAX_HOLDERS = 7
TOKENS_PER_HOLDER = 1
CLOCK_RATE_ERROR = 0.01


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """Times of lending and waiting, in seconds.

    Attributes:
        freshness_bound: How long an instance may serve after its last proof
            that its configuration is current.
        loan_ttl: How long a borrower may spend a loan, from when it asked.
        loan_margin: How much longer the lender counts a loan, so that the
            borrower's last report can arrive.
        ask_interval: Time between asks to one peer in steady use.
        min_ask_interval: Least time between two asks to one peer.
        ask_timeout: When an ask without an answer is given up.
        prefetch_horizon: How much use a borrower keeps tokens for.
        max_wait: How long a request waits for a token.
        share_margin: Added to the delay before a share grows.
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

    @property
    def lender_ttl(self) -> float:
        """How long the lender counts a loan, from when it granted it."""
        return self.loan_ttl * (1 + CLOCK_RATE_ERROR) + self.loan_margin

    @property
    def share_delay(self) -> float:
        """How long an earlier, smaller share stays in effect.

        Within this time after a version is learned, every other instance has
        learned it too or stopped, and every loan of before has expired.
        """
        longest = self.freshness_bound + self.loan_ttl
        return longest * (1 + CLOCK_RATE_ERROR) + self.share_margin


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceLimit:
    """The rate and burst of a workspace, and who holds shares of them.

    Attributes:
        rate: Micro-tokens a second.
        burst: Micro-tokens.
        holders: Names of the instances that hold a share each.
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
        """Makes a limit from requests a second and requests.

        A small burst is split over fewer holders: shares below one token would
        have to be collected from several of them for a single request.
        """
        count = max(1, min(max_holders, int(burst) // TOKENS_PER_HOLDER))
        return cls(
            rate=to_micro(rate), burst=to_micro(burst), holders=holders[:count]
        )
