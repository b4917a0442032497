"""The list of instances and groups, shown with a lag."""

import msgspec

from lagoonstair.ports import ListedGroup, ListedInstance, Listing


class ListingChange(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A change of the list; what is None stays as it is."""

    instances: tuple[ListedInstance, ...] | None = None
    groups: tuple[ListedGroup, ...] | None = None


class LaggingListing:
    """Every version of the list with the time of its change.

    Attributes:
        lag: Seconds after which a change is shown.
        reordered: Whether every second answer is an earlier version.
    """

    def __init__(self, first: ListingChange, *, lag: float) -> None:
        empty = Listing(version=0, instances=(), groups=())
        self._versions = [(float("-inf"), _changed(empty, first))]
        self._answers = 0
        self.lag = lag
        self.reordered = False

    def change(self, change: ListingChange, now: float) -> Listing:
        """Changes the list at ``now`` and returns its new version."""
        listing = _changed(self._versions[-1][1], change)
        self._versions.append((now, listing))
        return listing

    def visible_at(self, now: float) -> Listing:
        """Returns the version that a caller sees at ``now``."""
        shown = [
            listing
            for since, listing in self._versions
            if since + self.lag <= now
        ]
        self._answers += 1
        if not self.reordered or self._answers % 2 == 1:
            return shown[-1]
        return _reversed(shown[max(0, len(shown) - 2)])


def _changed(listing: Listing, change: ListingChange) -> Listing:
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
