"""The platform's names of the parts of its rules that are in force."""

from collections.abc import Collection

OVERLOAD = "pressure"
"""In force where callers compete for too little capacity."""


def calls_for_overload_control(contracts: Collection[str]) -> bool:
    """Returns whether a deployment's rules include those of overload."""
    return OVERLOAD in contracts
