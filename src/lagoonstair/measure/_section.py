"""The results of one measurement, as the report shows them."""

import msgspec


class Bar(msgspec.Struct, frozen=True):
    """One measured value, compared with the baseline.

    Attributes:
        label: The name of the case that was run.
        value: The measured value, in the unit of the section.
        baseline: The value of the baseline under the same seed.
    """

    label: str
    value: float
    baseline: float


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """The results of one measurement.

    Attributes:
        name: The name of the measurement; the plot's file is named after it.
        unit: The unit of the values.
        baseline: A description of the baseline.
        method: How the values were measured.
        bars: The values, one for each case.
        rows: The full results of all runs.
    """

    name: str
    unit: str
    baseline: str
    method: str
    bars: list[Bar]
    rows: list[dict[str, object]]
