"""Describes unexpected exceptions without revealing any value."""

import pathlib
import traceback


def describe_exception(exc: BaseException) -> str:
    """Returns an exception's type and the file and line that raised it.

    The message is omitted, since it may contain a key or a statement's values.
    Of an exception group, the first exception that is no group is described.
    """
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return type(exc).__name__
    last = frames[-1]
    file = pathlib.Path(last.filename).name
    return f"{type(exc).__name__} at {file}:{last.lineno}"
