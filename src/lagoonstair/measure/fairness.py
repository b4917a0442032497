"""Prints the simulation of the fair queue as JSON and as a table."""

import itertools
import json

from lagoonstair.measure._fairness import METHODS, SLOTS, measure


def main() -> None:
    """Simulates each deployment and method of queueing with fixed seeds."""
    rows = [
        row
        for size, method in itertools.product(SLOTS, METHODS)
        for row in measure(size, method)
    ]
    print(json.dumps(rows))
    for row in rows:
        print(
            f"{row['size']:<10} {row['way']:<17}{row['noise']:<12}"
            f"{row['served']:>9.3%}{row['p99_wait'] * 1000:>9.1f} ms"
            f"{row['to_absent']:>8.2f}{row['to_rate']:>8.2f}"
        )


if __name__ == "__main__":
    main()
