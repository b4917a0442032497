"""Messages of the HTTP endpoint protocol that are not part of the port."""

import msgspec

from lagoonstair.ports import EndpointRefusal

INSTANCE_HEADER = "x-instance"
"""Header with the caller's name: an instance or a member of the group."""

CALL_HEADER = "x-call-id"
"""Header with the call id that matches a control call and its answer."""

REFUSED_STATUS = 409
"""The HTTP status of a refusal."""


class Connect(msgspec.Struct, frozen=True):
    """Reserves one of the endpoint's connections for statements."""

    call_id: int


class Rollback(msgspec.Struct, frozen=True):
    """Rolls back the open transaction of the connection, if there is one."""

    call_id: int


class Acknowledged(msgspec.Struct, frozen=True):
    """The answer to ``Connect`` and ``Rollback``."""

    call_id: int


class Fence(msgspec.Struct, frozen=True):
    """Requests ``term`` exclusively for one candidate."""

    term: int
    candidate: str


class Promote(msgspec.Struct, frozen=True):
    """Makes the member the primary of ``term``."""

    term: int
    candidate: str


class Follow(msgspec.Struct, frozen=True):
    """Tells the member which endpoint is the primary of ``term``."""

    term: int
    primary: str


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a refusal, which means that nothing was run.

    Attributes:
        refusal: The reason for the refusal.
        message: The endpoint's description of the error.
        call_id: The id of the refused call; 0 for a control call.
        term: The endpoint's term; 0 if it is not stated.
    """

    refusal: EndpointRefusal
    message: str
    call_id: int = 0
    term: int = 0
