"""Logging setup of the daemon."""

import re
import sys
from typing import TYPE_CHECKING

from loguru import logger

from lagoonstair.settings import LogSettings

if TYPE_CHECKING:
    from loguru import Record

LINE = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} "
    "{extra[instance]} {name}: {message}"
)

CONTROLS = re.compile(r"[\x00-\x1f\x7f-\x9f\u2028\u2029]")
"""Characters that may end a line or control a terminal."""


def _escape_message(record: "Record") -> None:
    record["message"] = CONTROLS.sub(
        lambda found: found.group().encode("unicode_escape").decode(),
        record["message"],
    )


def set_up_logging(settings: LogSettings, instance: str) -> None:
    """Configures logging to standard error.

    Tracebacks are written without the values of variables, so that neither
    keys nor statement parameters reach the log.

    Args:
        settings: The log level and format.
        instance: The name of the instance, included in each line.
    """
    logger.remove()
    logger.configure(
        extra={"instance": instance},
        # JSON escapes control characters by itself.
        patcher=None if settings.json_lines else _escape_message,
    )
    logger.add(
        sys.stderr,
        level=settings.level,
        format=LINE,
        serialize=settings.json_lines,
        backtrace=False,
        diagnose=False,
    )
