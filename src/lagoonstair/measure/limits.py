"""Prints the simulation of rate limits as JSON and as a table."""

import itertools
import json

from lagoonstair.measure._limits import METHODS, SCENARIOS, SIZES, Row, measure

LOADS = (0.6, 0.9)
"""Request rates of a workspace, as shares of its rate limit."""


def format_row(row: Row) -> str:
    """Formats a result as one line of the table."""
    return (
        f"{row['size']:<10}{row['scenario']:<27}{row['way']:<14}"
        f"{row['load']:>4}{row['refused_within']:>9.3%}"
        f"{row['worst_workspace']:>9.3%}{row['over']:>8}{row['asks']:>8}"
    )


def main() -> None:
    """Simulates each combination with fixed seeds and prints the results."""
    rows = [
        measure(size, scenario, method, load)
        for size, scenario, method, load in itertools.product(
            SIZES, SCENARIOS, METHODS, LOADS
        )
    ]
    print(json.dumps(rows))
    for row in rows:
        print(format_row(row))


if __name__ == "__main__":
    main()
