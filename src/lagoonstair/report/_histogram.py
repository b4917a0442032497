"""Latency histograms of bounded size."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

RESOLUTION_SECONDS = 0.0001
"""Latencies are counted in tenths of milliseconds."""
MAX_LATENCY_UNITS = 600_000
SIGNIFICANT_FIGURES = 2
COUNTER_BYTES = 4


def new_histogram() -> HdrHistogram:
    """Makes an empty histogram; latencies over a minute count as a minute."""
    return HdrHistogram(
        1, MAX_LATENCY_UNITS, SIGNIFICANT_FIGURES, COUNTER_BYTES
    )


def record(histogram: HdrHistogram, seconds: float) -> None:
    """Counts one latency."""
    units = min(MAX_LATENCY_UNITS, max(1, round(seconds / RESOLUTION_SECONDS)))
    histogram.record_value(units)


def encode(histogram: HdrHistogram) -> str:
    """Writes a histogram as text."""
    return str(histogram.encode().decode("ascii"))


def merge(encoded: Iterable[str]) -> str:
    """Adds encoded histograms."""
    total = new_histogram()
    for text in encoded:
        total.decode_and_add(text)
    return encode(total)


def quantiles(encoded: str, percentiles: Iterable[float]) -> list[float]:
    """Reads percentiles, in seconds; 0 for an empty histogram."""
    histogram = new_histogram()
    histogram.decode_and_add(encoded)
    return [
        histogram.get_value_at_percentile(percentile) * RESOLUTION_SECONDS
        for percentile in percentiles
    ]
