"""Reads and validates settings."""

import pathlib

import pydantic

from lagoonstair.exceptions import ErrorKind, LagoonstairError
from lagoonstair.settings._settings import Settings

_ADAPTER = pydantic.TypeAdapter(Settings)


def parse_settings(text: str | bytes) -> Settings:
    """Parses and validates settings from JSON.

    Raises:
        LagoonstairError: ``BAD_REQUEST``; lists every fault with its path,
            the expected and the found value, except that the values of
            secrets are omitted.
    """
    try:
        return _ADAPTER.validate_json(text)
    except pydantic.ValidationError as exc:
        faults = [_describe(error) for error in exc.errors(include_url=False)]
        raise LagoonstairError(
            ErrorKind.BAD_REQUEST, "; ".join(faults)
        ) from None


def load_settings(path: str | pathlib.Path) -> Settings:
    """Reads settings from a file.

    Raises:
        LagoonstairError: ``BAD_REQUEST``; the file can't be read, or its
            faults are listed.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise LagoonstairError(
            ErrorKind.BAD_REQUEST, f"{path}: {exc.strerror}"
        ) from exc
    return parse_settings(text)


def _describe(error: object) -> str:
    assert isinstance(error, dict)
    path = ".".join(str(part) for part in error["loc"]) or "settings"
    if error["type"] == "missing":
        return f"{path}: expected a value; found nothing"
    if _is_secret(path):
        return f"{path}: {error['msg']}"
    found = error.get("input")
    if isinstance(found, dict | bytes):
        found = f"a {type(found).__name__}"
    return f"{path}: {error['msg']}; found {found!r}"


def _is_secret(path: str) -> bool:
    """Returns whether the value at a path may contain a secret.

    ``settings`` is the path of the whole document.
    """
    return any(word in path for word in ("secret", "sha256", "settings"))
