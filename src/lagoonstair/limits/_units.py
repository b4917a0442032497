"""Integer units of tokens and time, so that sums are exact."""

MICROS_PER_TOKEN = 1_000_000
"""Micro-tokens in one token; a request costs one token."""

NANOS = 1_000_000_000
"""Nanoseconds in a second."""


def to_micro(tokens: float) -> int:
    """Converts tokens (or tokens a second) to micro-tokens, rounding down."""
    return int(tokens * MICROS_PER_TOKEN)


def to_nanos(seconds: float) -> int:
    """Converts seconds to nanoseconds, rounding down."""
    return int(seconds * NANOS)
