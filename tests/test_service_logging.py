"""Log lines of the daemon, with messages of any characters."""

import json

import pytest
from loguru import logger

from lagoonstair.service._logging import set_up_logging
from lagoonstair.settings._settings import LogSettings

TEXT = "a\nb\r\nc\x00\x1b[2J\x85\u2028é"


@pytest.fixture
def restored_logging():
    yield
    logger.remove()
    logger.configure(extra={}, patcher=lambda record: None)


# Guards against a message from outside that forges a log line.
@pytest.mark.parametrize("json_lines", [False, True])
def test_a_message_of_any_characters_stays_one_line(
    json_lines, capsys, restored_logging
):
    set_up_logging(LogSettings(json_lines=json_lines), "i1")
    logger.warning("refused: {}", TEXT)
    printed = capsys.readouterr().err
    assert printed.count("\n") == 1
    if json_lines:
        assert json.loads(printed)["record"]["message"] == f"refused: {TEXT}"
    else:
        assert len(printed.splitlines()) == 1
        assert printed.endswith(
            r"refused: a\nb\r\nc\x00\x1b[2J\x85\u2028é" + "\n"
        )
