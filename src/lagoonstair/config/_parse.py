"""Parses and encodes the values of a configuration as JSON."""

import json
from collections.abc import Hashable
from functools import cache
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError

from lagoonstair.config._faults import (
    Fault,
    InvalidInputError,
    faults_from_validation,
)

ValueT = TypeVar("ValueT")


class UnreadableError(Exception):
    """Stored or received data can't be decoded by this program version."""


@cache
def _cached_adapter(kind: Hashable) -> TypeAdapter[Any]:
    any_kind: Any = kind
    return TypeAdapter(any_kind)


def _adapter(kind: Any) -> TypeAdapter[Any]:
    return _cached_adapter(kind)


def parse_json(content: bytes) -> dict[str, Any]:
    """Parses a JSON object.

    Raises:
        InvalidInputError: The content is not a JSON object.
    """
    try:
        value = json.loads(content)
    except (ValueError, RecursionError) as exc:
        fault = Fault("body", "a JSON object", f"no JSON ({exc})")
        raise InvalidInputError([fault]) from exc
    if not isinstance(value, dict):
        found = type(value).__name__
        raise InvalidInputError([Fault("body", "a JSON object", found)])
    return value


def parse_value(kind: type[ValueT], value: Any, path: str) -> ValueT:
    """Validates JSON-like data as a value of a type.

    Raises:
        InvalidInputError: Lists all faults, with paths below ``path``.
    """
    try:
        # In strict mode pydantic accepts lists as tuples only in JSON text.
        parsed: ValueT = _adapter(kind).validate_json(json.dumps(value))
    except ValidationError as exc:
        raise InvalidInputError(faults_from_validation(exc, path)) from exc
    return parsed


def decode(kind: type[ValueT], content: bytes) -> ValueT:
    """Decodes a value that ``encode`` encoded.

    Raises:
        UnreadableError: Another program version wrote it, or it is damaged.
    """
    try:
        decoded: ValueT = _adapter(kind).validate_json(content)
    except ValidationError as exc:
        message = f"no {kind.__name__}: {exc.error_count()} faults"
        raise UnreadableError(message) from exc
    return decoded


def encode(kind: Any, value: Any) -> bytes:
    """Encodes a value of a type as JSON."""
    return _adapter(kind).dump_json(value)
