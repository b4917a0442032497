"""How many examples the property tests run."""

import os

FACTOR = int(os.environ.get("SOAK", "1"))


def examples(count):
    """The number of examples, more of them under ``make soak``."""
    return count * FACTOR
