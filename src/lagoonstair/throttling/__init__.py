"""Adaptive throttling of workspaces that are over their rates."""

from lagoonstair.throttling._throttle import (
    DEFAULT_RETRY_AFTER_MS,
    RATE_REFUSAL,
    ThrottleCounts,
    Throttler,
    rate_refusal_hint,
)

__all__ = [
    "DEFAULT_RETRY_AFTER_MS",
    "RATE_REFUSAL",
    "ThrottleCounts",
    "Throttler",
    "rate_refusal_hint",
]
