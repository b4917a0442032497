"""Prints the cost of a call over each transport."""

import itertools

import trio

from lagoonstair.bench._transports import (
    measure_frames,
    measure_grpc,
    measure_http,
)

CALLS = 5000
REPEATS = 3


def main() -> None:
    """Runs each benchmark several times."""
    ways = (measure_frames, measure_http, measure_grpc)
    print(f"{'way':<10}{'calls/s':>10}{'CPU us/call (both sides)':>28}")
    for way, _ in itertools.product(ways, range(REPEATS)):
        cost = trio.run(way, CALLS)
        print(
            f"{cost.way:<10}{cost.calls_per_second:>10.0f}{cost.cpu_us:>28.0f}"
        )


if __name__ == "__main__":
    main()
