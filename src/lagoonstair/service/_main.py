"""Command line interface of the daemon."""

import pathlib
import signal
import sys

import defopt
import trio
from loguru import logger

from lagoonstair.exceptions import LagoonstairError
from lagoonstair.service._daemon import Daemon
from lagoonstair.service._logging import set_up_logging
from lagoonstair.settings import Settings, load_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def main() -> None:
    """Runs the daemon and exits with the code that ``serve`` returns."""
    sys.exit(defopt.run(serve, argv=sys.argv[1:]))


def serve(*, config: pathlib.Path) -> int:
    """Serves callers, operators and peers until SIGTERM.

    Exit codes: 0 after a shutdown that completed all requests, 1 after a
    failure or if requests were aborted at the drain limit, 2 for invalid
    settings.

    Args:
        config: The JSON file with the instance's settings.
    """
    try:
        settings = load_settings(config)
    except LagoonstairError as exc:
        print(f"{config}: {exc.message}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    set_up_logging(settings.log, settings.name)
    exit_code = EXIT_FAILED
    try:
        exit_code = trio.run(run_until_signal, settings)
    except* OSError as group:
        for error in flatten_exceptions(group):
            logger.error("cannot serve: {}", error)
    return exit_code


def flatten_exceptions(
    group: BaseExceptionGroup[BaseException],
) -> list[BaseException]:
    """Returns the exceptions in a group and, recursively, in its subgroups."""
    return [
        leaf
        for exc in group.exceptions
        for leaf in (
            flatten_exceptions(exc)
            if isinstance(exc, BaseExceptionGroup)
            else [exc]
        )
    ]


async def run_until_signal(settings: Settings) -> int:
    """Runs a daemon, drains it on SIGTERM or SIGINT, returns the exit code."""
    daemon = Daemon(settings)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_drain_on_signal, signals, daemon)
            await daemon.run()
            nursery.cancel_scope.cancel()
    return EXIT_OK if daemon.drained_cleanly else EXIT_FAILED


async def _drain_on_signal(signals: object, daemon: Daemon) -> None:
    async for number in signals:  # type: ignore[attr-defined]
        logger.info("received signal {}; draining", number)
        daemon.request_drain()
