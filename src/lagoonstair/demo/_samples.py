"""The declarations of the two sample deployments."""

import importlib.resources

import msgspec

from lagoonstair.config import ApplyBody

_FILES = importlib.resources.files("lagoonstair.demo")

SCHEMA = (_FILES / "schema.sql").read_text(encoding="utf-8")
"""The SQL script that every sample database starts from."""


def load_sample(name: str) -> ApplyBody:
    """Reads a sample's declarations: ``medostreh`` or ``vembanad``."""
    text = (_FILES / f"{name}.json").read_text(encoding="utf-8")
    return msgspec.json.decode(text, type=ApplyBody)
