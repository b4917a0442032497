"""Prints ways A and D: ``python -m lagoonstair.measure.acknowledge``.

All times are virtual seconds of the model group.
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
METHODS = {"A": confirm_by_position, "D": confirm_by_term}


def report(*, seed: int = 1) -> None:
    """Prints stalled and lost writes for each lag and way.

    Args:
        seed: Seed of every run.
    """
    logger.remove()
    cases = itertools.product(DEPLOYMENTS, LAGS_SECONDS, METHODS.items())
    for deployment, lag, (name, way) in cases:
        found = run_lagging(deployment, lag, way, seed)
        print(f"{deployment.name}: lag up to {lag} s, way {name}: {found}")


if __name__ == "__main__":
    defopt.run(report)
