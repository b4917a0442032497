"""Configuration documents of the two sample deployments."""

import importlib.resources

import msgspec

from lagoonstair.config import ApplyBody

_FILES = importlib.resources.files("lagoonstair.demo")

SCHEMA = (_FILES / "schema.sql").read_text(encoding="utf-8")
"""SQL script that creates the tables of each sample database."""


def load_sample(name: str) -> ApplyBody:
    """Loads the configuration document of a sample deployment.

    Args:
        name: ``medostreh`` or ``vembanad``.
    """
    text = (_FILES / f"{name}.json").read_text(encoding="utf-8")
    return msgspec.json.decode(text, type=ApplyBody)
