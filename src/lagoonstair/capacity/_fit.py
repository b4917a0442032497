"""Slopes of costs over sizes, with their spread."""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec


class Point(NamedTuple):
    """One run.

    Attributes:
        size: How many units were handled.
        cost: What they cost together.
    """

    size: int
    cost: float


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """The cost of one more unit.

    Attributes:
        name: What was measured.
        unit: The unit of the cost.
        value: The median of the repeats' slopes.
        low: The least of them.
        high: The greatest of them.
        repeats: The points of each repeat.
    """

    name: str
    unit: str
    value: float
    low: float
    high: float
    repeats: list[list[Point]]

    @classmethod
    def from_repeats(
        cls, name: str, unit: str, repeats: Sequence[Sequence[Point]]
    ) -> "Slope":
        """Fits a line to each repeat."""
        slopes = sorted(fit_slope(points) for points in repeats)
        return cls(
            name=name,
            unit=unit,
            value=slopes[len(slopes) // 2],
            low=slopes[0],
            high=slopes[-1],
            repeats=[list(points) for points in repeats],
        )


def fit_slope(points: Sequence[Point]) -> float:
    """Returns the slope of the least-squares line; needs two sizes."""
    mean_size = sum(point.size for point in points) / len(points)
    mean_cost = sum(point.cost for point in points) / len(points)
    above = sum(
        (point.size - mean_size) * (point.cost - mean_cost) for point in points
    )
    below = sum((point.size - mean_size) ** 2 for point in points)
    return above / below
