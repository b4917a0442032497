"""Prints the cost of a call over each transport."""

import itertools

import trio

from lagoonstair.bench._transports import (
    measure_frames,
    measure_grpc,
    measure_http,
)

CALL_COUNT = 5000
"""Number of calls that each benchmark makes."""

REPEATS = 3
"""Number of times that each benchmark is repeated."""


def main() -> None:
    """Runs the benchmark of each transport several times."""
    benchmarks = (measure_frames, measure_http, measure_grpc)
    print(f"{'way':<10}{'calls/s':>10}{'CPU us/call (both sides)':>28}")
    for benchmark, _ in itertools.product(benchmarks, range(REPEATS)):
        cost = trio.run(benchmark, CALL_COUNT)
        print(
            f"{cost.transport:<10}{cost.calls_per_second:>10.0f}{cost.cpu_us:>28.0f}"
        )


if __name__ == "__main__":
    main()
