"""Tells what is true of several attempts at one request together."""

from dataclasses import dataclass

from lagoonstair.exceptions import ErrorKind, LagoonstairError, Outcome


@dataclass(slots=True)
class Attempts:
    """What is known after the attempts so far.

    Attributes:
        maybe_ran: Whether an attempt may have run.
        last: The last error.
    """

    maybe_ran: bool = False
    last: LagoonstairError | None = None

    def note(self, exc: LagoonstairError) -> None:
        """Takes the error of one more attempt."""
        self.maybe_ran |= exc.answer.outcome is Outcome.UNKNOWN
        self.last = exc

    def failure(self, otherwise: str) -> LagoonstairError:
        """The error that is true of all attempts together.

        Args:
            otherwise: What to say when no attempt was made.
        """
        last = self.last
        if last is None:
            last = LagoonstairError(ErrorKind.UNAVAILABLE, otherwise)
        if self.maybe_ran and last.answer.outcome is not Outcome.UNKNOWN:
            return LagoonstairError(
                ErrorKind.OUTCOME_UNKNOWN,
                "an attempt may have run; repeat with the same request id",
            )
        return last
