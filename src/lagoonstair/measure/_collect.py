"""Runs the measurements and collects their results into report sections."""

import dataclasses
import itertools
import random
import statistics
from collections.abc import Mapping
from typing import Any

from lagoonstair.measure._failover import CAUSES, lease_gap, run_failover
from lagoonstair.measure._limits import SCENARIOS, SIZES, Row, measure
from lagoonstair.measure._model import DEPLOYMENTS
from lagoonstair.measure._replica_reads import ReadCase, run_reads
from lagoonstair.measure._section import Bar, Section

LAGS_SECONDS = (0.01, 0.1, 1.0)
"""The greatest replication intervals that are measured, in seconds."""

WRITE_RATIO = 0.05
"""Share of the sessions' requests that are writes."""

READ_WAIT_SECONDS = 0.01
"""Seconds that a read waits for a suitable replica."""

LOAD = 0.9
"""Request rate of each workspace, as a share of its rate limit."""

METHOD, BASELINE_METHOD = "lent shares", "static split"
OVERLOAD_SCENARIO = "one at 5x"


def failover(runs: int, seed: int) -> Section:
    """Measures the failover gap of each cause.

    Args:
        runs: The number of failovers of each cause and deployment.
        seed: The seed of the first run; each further run adds one.

    Returns:
        The section with the median gap, in seconds, of each cause.
    """
    rng = random.Random(seed)
    lease = statistics.median(lease_gap(rng) for _ in range(runs))
    bars, rows = [], []
    for deployment, (name, cause) in itertools.product(
        DEPLOYMENTS, CAUSES.items()
    ):
        results = [
            run_failover(deployment, cause, seed + number)
            for number in range(runs)
        ]
        gap = statistics.median(run.gap for run in results)
        bars.append(Bar(f"{deployment.name}: {name}", gap, lease))
        rows += [
            {"deployment": deployment.name, "cause": name, **run._asdict()}
            for run in results
        ]
    return Section(
        name="failover gap",
        unit="seconds, median",
        baseline="a lease in the table service, store up",
        method=f"{runs} failovers of each cause on model groups, virtual time",
        bars=bars,
        rows=rows,
    )


def replica_reads(seed: int) -> Section:
    """Measures the share of reads that replicas serve.

    Args:
        seed: The seed of every run.

    Returns:
        The section with the share of reads at each replication lag.
    """
    bars, rows = [], []
    for deployment, lag in itertools.product(DEPLOYMENTS, LAGS_SECONDS):
        case = ReadCase(
            lag=lag, writes=WRITE_RATIO, wait_limit=READ_WAIT_SECONDS
        )
        results = run_reads(deployment, case, seed)
        label = f"{deployment.name}: lag {lag:g} s"
        bars.append(Bar(label, results.on_replica / results.reads, 0.0))
        rows.append({"run": label, **_to_dict(results)})
    return Section(
        name="reads on replicas",
        unit="share of reads",
        baseline="all reads on the primary",
        method="sessions on model groups, virtual time, 5% writes, "
        "10 ms wait for a replica",
        bars=bars,
        rows=rows,
    )


def limits() -> list[Section]:
    """Measures refusals within the rate limit.

    Returns:
        One section for all workspaces and one for the worst-served one.
    """
    cases = list(itertools.product(SIZES, SCENARIOS))
    pairs = [
        (measure(*case, METHOD, LOAD), measure(*case, BASELINE_METHOD, LOAD))
        for case in cases
    ]
    rows: list[dict[str, object]] = [
        dict(row) for pair in pairs for row in pair
    ]
    method = f"7 instances, virtual time, at {LOAD:.0%} of the rates"
    return [
        Section(
            name="refused within rate",
            unit="share of requests",
            baseline="a static split over the instances",
            method=method,
            bars=[
                Bar(
                    _label(lent), lent["refused_within"], base["refused_within"]
                )
                for lent, base in pairs
            ],
            rows=rows,
        ),
        Section(
            name="worst-served workspace",
            unit="share refused within rate",
            baseline="a static split over the instances",
            method=f"{method}; in {OVERLOAD_SCENARIO!r} among the others",
            bars=[
                Bar(
                    _label(lent),
                    lent["worst_workspace"],
                    base["worst_workspace"],
                )
                for lent, base in pairs
            ],
            rows=rows,
        ),
    ]


def _label(row: Row) -> str:
    return f"{row['size']}: {row['scenario']}"


def _to_dict(value: Any) -> Mapping[str, Any]:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return dataclasses.asdict(value)
    fields: Mapping[str, Any] = value._asdict()
    return fields
