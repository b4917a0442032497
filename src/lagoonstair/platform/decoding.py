"""Decoding of JSON that other writers have produced."""

from typing import Annotated, TypeVar

import msgspec

DecodedT = TypeVar("DecodedT")

MAX_NUMBER = 2**63 - 1
"""Greatest number that is accepted; it fits into messages between instances."""

Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A count, a sequence number or a time, which is never negative."""

Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=200, pattern=r"^[!-~]+\Z")
]
"""A name that becomes a field of a line: printable ASCII without blanks."""


class UnreadableError(Exception):
    """A value is not JSON of the expected type, range, depth and size."""


def decode_json(value: bytes, kind: type[DecodedT]) -> DecodedT:
    """Decodes JSON of which nothing is known.

    Args:
        value: The bytes to decode.
        kind: The type to decode as.

    Raises:
        UnreadableError: The value is not valid; also if a field that the type
            lacks is nested too deeply, or a number has too many digits.
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.MsgspecError, ValueError, OverflowError) as exc:
        raise UnreadableError(str(exc)) from exc
    except RecursionError as exc:
        raise UnreadableError("nested too deeply") from exc
