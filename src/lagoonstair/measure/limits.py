"""Prints the measurement of rate limits: JSON, then a short table."""

import itertools
import json

from lagoonstair.measure._limits import METHODS, SCENARIOS, SIZES, Row, measure

LOADS = (0.6, 0.9)


def format_row(row: Row) -> str:
    """One line of the table."""
    return (
        f"{row['size']:<10}{row['scenario']:<27}{row['way']:<14}"
        f"{row['load']:>4}{row['refused_within']:>9.3%}"
        f"{row['worst_workspace']:>9.3%}{row['over']:>8}{row['asks']:>8}"
    )


def main() -> None:
    """Runs every combination with fixed seeds."""
    rows = [
        measure(size, scenario, way, load)
        for size, scenario, way, load in itertools.product(
            SIZES, SCENARIOS, METHODS, LOADS
        )
    ]
    print(json.dumps(rows))
    for row in rows:
        print(format_row(row))


if __name__ == "__main__":
    main()
