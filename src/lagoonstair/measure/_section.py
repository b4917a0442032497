"""One of the measures, ready to be shown beside its baseline."""

import msgspec


class Bar(msgspec.Struct, frozen=True):
    """One figure beside its baseline.

    Attributes:
        label: What was run.
        value: The figure.
        baseline: The figure of the baseline under the same seed.
    """

    label: str
    value: float
    baseline: float


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """One measure.

    Attributes:
        name: Its name, also of its plot's file.
        unit: The unit of its figures.
        baseline: What the baseline is.
        method: How it was measured.
        bars: The figures.
        rows: Everything that the runs returned.
    """

    name: str
    unit: str
    baseline: str
    method: str
    bars: list[Bar]
    rows: list[dict[str, object]]
