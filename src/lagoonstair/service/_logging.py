"""Logging setup of the daemon."""

import sys

from loguru import logger

from lagoonstair.settings import LogSettings

LINE = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} "
    "{extra[instance]} {name}: {message}"
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
    logger.configure(extra={"instance": instance})
    logger.add(
        sys.stderr,
        level=settings.level,
        format=LINE,
        serialize=settings.json_lines,
        backtrace=False,
        diagnose=False,
    )
