"""The exit codes of the tool."""

import enum

from lagoonstair.exceptions import ErrorKind, LagoonstairError, Outcome


class Exit(enum.IntEnum):
    """What the tool's exit code tells a program.

    Attributes:
        DONE: Done; a change is in force on every instance it must be.
        REFUSED: Refused; nothing was changed or run.
        USAGE: The command line, a file or the settings are wrong.
        UNKNOWN: No answer came; it may be done. Repeat the command with the
            operation id that it printed.
        UNREACHABLE: No instance could be reached; nothing was sent.
        NOT_IN_FORCE: The change is durable and will be in force, but some
            instances have not confirmed it.
        ATTENTION: The command ran and what it shows needs attention.
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
    """The command line, a file or an environment variable is wrong."""


def exit_code_for(exc: Exception) -> Exit:
    """Returns the exit code of an error."""
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
