"""Integer units of tokens and time, which keep sums exact."""

MICROS_PER_TOKEN = 1_000_000
"""Micro-tokens in one token. A request costs one token."""

NANOS_PER_SECOND = 1_000_000_000
"""Nanoseconds in one second."""


def to_micro(tokens: float) -> int:
    """Converts tokens (or tokens per second) to micro-tokens, rounding down."""
    return int(tokens * MICROS_PER_TOKEN)


def to_nanos(seconds: float) -> int:
    """Converts seconds to nanoseconds, rounding down."""
    return int(seconds * NANOS_PER_SECOND)
