"""Exit codes of the tool and the errors that they stand for."""

import enum

from lagoonstair.exceptions import ErrorKind, LagoonstairError, Outcome


class Exit(enum.IntEnum):
    """Exit code of the tool.

    Attributes:
        DONE: The command succeeded; a change is in force on every instance
            that has to confirm it.
        REFUSED: The request was refused; nothing was changed or run.
        USAGE: The command line, a file or the settings are invalid.
        UNKNOWN: The outcome is unknown, and the command may have taken
            effect. Repeat it with the operation id that it printed.
        UNREACHABLE: No instance could be reached; nothing was sent.
        NOT_IN_FORCE: The change is durable and will come into force, but
            some instances have not confirmed it.
        ATTENTION: The command succeeded, and its output calls for action.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    UNREACHABLE = 4
    NOT_IN_FORCE = 5
    ATTENTION = 6


class UnreachableError(Exception):
    """No connection could be opened; nothing was sent."""


class UsageError(Exception):
    """The command line, a file or an environment variable is invalid."""


def exit_code_for(exc: Exception) -> Exit:
    """Returns the exit code that belongs to an error."""
    match exc:
        case UsageError():
            return Exit.USAGE
        case UnreachableError():
            return Exit.UNREACHABLE
        case LagoonstairError(kind=ErrorKind.INTERNAL):
            return Exit.UNKNOWN
        case LagoonstairError() if exc.response.outcome is Outcome.UNKNOWN:
            return Exit.UNKNOWN
    return Exit.REFUSED
