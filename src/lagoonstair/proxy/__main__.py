"""Entry point of an instance."""

import sys

import trio
from loguru import logger

from lagoonstair.proxy._clock import BootClock
from lagoonstair.proxy._daemon import Instance
from lagoonstair.proxy._log import log_event, set_up_logging
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._settings import (
    InstanceSettings,
    SettingsError,
    load_settings,
)

RETRY_SECONDS = 2.0
"""Interval (s) between attempts to read settings that are missing or
invalid."""


async def _run() -> None:
    settings = await _wait_settings()
    set_up_logging(settings.instance)
    log_event("starting", failure_domain=settings.failure_domain)
    await Instance(settings, Metrics()).run()
    log_event("stopped")


async def _wait_settings() -> InstanceSettings:
    """Reads the settings, and retries until they are valid.

    Each distinct error is logged once in a row.
    """
    logged = ""
    while True:
        try:
            return load_settings()
        except SettingsError as exc:
            if str(exc) != logged:
                logged = str(exc)
                set_up_logging("")
                log_event("settings invalid", cause=logged)
            await trio.sleep(RETRY_SECONDS)


def main() -> None:
    """Runs an instance until it receives a signal to stop."""
    try:
        trio.run(_run, clock=BootClock())
    except KeyboardInterrupt:
        sys.exit(130)
    except BaseException:
        logger.exception("instance failed")
        raise


if __name__ == "__main__":
    main()
