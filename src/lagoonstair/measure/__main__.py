"""Runs the four measurements and writes their report into a directory."""

from pathlib import Path

import defopt
from loguru import logger

from lagoonstair.measure._collect import failover, limits, replica_reads
from lagoonstair.measure._page import write_report
from lagoonstair.measure._section import Section

OUTPUT = "build/measure"
"""Default directory of the report, relative to the working directory."""


def report(*, output: str = OUTPUT, runs: int = 20, seed: int = 1) -> None:
    """Measures failover, replica reads, refusals and the worst workspace.

    Args:
        output: The directory that the report is written into.
        runs: The number of failovers of each cause and deployment.
        seed: The seed of the runs; the failovers of a cause count up from it.
    """
    logger.remove()
    sections = [failover(runs, seed), replica_reads(seed), *limits()]
    folder = Path(output)
    write_report(sections, folder)
    for section in sections:
        print(_format_section(section))
    print(f"written to {folder / 'index.html'}")


def _format_section(section: Section) -> str:
    head = f"{section.name} ({section.unit}; baseline: {section.baseline})"
    rows = [
        f"  {bar.label:<40}{bar.value:>10.4g}{bar.baseline:>10.4g}"
        for bar in section.bars
    ]
    return "\n".join([head, *rows, ""])


if __name__ == "__main__":
    defopt.run(report)
