"""Latency histograms with a bounded size."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

RESOLUTION_SECONDS = 0.0001
"""Unit of the recorded latencies: a tenth of a millisecond, in seconds."""
MAX_LATENCY_UNITS = 600_000
"""Longest latency that is recorded as such, in tenths of a millisecond."""
SIGNIFICANT_FIGURES = 2
"""Number of decimal digits to which a recorded latency is exact."""
COUNTER_BYTES = 4
"""Size of each counter of a histogram, in bytes."""


def new_histogram() -> HdrHistogram:
    """Creates an empty histogram; latencies over a minute count as a minute."""
    return HdrHistogram(
        1, MAX_LATENCY_UNITS, SIGNIFICANT_FIGURES, COUNTER_BYTES
    )


def record(histogram: HdrHistogram, seconds: float) -> None:
    """Counts one latency, given in seconds."""
    units = min(MAX_LATENCY_UNITS, max(1, round(seconds / RESOLUTION_SECONDS)))
    histogram.record_value(units)


def encode(histogram: HdrHistogram) -> str:
    """Encodes a histogram as ASCII text."""
    return str(histogram.encode().decode("ascii"))


def merge(encoded: Iterable[str]) -> str:
    """Adds encoded histograms, and encodes their sum."""
    total = new_histogram()
    for text in encoded:
        total.decode_and_add(text)
    return encode(total)


def quantiles(encoded: str, percentiles: Iterable[float]) -> list[float]:
    """Returns latencies in seconds at percentiles of an encoded histogram.

    Args:
        encoded: The histogram; if it is empty, every latency is 0.
        percentiles: The percentiles, from 0 to 100.
    """
    histogram = new_histogram()
    histogram.decode_and_add(encoded)
    return [
        histogram.get_value_at_percentile(percentile) * RESOLUTION_SECONDS
        for percentile in percentiles
    ]
