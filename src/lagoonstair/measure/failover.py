"""Prints the failover gap by cause: ``python -m lagoonstair.measure.failover``.

All times are virtual seconds of the model group.
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

STORE_OUTAGE = 300.0


def report(*, runs: int = 20, minutes: float = 30.0, seed: int = 1) -> None:
    """Prints the gap of each cause and the false promotions.

    Args:
        runs: Failovers of each cause and deployment.
        minutes: Virtual minutes without a dead primary.
        seed: Seed of the first run.
    """
    logger.remove()
    for deployment in DEPLOYMENTS:
        for name, cause in CAUSES.items():
            found = [
                run_failover(deployment, cause, seed + i) for i in range(runs)
            ]
            print(
                f"{deployment.name}: {name}:"
                f" {_spread([f.gap for f in found])},"
                f" answered {sum(f.answered for f in found)},"
                f" lost {sum(f.lost for f in found)},"
                f" most promotions {max(f.promotions for f in found)}"
            )
        quiet = run_quiet(deployment, minutes, seed)
        print(f"{deployment.name}: no dead primary: {quiet}")
    rng = random.Random(seed)
    for name, outage in (("up", 0.0), ("down for 300 s", STORE_OUTAGE)):
        gaps = [lease_gap(rng, store_outage=outage) for _ in range(runs)]
        print(f"baseline, a lease, store {name}: {_spread(gaps)}")


def _spread(gaps: list[float]) -> str:
    return f"gap p50 {statistics.median(gaps):.2f} s, max {max(gaps):.2f} s"


if __name__ == "__main__":
    defopt.run(report)
