"""Measures costs, with each run in a process of its own.

The processes run one after the other.
"""

import datetime
import os
import subprocess
import sys
from pathlib import Path

import defopt
import msgspec

from lagoonstair.capacity._fit import Point, Slope
from lagoonstair.capacity._fleet import compute_loads
from lagoonstair.capacity._measures import MEASURES, Measure

OUTPUT = Path("build/capacity")
"""Directory of the results, relative to the working directory."""


def run(*, only: str = "", one: str = "", size: int = 0) -> None:
    """Measures the cost per unit and writes it as JSON and as a table.

    The loads of the fleet are written too if everything was measured.

    Args:
        only: Run only the measurements whose name contains this text.
        one: Run only this measurement, at one size, and print its cost.
        size: The size for ``--one``.

    Raises:
        subprocess.CalledProcessError: A run failed.
    """
    if one:
        print(MEASURES[one].run(size))
        return
    slopes = []
    for name, measure in MEASURES.items():
        if only in name:
            slopes.append(_measure(name, measure))
            print(_format_row(slopes[-1]), flush=True)
    _write_results(slopes)


def _write_results(slopes: list[Slope]) -> None:
    OUTPUT.mkdir(parents=True, exist_ok=True)
    (OUTPUT / "slopes.json").write_bytes(
        msgspec.json.format(msgspec.json.encode(slopes))
    )
    head = "| measure | slope | least | greatest | unit | sizes |"
    line = "| --- " * 6 + "|"
    rows = "\n".join(_format_row(slope) for slope in slopes)
    load = os.getloadavg()[0]
    host = f"{datetime.date.today()}, load {load:.1f}, {os.cpu_count()} cores"
    (OUTPUT / "slopes.md").write_text(f"{host}\n\n{head}\n{line}\n{rows}\n")
    if len(slopes) == len(MEASURES):
        (OUTPUT / "loads.md").write_text(_format_loads(slopes))


def _format_loads(slopes: list[Slope]) -> str:
    values = {slope.name: slope.value for slope in slopes}
    (status,) = (slope for slope in slopes if slope.name == "status_bytes")
    values["status_first_bytes"] = status.repeats[0][0].cost
    rows = "\n".join(
        f"| {load.role} | {load.what} | {load.value:.3g} | {load.unit} |"
        for load in compute_loads(values)
    )
    return f"| role | what | value | unit |\n{'| --- ' * 4}|\n{rows}\n"


def _measure(name: str, measure: Measure) -> Slope:
    repeats = [
        [
            Point(size, _run_in_new_process(name, size) * measure.scale)
            for size in measure.sizes
        ]
        for _ in range(measure.repeats)
    ]
    return Slope.from_repeats(name, measure.unit, repeats)


def _run_in_new_process(name: str, size: int) -> float:
    """Runs a measurement in a new process.

    A run in the same process could reuse memory that an earlier one freed.

    Args:
        name: The name of the measurement.
        size: The size of the run.

    Returns:
        The cost, in the unit that the measurement's function returns.

    Raises:
        subprocess.CalledProcessError: The run failed.
    """
    command = [
        sys.executable,
        "-m",
        "lagoonstair.capacity",
        f"--one={name}",
        f"--size={size}",
    ]
    done = subprocess.run(command, check=True, capture_output=True, text=True)
    return float(done.stdout)


def _format_row(slope: Slope) -> str:
    sizes = ", ".join(str(point.size) for point in slope.repeats[0])
    return (
        f"| {slope.name} | {slope.value:.3g} | {slope.low:.3g} "
        f"| {slope.high:.3g} | {slope.unit} | {sizes} |"
    )


if __name__ == "__main__":
    defopt.run(run)
