"""Records of a group in the store and reports exchanged between instances."""

import msgspec


class PendingPromotion(msgspec.Struct, frozen=True, kw_only=True):
    """A promotion that the platform may have accepted, without known effect.

    Attributes:
        endpoint: The endpoint that was to become primary.
        started: The start time of the endpoint's process, as it reports it.
    """

    endpoint: str
    started: int


class GroupRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The store's record of a group's primary.

    Attributes:
        epoch: A number that increases with every change of this record.
        primary: The primary; during a promotion, the previous one.
        term: The term that the primary leads, as far as observed.
        promoting: The instance that runs a promotion; empty without one.
        pending: The promotions that may still take effect, in the order of
            their calls. Each is written before its call.
    """

    epoch: int
    primary: str
    term: int = 0
    promoting: str = ""
    pending: tuple[PendingPromotion, ...] = ()


class Duty(msgspec.Struct, frozen=True, kw_only=True):
    """The store's record of the exclusive right to run promotions.

    Attributes:
        holder: The instance that may promote.
        fence: The fencing token that it sends to the platform.
    """

    holder: str
    fence: int


class GroupReport(msgspec.Struct, frozen=True, array_like=True):
    """One instance's report to another about one group.

    The fields go over the wire by position.

    Attributes:
        group: The name of the group.
        epoch: The newest epoch that the sender knows; higher than the store's
            while the sender is about to start a promotion.
        released_epoch: The epoch up to which it uses no earlier primary any
            more.
        term: The term of the primary's last known log position.
        offset: The offset of that position; -1 when the sender knows none.
        position_age: Seconds since the request was sent that the primary
            answered with that position.
        unreachable_for: Seconds for which it has been unable to reach the
            primary; 0 when it reaches it; -1 when it does not know, because
            the primary has neither failed nor answered within the last second.
    """

    group: str
    epoch: int
    released_epoch: int
    term: int
    offset: int
    position_age: float
    unreachable_for: float
