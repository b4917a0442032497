"""Prints the share of reads that replicas serve.

Run as ``python -m lagoonstair.measure.replica_reads``. All times are seconds
of the model group's virtual clock. The baseline sends all reads to the
primary, so its share is 0.
"""

import itertools

import defopt
from loguru import logger

from lagoonstair.measure._model import DEPLOYMENTS
from lagoonstair.measure._replica_reads import ReadCase, run_reads

LAGS_SECONDS = (0.01, 0.1, 1.0)
"""The greatest replication intervals that are measured, in seconds."""

WRITE_RATIOS = (0.05, 0.3)
"""Shares of the requests that are writes."""

WAIT_LIMITS_SECONDS = (0.0, 0.01, 0.05)
"""Longest waits in seconds of a read for a suitable replica."""


def report(*, seed: int = 1) -> None:
    """Prints the share of reads that replicas serve in each case.

    Args:
        seed: The seed of every run.
    """
    logger.remove()
    cases = itertools.product(
        DEPLOYMENTS, LAGS_SECONDS, WRITE_RATIOS, WAIT_LIMITS_SECONDS
    )
    for deployment, lag, writes, wait_limit in cases:
        case = ReadCase(lag=lag, writes=writes, wait_limit=wait_limit)
        share = run_reads(deployment, case, seed)
        print(
            f"{deployment.name}: lag {lag} s, {writes:.0%} writes,"
            f" wait {wait_limit * 1000:.0f} ms:"
            f" {share.on_replica / share.reads:.1%} of {share.reads} reads on"
            f" replicas, {share.allowed_on_replica / share.allowed:.1%} of"
            f" {share.allowed} allowed, refused {share.refused},"
            f" wait p50 {share.wait_p50 * 1000:.1f} ms,"
            f" p99 {share.wait_p99 * 1000:.1f} ms"
        )


if __name__ == "__main__":
    defopt.run(report)
