"""Latency histograms of bounded size."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

UNIT_SECONDS = 0.0001
"""Latencies are counted in tenths of milliseconds."""
MAX_UNITS = 600_000
SIGNIFICANT_FIGURES = 2
WORD_BYTES = 4


def make() -> HdrHistogram:
    """Makes an empty histogram; latencies over a minute count as a minute."""
    return HdrHistogram(1, MAX_UNITS, SIGNIFICANT_FIGURES, WORD_BYTES)


def record(histogram: HdrHistogram, seconds: float) -> None:
    """Counts one latency."""
    units = min(MAX_UNITS, max(1, round(seconds / UNIT_SECONDS)))
    histogram.record_value(units)


def encode(histogram: HdrHistogram) -> str:
    """Writes a histogram as text."""
    return str(histogram.encode().decode("ascii"))


def merge(encoded: Iterable[str]) -> str:
    """Adds encoded histograms."""
    total = make()
    for text in encoded:
        total.decode_and_add(text)
    return encode(total)


def quantiles(encoded: str, percentiles: Iterable[float]) -> list[float]:
    """Reads percentiles, in seconds; 0 for an empty histogram."""
    histogram = make()
    histogram.decode_and_add(encoded)
    return [
        histogram.get_value_at_percentile(percentile) * UNIT_SECONDS
        for percentile in percentiles
    ]
