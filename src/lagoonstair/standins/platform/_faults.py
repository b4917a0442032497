"""The faults that the platform stand-in can inject."""

import msgspec


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The faults that affect the calls of one instance or of all.

    Attributes:
        down: Whether calls have no effect and are answered with 503.
        slow_seconds: The delay before a call takes effect, in seconds. It
            takes effect even if the caller has disconnected meanwhile.
        slow_answer_seconds: The delay between effect and answer, in seconds.
        answer_lost: Whether calls that change data take effect, but are
            answered with 504.
    """

    down: bool = False
    slow_seconds: float = 0.0
    slow_answer_seconds: float = 0.0
    answer_lost: bool = False


class FaultSet(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All faults that are injected.

    Attributes:
        all: The faults for instances that ``instances`` doesn't name.
        instances: The faults for single instances, by name.
        listing_lag: The delay before a change of the listing is visible, in
            seconds; ``None`` keeps the present delay.
        listing_reordered: Whether every second listing is the previous
            version, with its entries in reverse order.
    """

    all: Faults = Faults()
    instances: dict[str, Faults] = {}
    listing_lag: float | None = None
    listing_reordered: bool = False

    def for_instance(self, instance: str) -> Faults:
        """Returns the faults that affect an instance's calls."""
        return self.instances.get(instance, self.all)
