"""Prints the measurement of the fair queue: JSON, then a short table."""

import itertools
import json

from lagoonstair.measure._fairness import METHODS, SLOTS, measure


def main() -> None:
    """Runs every combination with fixed seeds."""
    rows = [
        row
        for size, way in itertools.product(SLOTS, METHODS)
        for row in measure(size, way)
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
