"""Fits the cost per unit to runs of several sizes."""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec


class Point(NamedTuple):
    """The cost of one run.

    Attributes:
        size: Number of units that were handled.
        cost: The cost of all units together.
    """

    size: int
    cost: float


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """The cost of one additional unit.

    Attributes:
        name: The name of the measurement.
        unit: The unit of the cost per unit handled.
        value: The median slope of the repeats.
        low: The least slope of the repeats.
        high: The greatest slope of the repeats.
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
        """Fits a line to each repeat and summarizes the slopes.

        Args:
            name: The name of the measurement.
            unit: The unit of the slope.
            repeats: The points of each repeat, of two or more sizes.

        Returns:
            The median slope with the least and the greatest.
        """
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
    """Returns the slope of the least-squares line through the points.

    Args:
        points: The points, of at least two different sizes.

    Raises:
        ZeroDivisionError: There are no points, or all have the same size.
    """
    mean_size = sum(point.size for point in points) / len(points)
    mean_cost = sum(point.cost for point in points) / len(points)
    covariance = sum(
        (point.size - mean_size) * (point.cost - mean_cost) for point in points
    )
    variance = sum((point.size - mean_size) ** 2 for point in points)
    return covariance / variance
