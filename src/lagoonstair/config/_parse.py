"""Reads and writes the values of a configuration as JSON."""

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
    """What was kept or sent can't be read by this program."""


@cache
def _cached_adapter(kind: Hashable) -> TypeAdapter[Any]:
    any_kind: Any = kind
    return TypeAdapter(any_kind)


def _adapter(kind: Any) -> TypeAdapter[Any]:
    return _cached_adapter(kind)


def parse_json(content: bytes) -> dict[str, Any]:
    """Reads a JSON object.

    Raises:
        InvalidInputError: The content is no JSON object.
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
    """Reads a value of a type from JSON-like data.

    Raises:
        InvalidInputError: Names every fault below ``path``.
    """
    try:
        # Strict reading takes lists for tuples only from JSON text.
        read: ValueT = _adapter(kind).validate_json(json.dumps(value))
    except ValidationError as exc:
        raise InvalidInputError(faults_from_validation(exc, path)) from exc
    return read


def decode(kind: type[ValueT], content: bytes) -> ValueT:
    """Reads what ``encode`` wrote.

    Raises:
        UnreadableError: Another program version wrote it, or it is damaged.
    """
    try:
        read: ValueT = _adapter(kind).validate_json(content)
    except ValidationError as exc:
        message = f"no {kind.__name__}: {exc.error_count()} faults"
        raise UnreadableError(message) from exc
    return read


def encode(kind: Any, value: Any) -> bytes:
    """Writes a value of a type as JSON."""
    return _adapter(kind).dump_json(value)
