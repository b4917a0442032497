"""The faults that a test can set."""

import msgspec


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that one caller, or all callers, meet.

    Attributes:
        down: Every call is answered 503 and has no effect.
        slow_seconds: How long a call waits before its effect. The effect
            takes place even if the caller has gone meanwhile.
        slow_answer_seconds: How long the answer waits after the effect.
        answer_lost: A change takes effect and is answered 504.
    """

    down: bool = False
    slow_seconds: float = 0.0
    slow_answer_seconds: float = 0.0
    answer_lost: bool = False


class FaultSet(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All faults in force.

    Attributes:
        all: What callers meet that ``instances`` does not name.
        instances: What single instances meet, by name.
        listing_lag: Seconds after which a change of the list is shown; None
            keeps the lag as it is.
        listing_reordered: Every second listing is an earlier version, with
            its entries in reverse order.
    """

    all: Faults = Faults()
    instances: dict[str, Faults] = {}
    listing_lag: float | None = None
    listing_reordered: bool = False

    def for_instance(self, instance: str) -> Faults:
        """Returns the faults that an instance meets."""
        return self.instances.get(instance, self.all)
