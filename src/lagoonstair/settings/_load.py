"""Reads and checks settings."""

import pathlib

import pydantic

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.settings._settings import Settings

_ADAPTER = pydantic.TypeAdapter(Settings)


def parse_settings(text: str | bytes) -> Settings:
    """Parses settings from JSON.

    Raises:
        LagoonstairError: Names every fault with its path, what was expected
            and what was found; secrets are not repeated.
    """
    try:
        return _ADAPTER.validate_json(text)
    except pydantic.ValidationError as exc:
        faults = [_describe(fault) for fault in exc.errors(include_url=False)]
        raise LagoonstairError(
            ErrorKind.BAD_REQUEST, "; ".join(faults)
        ) from None


def load_settings(path: str | pathlib.Path) -> Settings:
    """Reads settings from a file.

    Raises:
        LagoonstairError: The file can't be read, or names its faults.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise LagoonstairError(
            ErrorKind.BAD_REQUEST, f"{path}: {exc.strerror}"
        ) from exc
    return parse_settings(text)


def _describe(fault: object) -> str:
    assert isinstance(fault, dict)
    path = ".".join(str(part) for part in fault["loc"]) or "settings"
    if fault["type"] == "missing":
        return f"{path}: expected a value; found nothing"
    if _is_secret(path):
        return f"{path}: {fault['msg']}"
    found = fault.get("input")
    if isinstance(found, dict | bytes):
        found = f"a {type(found).__name__}"
    return f"{path}: {fault['msg']}; found {found!r}"


def _is_secret(path: str) -> bool:
    return any(word in path for word in ("secret", "sha256", "settings"))
