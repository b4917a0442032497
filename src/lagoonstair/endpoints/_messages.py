"""The HTTP messages of the endpoint protocol that the port does not name."""

import msgspec

from lagoonstair.ports import EndpointRefusal

INSTANCE_HEADER = "x-instance"
"""Names the caller, which is an instance or a member of the group."""

CALL_HEADER = "x-call-id"
"""Matches the answer of a control call to the call."""

REFUSED_STATUS = 409
"""The HTTP status of a refusal."""


class Connect(msgspec.Struct, frozen=True):
    """Claims one of the endpoint's connections for statements."""

    call_id: int


class Rollback(msgspec.Struct, frozen=True):
    """Rolls the connection's open transaction back, if there is one."""

    call_id: int


class Acknowledged(msgspec.Struct, frozen=True):
    """The answer to ``Connect`` and ``Rollback``."""

    call_id: int


class Fence(msgspec.Struct, frozen=True):
    """Asks for ``term`` on behalf of one candidate."""

    term: int
    candidate: str


class Promote(msgspec.Struct, frozen=True):
    """Makes the member the primary of ``term``."""

    term: int
    candidate: str


class Follow(msgspec.Struct, frozen=True):
    """Names the primary of ``term``."""

    term: int
    primary: str


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a refusal; nothing was run.

    Attributes:
        call_id: The refused call, 0 for a control call.
        refusal: The reason.
        message: The endpoint's words.
        term: The endpoint's term.
    """

    refusal: EndpointRefusal
    message: str
    call_id: int = 0
    term: int = 0
