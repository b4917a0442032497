"""Runs the platform stand-in as a process of its own."""

import functools
import sys

import defopt
import msgspec
import trio

from lagoonstair.standins.platform import PlatformConfig, PlatformStandin

USAGE_ERROR = 2
"""The exit status for a configuration that cannot be read."""


def run(*, config: str) -> None:
    """Serves a platform stand-in until it is stopped.

    The first line of the output is the port that it listens on.

    Args:
        config: A JSON document, or the path of a file that holds one.
    """
    try:
        cfg = PlatformConfig.from_text(config)
    except (msgspec.MsgspecError, OSError) as exc:
        print(f"config: {exc}", file=sys.stderr)
        sys.exit(USAGE_ERROR)
    trio.run(_serve, cfg)


async def _serve(cfg: PlatformConfig) -> None:
    standin = PlatformStandin.from_config(cfg)
    async with trio.open_nursery() as nursery:
        serve = functools.partial(standin.serve, cfg.host, cfg.port)
        port = await nursery.start(serve)
        print(port, flush=True)


if __name__ == "__main__":
    defopt.run(run)
