"""Faults in input, each with the path of the invalid value."""

import json
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from pydantic import ValidationError

from lagoonstair.exceptions import ErrorKind, LagoonstairError

MAX_RENDERED_CHARACTERS = 80
"""Characters after which an invalid value is truncated in a message."""

_UNION_TAGS = frozenset({"number", "param"})


class Fault(NamedTuple):
    """One fault in an input.

    Attributes:
        path: The path of the invalid value, such as ``templates.shop.rate``.
        expected: A description of the values allowed at the path.
        found: The value found there, as text.
    """

    path: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"{self.path}: expected {self.expected}, found {self.found}"


class InvalidInputError(LagoonstairError):
    """The input is invalid; nothing was changed.

    Attributes:
        faults: All faults found in the input.
    """

    def __init__(self, faults: Iterable[Fault]) -> None:
        self.faults = tuple(faults)
        text = "; ".join(map(str, self.faults))
        super().__init__(ErrorKind.BAD_REQUEST, text)


def render_value(value: Any) -> str:
    """Renders a value as JSON, truncated to a bounded length."""
    text = json.dumps(value, default=str)
    return (
        text
        if len(text) <= MAX_RENDERED_CHARACTERS
        else text[:MAX_RENDERED_CHARACTERS] + "..."
    )


def faults_from_validation(exc: ValidationError, path: str) -> list[Fault]:
    """Converts a validation's errors to faults, with paths below a path."""
    return [
        _fault(error["type"], error, path)
        for error in exc.errors(include_url=False, include_context=True)
    ]


def _fault(kind: str, error: Any, path: str) -> Fault:
    error_path = join_path(path, error["loc"])
    match kind:
        case "missing":
            return Fault(error_path, "a value", "nothing")
        case "extra_forbidden" | "unexpected_keyword_argument":
            return Fault(
                error_path, "no such field", render_value(error["input"])
            )
        case _:
            expected = _expected(error["msg"])
            return Fault(error_path, expected, render_value(error["input"]))


def _expected(message: str) -> str:
    _, found, rest = message.partition(" should ")
    return rest.removeprefix("be ") if found else message


def join_path(path: str, loc: Sequence[str | int]) -> str:
    """Joins a path and a pydantic location below it."""
    parts = [str(part) for part in _without_tags(loc)]
    return ".".join([path, *parts] if path else parts) or "body"


def _without_tags(loc: Sequence[str | int]) -> Iterable[str | int]:
    """Removes the tags that pydantic adds for the branch of a union.

    The tag follows the field's name. The field ``param`` of a ``Param`` may
    follow the tag and equals one of the tags, so only the first of two is
    removed.
    """
    previous: str | int = 0
    for part in loc:
        if part in _UNION_TAGS and previous not in _UNION_TAGS:
            previous = part
            continue
        previous = part
        yield part
