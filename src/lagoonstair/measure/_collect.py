"""Runs the slices' measures and collects them into sections."""

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
WRITE_RATIO = 0.05
READ_WAIT_SECONDS = 0.01
LOAD = 0.9
METHOD, BASELINE_METHOD = "lent shares", "static split"
OVERLOAD_SCENARIO = "one at 5x"


def failover(runs: int, seed: int) -> Section:
    """Measures the failover gap of each cause."""
    rng = random.Random(seed)
    lease = statistics.median(lease_gap(rng) for _ in range(runs))
    bars, rows = [], []
    for deployment, (name, cause) in itertools.product(
        DEPLOYMENTS, CAUSES.items()
    ):
        found = [
            run_failover(deployment, cause, seed + number)
            for number in range(runs)
        ]
        gap = statistics.median(run.gap for run in found)
        bars.append(Bar(f"{deployment.name}: {name}", gap, lease))
        rows += [
            {"deployment": deployment.name, "cause": name, **run._asdict()}
            for run in found
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
    """Measures the share of reads that replicas serve."""
    bars, rows = [], []
    for deployment, lag in itertools.product(DEPLOYMENTS, LAGS_SECONDS):
        case = ReadCase(
            lag=lag, writes=WRITE_RATIO, wait_limit=READ_WAIT_SECONDS
        )
        found = run_reads(deployment, case, seed)
        label = f"{deployment.name}: lag {lag:g} s"
        bars.append(Bar(label, found.on_replica / found.reads, 0.0))
        rows.append({"run": label, **_fields(found)})
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
    """Measures refusals within rate and the worst-served workspace."""
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
                    _label(ours), ours["refused_within"], base["refused_within"]
                )
                for ours, base in pairs
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
                    _label(ours),
                    ours["worst_workspace"],
                    base["worst_workspace"],
                )
                for ours, base in pairs
            ],
            rows=rows,
        ),
    ]


def _label(row: Row) -> str:
    return f"{row['size']}: {row['scenario']}"


def _fields(value: Any) -> Mapping[str, Any]:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return dataclasses.asdict(value)
    fields: Mapping[str, Any] = value._asdict()
    return fields
