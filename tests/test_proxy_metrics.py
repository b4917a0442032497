"""The metrics page, with label values of any characters."""

import re

import pytest

from lagoonstair.proxy._metrics import Metrics

SAMPLE = re.compile(
    r'lagoonstair_calls_total\{endpoint="((?:[^"\\\n]|\\[\\"n])*)"\} 1'
)
UNESCAPED = {r"\\": "\\", r"\"": '"', r"\n": "\n"}


# Guards against a label value that ends its sample and adds others.
@pytest.mark.parametrize(
    "value",
    [
        "d1",
        'd"1',
        "d\\",
        '\\"',
        "d\nlagoonstair_calls_total 7",
        "\\n",
        "d\r\x00\x85\u2028é",
        "",
    ],
)
def test_a_label_value_of_any_characters_stays_one_sample(value):
    metrics = Metrics()
    metrics.count("calls", endpoint=value)
    page = metrics.render()
    assert page.endswith("\n")
    sample = SAMPLE.fullmatch(page[:-1])
    assert sample is not None, page
    read = re.sub(
        r'\\[\\"n]', lambda found: UNESCAPED[found.group()], sample.group(1)
    )
    assert read == value
