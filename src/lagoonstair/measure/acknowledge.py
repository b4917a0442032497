"""Compares two methods of confirming writes while replicas lag.

Run as ``python -m lagoonstair.measure.acknowledge``. All times are seconds
of the model group's virtual clock.
"""

import itertools

import defopt
from loguru import logger

from lagoonstair.measure._acknowledge import (
    confirm_by_position,
    confirm_by_term,
    run_lagging,
)
from lagoonstair.measure._model import DEPLOYMENTS

LAGS_SECONDS = (0.01, 0.1, 1.0, 5.0)
"""The greatest replication intervals that are measured, in seconds."""

METHODS = {"A": confirm_by_position, "D": confirm_by_term}


def report(*, seed: int = 1) -> None:
    """Prints unconfirmed and lost writes for each lag and method.

    Args:
        seed: The seed of every run.
    """
    logger.remove()
    cases = itertools.product(DEPLOYMENTS, LAGS_SECONDS, METHODS.items())
    for deployment, lag, (name, method) in cases:
        result = run_lagging(deployment, lag, method, seed)
        print(f"{deployment.name}: lag up to {lag} s, way {name}: {result}")


if __name__ == "__main__":
    defopt.run(report)
