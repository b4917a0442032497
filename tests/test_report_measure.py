"""Tests of the report that the measurements write."""

import msgspec

from lagoonstair.measure._page import write_report
from lagoonstair.measure._section import Bar, Section


def test_page_shows_each_value_beside_its_baseline(tmp_path):
    section = Section(
        name="failover gap",
        unit="seconds",
        baseline="a <lease>",
        method="model groups",
        bars=[Bar("killed", 1.25, 16.5)],
        rows=[{"gap": 1.25}],
    )
    write_report([section], tmp_path)
    page = (tmp_path / "index.html").read_text()
    assert "<td>1.25</td><td>16.5</td>" in page
    assert "<lease>" not in page
    assert (tmp_path / "failover-gap.png").read_bytes()[1:4] == b"PNG"
    content = (tmp_path / "measures.json").read_bytes()
    assert msgspec.json.decode(content, type=list[Section]) == [section]
