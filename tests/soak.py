"""Scales the number of examples of the property tests."""

import os

FACTOR = int(os.environ.get("SOAK", "1"))
"""Multiplies the number of examples; ``make soak`` sets it to 20."""


def examples(count):
    """Returns the number of examples to run, scaled by ``FACTOR``."""
    return count * FACTOR
