"""The listing of instances and groups, whose changes are visible late."""

import msgspec

from lagoonstair.ports import ListedGroup, ListedInstance, Listing


class ListingChange(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A change of the listing.

    Attributes:
        instances: The new instances; ``None`` keeps the present ones.
        groups: The new groups; ``None`` keeps the present ones.
    """

    instances: tuple[ListedInstance, ...] | None = None
    groups: tuple[ListedGroup, ...] | None = None


class LaggingListing:
    """All versions of the listing with the times of their changes.

    Attributes:
        lag: The delay before a change is visible, in seconds.
        reordered: Whether every second answer is the previous version, with
            its entries in reverse order.
    """

    def __init__(self, first: ListingChange, *, lag: float) -> None:
        empty = Listing(version=0, instances=(), groups=())
        self._versions = [(float("-inf"), _apply_change(empty, first))]
        self._answer_count = 0
        self.lag = lag
        self.reordered = False

    def change(self, change: ListingChange, now: float) -> Listing:
        """Changes the listing at time ``now``; returns its new version."""
        listing = _apply_change(self._versions[-1][1], change)
        self._versions.append((now, listing))
        return listing

    def visible_at(self, now: float) -> Listing:
        """Returns the version that callers see at time ``now``."""
        visible = [
            listing
            for changed_at, listing in self._versions
            if changed_at + self.lag <= now
        ]
        self._answer_count += 1
        if not self.reordered or self._answer_count % 2 == 1:
            return visible[-1]
        return _reversed(visible[max(0, len(visible) - 2)])


def _apply_change(listing: Listing, change: ListingChange) -> Listing:
    instances, groups = change.instances, change.groups
    return Listing(
        version=listing.version + 1,
        instances=listing.instances if instances is None else instances,
        groups=listing.groups if groups is None else groups,
    )


def _reversed(listing: Listing) -> Listing:
    return Listing(
        version=listing.version,
        instances=listing.instances[::-1],
        groups=listing.groups[::-1],
    )
