"""Whom the tool talks to, and with which key."""

import os
import urllib.parse
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

import msgspec

from lagoonstair._types import Address
from lagoonstair.cli._exits import UsageError

OPERATOR_URL_VARIABLE = "LAGOONSTAIR_OPERATOR_URL"
OPERATOR_KEY_VARIABLE = "LAGOONSTAIR_OPERATOR_KEY"
CALLER_URL_VARIABLE = "LAGOONSTAIR_CALLER_URL"
CALLER_KEY_VARIABLE = "LAGOONSTAIR_CALLER_KEY"
PROFILE_VARIABLE = "LAGOONSTAIR_PROFILE"


class Profile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A JSON file with addresses and keys.

    Attributes:
        operator_urls: Where instances listen for operators.
        operator_key: The operator's key.
        caller_url: Where an instance listens for callers.
        caller_key: A caller's key, for ``lagoonstair request``.
    """

    operator_urls: list[str] = []
    operator_key: str = ""
    caller_url: str = ""
    caller_key: str = ""


class Target(NamedTuple):
    """Addresses to try in turn, and the key to bring.

    Attributes:
        addresses: At least one address.
        key: The key; it is never printed. Empty for open routes.
    """

    addresses: tuple[Address, ...]
    key: str

    def __repr__(self) -> str:
        return f"Target({', '.join(map(str, self.addresses))})"


def resolve_operator_target(
    urls: str, key_file: str, profile: str, env: Mapping[str, str] = os.environ
) -> Target:
    """Finds the operators' listeners and the operator's key.

    Options go before the environment, and the environment before the file.

    Raises:
        UsageError: An address or the key is missing or malformed.
    """
    file = _load_profile(profile or env.get(PROFILE_VARIABLE, ""))
    text = urls or env.get(OPERATOR_URL_VARIABLE, "")
    given = text.split(",") if text else file.operator_urls
    key = (
        _read_key(key_file)
        or env.get(OPERATOR_KEY_VARIABLE)
        or file.operator_key
    )
    if not given:
        raise UsageError(
            f"no operator address: use --operator or {OPERATOR_URL_VARIABLE}"
        )
    if not key:
        raise UsageError(
            f"no operator key: use --key-file or {OPERATOR_KEY_VARIABLE}"
        )
    return Target(tuple(map(parse_url, given)), key)


def resolve_caller_target(
    url: str, key_file: str, profile: str, env: Mapping[str, str] = os.environ
) -> Target:
    """Finds the callers' listener and a caller's key.

    Raises:
        UsageError: The address is missing or malformed.
    """
    file = _load_profile(profile or env.get(PROFILE_VARIABLE, ""))
    given = url or env.get(CALLER_URL_VARIABLE) or file.caller_url
    key = _read_key(key_file) or env.get(CALLER_KEY_VARIABLE) or file.caller_key
    if not given:
        raise UsageError(
            f"no caller address: use --caller or {CALLER_URL_VARIABLE}"
        )
    return Target((parse_url(given),), key)


def parse_url(text: str) -> Address:
    """Reads ``http://host:port``; the scheme may be left out.

    Raises:
        UsageError: It names no host and port.
    """
    url = text.strip() if "://" in text else f"http://{text.strip()}"
    try:
        parts = urllib.parse.urlsplit(url)
        port = parts.port
    except ValueError as exc:
        raise UsageError(f"{text}: {exc}") from exc
    if parts.scheme != "http" or not parts.hostname or port is None:
        raise UsageError(f"{text}: expected http://HOST:PORT")
    return Address(parts.hostname, port)


def _load_profile(path: str) -> Profile:
    if not path:
        return Profile()
    try:
        return msgspec.json.decode(read_file(path), type=Profile)
    except msgspec.MsgspecError as exc:
        raise UsageError(f"{path}: {exc}") from exc


def _read_key(path: str) -> str:
    if not path:
        return ""
    key = read_file(path).decode("ascii", errors="replace").strip()
    if not key.isascii() or not key.isprintable() or not key:
        raise UsageError(f"{path}: holds no key")
    return key


def read_file(path: str) -> bytes:
    """Reads a file.

    Raises:
        UsageError: It can't be read.
    """
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        raise UsageError(f"{path}: {exc.strerror}") from exc
