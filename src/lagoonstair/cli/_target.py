"""Resolves the addresses and the key from options, environment and profile."""

import os
import urllib.parse
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

import msgspec

from lagoonstair._types import Address
from lagoonstair.cli._exits import UsageError

OPERATOR_URL_VARIABLE = "LAGOONSTAIR_OPERATOR_URL"
"""Environment variable with operator listeners, separated by commas."""
OPERATOR_KEY_VARIABLE = "LAGOONSTAIR_OPERATOR_KEY"
"""Environment variable with the operator's key."""
CALLER_URL_VARIABLE = "LAGOONSTAIR_CALLER_URL"
"""Environment variable with the address of a caller listener."""
CALLER_KEY_VARIABLE = "LAGOONSTAIR_CALLER_KEY"
"""Environment variable with a caller's key."""
PROFILE_VARIABLE = "LAGOONSTAIR_PROFILE"
"""Environment variable with the path of the profile."""


class Profile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of a profile, a JSON file with addresses and keys.

    Attributes:
        operator_urls: Addresses of operator listeners.
        operator_key: The operator's key.
        caller_url: Address of a caller listener.
        caller_key: A caller's key, for ``lagoonstair request``.
    """

    operator_urls: list[str] = []
    operator_key: str = ""
    caller_url: str = ""
    caller_key: str = ""


class Target(NamedTuple):
    """Addresses to try in turn, and the key to authenticate with.

    Attributes:
        addresses: At least one address.
        key: The key, which is never printed; empty for requests to routes
            that need no key.
    """

    addresses: tuple[Address, ...]
    key: str

    def __repr__(self) -> str:
        return f"Target({', '.join(map(str, self.addresses))})"


def resolve_operator_target(
    urls: str, key_file: str, profile: str, env: Mapping[str, str] = os.environ
) -> Target:
    """Resolves the operator listeners and the operator's key.

    Options take precedence over environment variables, and these over the
    profile.

    Args:
        urls: Addresses from the command line, separated by commas.
        key_file: Path of the key file from the command line.
        profile: Path of the profile from the command line.
        env: The environment variables.

    Raises:
        UsageError: An address or the key is missing or malformed, or a file
            can't be read.
    """
    file_profile = _load_profile(profile or env.get(PROFILE_VARIABLE, ""))
    text = urls or env.get(OPERATOR_URL_VARIABLE, "")
    given_urls = text.split(",") if text else file_profile.operator_urls
    key = (
        _read_key(key_file)
        or env.get(OPERATOR_KEY_VARIABLE)
        or file_profile.operator_key
    )
    if not given_urls:
        raise UsageError(
            f"no operator address: use --operator or {OPERATOR_URL_VARIABLE}"
        )
    if not key:
        raise UsageError(
            f"no operator key: use --key-file or {OPERATOR_KEY_VARIABLE}"
        )
    return Target(tuple(map(parse_url, given_urls)), key)


def resolve_caller_target(
    url: str, key_file: str, profile: str, env: Mapping[str, str] = os.environ
) -> Target:
    """Resolves the caller listener and a caller's key, which may be empty.

    Args:
        url: The address from the command line.
        key_file: Path of the key file from the command line.
        profile: Path of the profile from the command line.
        env: The environment variables.

    Raises:
        UsageError: The address is missing or malformed, or a file can't be
            read.
    """
    file_profile = _load_profile(profile or env.get(PROFILE_VARIABLE, ""))
    given_url = url or env.get(CALLER_URL_VARIABLE) or file_profile.caller_url
    key = (
        _read_key(key_file)
        or env.get(CALLER_KEY_VARIABLE)
        or file_profile.caller_key
    )
    if not given_url:
        raise UsageError(
            f"no caller address: use --caller or {CALLER_URL_VARIABLE}"
        )
    return Target((parse_url(given_url),), key)


def parse_url(text: str) -> Address:
    """Parses ``http://host:port``, where the scheme is optional.

    Raises:
        UsageError: The text has another scheme, or lacks a host or a port.
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
    """Reads a profile; without a path, returns an empty one.

    Raises:
        UsageError: The file can't be read or is invalid.
    """
    if not path:
        return Profile()
    try:
        return msgspec.json.decode(read_file(path), type=Profile)
    except msgspec.MsgspecError as exc:
        raise UsageError(f"{path}: {exc}") from exc


def _read_key(path: str) -> str:
    """Reads a key file; without a path, returns an empty key.

    Raises:
        UsageError: The file can't be read, is empty or has characters other
            than printable ASCII.
    """
    if not path:
        return ""
    key = read_file(path).decode("ascii", errors="replace").strip()
    if not key.isascii() or not key.isprintable() or not key:
        raise UsageError(f"{path}: contains no valid key")
    return key


def read_file(path: str) -> bytes:
    """Reads a file that the command line names.

    Raises:
        UsageError: The file can't be read.
    """
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        raise UsageError(f"{path}: {exc.strerror}") from exc
