"""Strict codec of the stand-ins for the line protocol.

It shares no code with the proxy, so that an error in the proxy's own codec
shows as a difference. Messages end with CR LF alone; a CR or an LF by itself is
data.
"""

from typing import NamedTuple

END = b"\r\n"

MAX_MESSAGE_BYTES = 2**20
"""Size limit of a message without its end, in bytes."""


class StrictError(Exception):
    """A message violates the protocol."""


class Prepared(NamedTuple):
    """A prepared statement.

    Attributes:
        kind: ``READ`` or ``WRITE``.
        shape: The statement's text.
    """

    kind: str
    shape: str


class Parsed(NamedTuple):
    """A statement as an endpoint understands it.

    Attributes:
        verb: The verb, such as ``WRITE``; empty if it is not valid.
        name: The variable or the prepared name.
        item: The item, the value or the shape.
        data: The data of a write, or the kind of a shape.
        after: The position that an ``AFTER`` prefix requires.
    """

    verb: str
    name: str = ""
    item: str = ""
    data: str = ""
    after: tuple[int, int] | None = None


def take_messages(buffer: bytearray) -> list[bytes]:
    """Removes the complete messages from a buffer and returns them.

    Raises:
        StrictError: A message is too long.
    """
    *messages, rest = bytes(buffer).split(END)
    # A CR at the end may be the first byte of the message's end.
    unfinished = rest.removesuffix(b"\r")
    if any(len(text) > MAX_MESSAGE_BYTES for text in (*messages, unfinished)):
        raise StrictError("a message is too long")
    buffer[:] = rest
    return messages


def encode_message(*fields: str) -> bytes:
    """Encodes one message.

    Raises:
        StrictError: A field contains the end of a message, or one before the
            last contains a blank.
    """
    text = " ".join(fields).encode("latin-1")
    if END in text or any(" " in field for field in fields[:-1]):
        raise StrictError(f"not one message: {fields}")
    return text + END


def split_start(message: bytes) -> tuple[str, list[str]]:
    """Returns the group and the expected endpoint's name, if any, of a START.

    Raises:
        StrictError: It is not a START for an endpoint.
    """
    verb, *fields = message.decode("latin-1").split(" ")
    if verb != "START" or len(fields) not in (2, 3) or not all(fields):
        raise StrictError(f"not a START: {message!r}")
    return fields[0], fields[2:]


def split_query(message: bytes) -> tuple[str, str]:
    """Returns request id and text of a QUERY.

    Raises:
        StrictError: It is not a QUERY.
    """
    verb, _, rest = message.decode("latin-1").partition(" ")
    request_id, blank, text = rest.partition(" ")
    if verb != "QUERY" or not request_id or not blank:
        raise StrictError(f"not a QUERY: {message!r}")
    return request_id, text


def parse_statement(text: str) -> Parsed:
    """Parses a statement's text.

    Raises:
        StrictError: An ``AFTER`` prefix has no position.
    """
    verb, _, rest = text.partition(" ")
    if verb == "AFTER":
        position, _, statement = rest.partition(" ")
        term, dot, number = position.partition(".")
        if not (dot and term.isdecimal() and number.isdecimal()):
            raise StrictError(f"not a position: {position}")
        parsed = parse_statement(statement)
        return parsed._replace(after=(int(term), int(number)))
    if verb in ("COMMIT", "ROLLBACK", "STATUS", "RESET", "RESUME"):
        return Parsed(verb if not rest else "")
    if verb == "BEGIN":
        return Parsed(verb if rest in ("", "READ") else "", data=rest)
    if verb in ("READ", "DEALLOC", "DEMOTE", "SUSPEND"):
        return Parsed(verb if rest else "", item=rest)
    first, blank, others = rest.partition(" ")
    if not first or not blank:
        return Parsed("")
    if verb == "WRITE":
        return Parsed(verb, item=first, data=others)
    if verb == "SET":
        return Parsed(verb, name=first, item=others)
    if verb == "EXECUTE":
        item, _, data = others.partition(" ")
        return Parsed(verb if item else "", name=first, item=item, data=data)
    if verb == "PREPARE":
        kind, blank, shape = others.partition(" ")
        is_valid = kind in ("READ", "WRITE") and blank
        return Parsed(verb if is_valid else "", first, shape, kind)
    return Parsed("")
