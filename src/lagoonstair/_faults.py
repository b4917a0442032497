"""Describes unexpected errors without repeating any value."""

import pathlib
import traceback


def describe_exception(exc: BaseException) -> str:
    """Names an error's type and the line that raised it.

    The message is left out, since it may hold a key or a statement's values.
    """
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return type(exc).__name__
    last = frames[-1]
    file = pathlib.Path(last.filename).name
    return f"{type(exc).__name__} at {file}:{last.lineno}"
