"""Prints the failover gap of each cause, and promotions without a failure.

Run as ``python -m lagoonstair.measure.failover``. All times are seconds of
the model group's virtual clock.
"""

import random
import statistics

import defopt
from loguru import logger

from lagoonstair.measure._failover import (
    CAUSES,
    lease_gap,
    run_failover,
    run_quiet,
)
from lagoonstair.measure._model import DEPLOYMENTS

STORE_OUTAGE_SECONDS = 300.0
"""Seconds for which the store is down in the baseline with an outage."""


def report(*, runs: int = 20, minutes: float = 30.0, seed: int = 1) -> None:
    """Prints the gap of each cause and the number of false promotions.

    Args:
        runs: The number of failovers of each cause and deployment.
        minutes: The length, in virtual minutes, of the run in which no
            primary fails.
        seed: The seed of the first run; each further run adds one.
    """
    logger.remove()
    for deployment in DEPLOYMENTS:
        for name, cause in CAUSES.items():
            failovers = [
                run_failover(deployment, cause, seed + i) for i in range(runs)
            ]
            print(
                f"{deployment.name}: {name}:"
                f" {_format_gaps([f.gap for f in failovers])},"
                f" answered {sum(f.answered for f in failovers)},"
                f" lost {sum(f.lost for f in failovers)},"
                f" most promotions {max(f.promotions for f in failovers)}"
            )
        quiet = run_quiet(deployment, minutes, seed)
        print(f"{deployment.name}: no dead primary: {quiet}")
    rng = random.Random(seed)
    for name, outage in (("up", 0.0), ("down for 300 s", STORE_OUTAGE_SECONDS)):
        gaps = [lease_gap(rng, store_outage=outage) for _ in range(runs)]
        print(f"baseline, a lease, store {name}: {_format_gaps(gaps)}")


def _format_gaps(gaps: list[float]) -> str:
    return f"gap p50 {statistics.median(gaps):.2f} s, max {max(gaps):.2f} s"


if __name__ == "__main__":
    defopt.run(report)
