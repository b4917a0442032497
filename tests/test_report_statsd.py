"""Prefixes of the metrics that are sent to statsd."""

import pydantic
import pytest

from lagoonstair.report import Metrics
from lagoonstair.settings._settings import StatsdSettings


# Guards against a prefix that becomes other metrics or values.
@pytest.mark.parametrize("prefix", ["a:1|c", "a\nb", "a|b", "a b", "a\n", "@"])
def test_a_statsd_prefix_with_separators_is_refused(prefix):
    with pytest.raises(pydantic.ValidationError):
        StatsdSettings(host="127.0.0.1", prefix=prefix)


def test_a_statsd_prefix_of_name_characters_is_used():
    settings = pydantic.TypeAdapter(StatsdSettings).validate_json(
        '{"host": "127.0.0.1", "prefix": "Fleet-1.lagoon_stair"}'
    )
    metrics = Metrics.from_settings(settings)
    metrics.close()
    assert settings.prefix == "Fleet-1.lagoon_stair"
