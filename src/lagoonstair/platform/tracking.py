"""Tracking of a session from the messages that pass between both its ends."""

from collections.abc import Callable

from lagoonstair.platform import lines
from lagoonstair.statements import ErrorCode, TransactionState


class SessionTracker:
    """Derives a session's state from its data, which may be cut anywhere.

    The first message that the serving side sends is the greeting. Each
    ``READY`` after it answers the oldest unanswered message of the caller.

    Attributes:
        first: The caller's oldest unanswered message, without its terminator;
            ``None`` if there is no whole one.
        state: The session's state, as of the last whole answer.
        answered: The number of the caller's messages that were answered.
        is_greeted: Whether the greeting has arrived.
        has_partial_answer: Whether a part of an answer has arrived, or an
            error that nothing follows.
        on_answer: Called with each message that was answered, the session's
            state before it, and the error line; the line is empty without an
            error.
        fault: Why the serving side's data can not be an answer; empty as long
            as it can. Nothing may be passed to the tracker after a fault.
    """

    def __init__(self) -> None:
        self._answers = lines.LineSplitter()
        self._requests = lines.LineSplitter()
        self.first: bytes | None = None
        self._has_result = False
        self._has_error = False
        self._error = b""
        self.on_answer: (
            Callable[[bytes, TransactionState, str], None] | None
        ) = None
        self.state = TransactionState.IDLE
        self.answered = 0
        self.is_greeted = False
        self.has_partial_answer = False
        self.fault = ""

    @property
    def is_waiting(self) -> bool:
        """Whether a whole message of the caller is unanswered."""
        return self.first is not None

    @property
    def has_unanswered(self) -> bool:
        """Whether a message of the caller, or a part of one, is unanswered."""
        return self.is_waiting or self._requests.pending > 0

    @property
    def unanswered_bytes(self) -> int:
        """Size (bytes) of the caller's data that is not answered."""
        return self._requests.pending + len(self.first or b"")

    @property
    def has_ended(self) -> bool:
        """Whether the last message is an error, which may end the session."""
        return self._has_error and not self._answers.pending

    def first_query(self) -> lines.Query | None:
        """Returns the oldest unanswered statement.

        Returns:
            The statement; ``None`` if there is none, or if it is incomplete or
            unreadable.
        """
        return parse_query(self.first)

    @property
    def only_query(self) -> lines.Query | None:
        """The unanswered statement; ``None`` if there are none or several."""
        return None if self._requests.pending else self.first_query()

    @property
    def is_released(self) -> bool:
        """Whether all that is unanswered is the end of the session."""
        return isinstance(_parse(self.first), lines.Release)

    def feed_request(self, chunk: bytes) -> None:
        """Tracks data of the caller."""
        self._requests.feed(chunk)
        if self.first is None:
            self._take_request()

    def drop_first(self) -> None:
        """Removes the oldest unanswered message, which was not passed on."""
        self._take_request()

    def take_unanswered(self) -> bytes:
        """Removes and returns the caller's data that is not answered."""
        first, self.first = self.first, None
        whole = b"" if first is None else first + lines.LINE_END
        return whole + self._requests.take_remaining()

    def feed_answer(self, chunk: bytes) -> int:
        """Tracks data of the serving side.

        Returns:
            The number of bytes to forward. It is less than the chunk's size
            after a fault, of which nothing is forwarded: the chunk is then cut
            behind the last whole answer.
        """
        was_partial = self.has_partial_answer
        end = 0
        self._answers.feed(chunk)
        try:
            while (line := self._answers.next_line()) is not None:
                if self._take_answer_line(line):
                    end = len(chunk) - self._answers.pending
                    was_partial = False
            if self._answers.pending:
                self._check_requested()
        except lines.BadLineError as exc:
            self.fault = str(exc)
            self.has_partial_answer = was_partial
            return end
        self.has_partial_answer = end < len(chunk)
        return len(chunk)

    def _take_request(self) -> None:
        """Makes the next message of the caller the oldest unanswered one."""
        try:
            self.first = self._requests.next_line()
        except lines.BadLineError:
            # The serving side refuses it as well, and ends the session.
            self.first = self._requests.take_remaining()

    def _check_requested(self) -> None:
        """Checks that the serving side has something to answer.

        Raises:
            BadLineError: It sends data that the caller did not ask for.
        """
        if self.is_greeted and not self.has_unanswered:
            raise lines.BadLineError(ErrorCode.MALFORMED, "unasked answer")

    def _take_answer_line(self, line: bytes) -> bool:
        """Tracks a message of the serving side.

        Returns:
            Whether it ends an answer.

        Raises:
            BadLineError: No answer has this message at this place.
        """
        self._check_requested()
        match line.partition(b" ")[0]:
            case b"ROW" if self.is_greeted and not self._has_result:
                return False
            case b"COMPLETE" if self.is_greeted and not self._has_result:
                self._has_result = True
                return False
            case b"ERROR" if not self._has_result:
                self._has_result = self._has_error = True
                self._error = line
                self.is_greeted = True
                return False
            case b"READY" if not self.is_greeted:
                self.state = lines.parse_ready(line)
                self.is_greeted = True
                return True
            case b"READY" if self._has_result and self.first is not None:
                state = lines.parse_ready(line)
                if self.on_answer is not None:
                    error = self._error.decode("latin-1")
                    self.on_answer(self.first, self.state, error)
                self.state = state
                self._has_result = self._has_error = False
                self._error = b""
                self.answered += 1
                self._take_request()
                return True
            case _:
                raise lines.BadLineError(
                    ErrorCode.MALFORMED, "unknown or misplaced message"
                )


def parse_query(line: bytes | None) -> lines.Query | None:
    """Returns the statement of a caller's message.

    Returns:
        The statement; ``None`` without a message, or if it is another one.
    """
    message = _parse(line)
    return message if isinstance(message, lines.Query) else None


def _parse(line: bytes | None) -> lines.CallerMessage | None:
    if line is None:
        return None
    try:
        return lines.parse_caller_line(line)
    except lines.BadLineError:
        # The serving side refuses it, and counts it there.
        return None
