"""Runs one member of a database group as a process of its own."""

import argparse
import pathlib

import msgspec
import trio

from lagoonstair.standins.database import Database, DatabaseConfig


async def _serve(cfg: DatabaseConfig) -> None:
    database = Database.from_config(cfg)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(database.serve, cfg.host, cfg.port)
        print(msgspec.json.encode({"listening": port}).decode(), flush=True)


def main() -> None:
    """Reads the settings, prints the bound port as JSON and serves.

    Runs until the process is killed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--config", required=True, help="a JSON document, or the path of one"
    )
    text = parser.parse_args().config
    if not text.lstrip().startswith("{"):
        text = pathlib.Path(text).read_text(encoding="utf-8")
    trio.run(_serve, msgspec.json.decode(text, type=DatabaseConfig))


if __name__ == "__main__":
    main()
