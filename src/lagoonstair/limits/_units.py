"""Integer units of tokens and time, so that sums are exact."""

MICRO = 1_000_000
"""Micro-tokens in one token; a request costs one token."""

NANOS = 1_000_000_000
"""Nanoseconds in a second."""


def to_micro(tokens: float) -> int:
    """Converts tokens (or tokens a second) to micro-tokens, rounding down."""
    return int(tokens * MICRO)


def to_nanos(seconds: float) -> int:
    """Converts seconds to nanoseconds, rounding down."""
    return int(seconds * NANOS)
