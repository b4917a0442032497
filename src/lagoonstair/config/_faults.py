"""Faults of bad input, each with its place."""

import json
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from pydantic import ValidationError

from lagoonstair.exceptions import ErrorKind, LagoonstairError

MAX_RENDERED_CHARACTERS = 80
"""The longest part of a found value that is shown, in characters."""

_UNION_TAGS = frozenset({"number", "param"})


class Fault(NamedTuple):
    """One fault of an input.

    Attributes:
        path: The place, as ``templates.shop.rate``.
        expected: What may stand there.
        found: What stands there.
    """

    path: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"{self.path}: expected {self.expected}, found {self.found}"


class InvalidInputError(LagoonstairError):
    """Bad input; nothing was changed.

    Attributes:
        faults: Every fault that was found.
    """

    def __init__(self, faults: Iterable[Fault]) -> None:
        self.faults = tuple(faults)
        text = "; ".join(map(str, self.faults))
        super().__init__(ErrorKind.BAD_REQUEST, text)


def render_value(value: Any) -> str:
    """Renders a found value, cut to a bounded length."""
    text = json.dumps(value, default=str)
    return (
        text
        if len(text) <= MAX_RENDERED_CHARACTERS
        else text[:MAX_RENDERED_CHARACTERS] + "..."
    )


def faults_from_validation(exc: ValidationError, path: str) -> list[Fault]:
    """Converts the errors of a validation, below a path."""
    return [
        _fault(error["type"], error, path)
        for error in exc.errors(include_url=False, include_context=True)
    ]


def _fault(kind: str, error: Any, path: str) -> Fault:
    place = join_path(path, error["loc"])
    match kind:
        case "missing":
            return Fault(place, "a value", "nothing")
        case "extra_forbidden" | "unexpected_keyword_argument":
            return Fault(place, "no such field", render_value(error["input"]))
        case _:
            expected = _expected(error["msg"])
            return Fault(place, expected, render_value(error["input"]))


def _expected(message: str) -> str:
    _, found, rest = message.partition(" should ")
    return rest.removeprefix("be ") if found else message


def join_path(path: str, loc: Sequence[str | int]) -> str:
    """Joins a path and the location inside it."""
    parts = [str(part) for part in _without_tags(loc)]
    return ".".join([path, *parts] if path else parts) or "body"


def _without_tags(loc: Sequence[str | int]) -> Iterable[str | int]:
    """Drops the tags by which pydantic names the branch of a union.

    The tag follows the field's name, and the parameter's own field
    (``param``) follows the tag, so only the first of two goes.
    """
    previous: str | int = 0
    for part in loc:
        if part in _UNION_TAGS and previous not in _UNION_TAGS:
            previous = part
            continue
        previous = part
        yield part
