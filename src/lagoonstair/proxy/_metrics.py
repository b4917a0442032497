"""Counters, gauges and latency histograms in Prometheus text format."""

import bisect
import itertools
from collections import Counter
from collections.abc import Iterator

BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
"""Upper bounds (s) of the histogram buckets, which cover the range of the
routes' target latencies."""

Labels = tuple[tuple[str, str], ...]

ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})
"""Characters that the text format requires to be escaped in a label value."""


class Metrics:
    """The metrics of one process since its start."""

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, Labels]] = Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[tuple[str, Labels], list[int]] = {}
        self._sums: Counter[tuple[str, Labels]] = Counter()

    def count(self, name: str, **labels: str) -> None:
        """Increments a counter by one."""
        self._counters[name, tuple(labels.items())] += 1

    def set(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._gauges[name] = value

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Adds a duration to a histogram."""
        key = name, tuple(labels.items())
        buckets = self._histograms.setdefault(key, [0] * (len(BUCKETS) + 1))
        buckets[bisect.bisect_left(BUCKETS, seconds)] += 1
        self._sums[key] += seconds  # type: ignore[assignment]

    def render(self) -> str:
        """Returns all metrics as text, one sample per line."""
        return "\n".join(itertools.chain(self._lines(), [""]))

    def _lines(self) -> Iterator[str]:
        for (name, labels), value in sorted(self._counters.items()):
            yield f"lagoonstair_{name}_total{_render(labels)} {value}"
        for name, number in sorted(self._gauges.items()):
            yield f"lagoonstair_{name} {number}"
        for (name, labels), buckets in sorted(self._histograms.items()):
            bounds = [*map(str, BUCKETS), "+Inf"]
            totals = itertools.accumulate(buckets)
            for bound, total in zip(bounds, totals, strict=True):
                rendered = _render((*labels, ("le", bound)))
                yield f"lagoonstair_{name}_seconds_bucket{rendered} {total}"
            rendered = _render(labels)
            total = self._sums[name, labels]
            yield f"lagoonstair_{name}_seconds_sum{rendered} {total}"
            yield f"lagoonstair_{name}_seconds_count{rendered} {sum(buckets)}"


def _render(labels: Labels) -> str:
    if not labels:
        return ""
    inner = ",".join(
        f'{name}="{value.translate(ESCAPES)}"' for name, value in labels
    )
    return "{" + inner + "}"
