"""The region of each failure domain, without I/O."""

from collections.abc import Mapping


class RegionMap:
    """The regions of the failure domains.

    A domain that the settings don't name is a region of its own, so it is
    never taken for a near one.

    Attributes:
        names: The names of the regions.
    """

    def __init__(self, region_by_domain: Mapping[str, str]) -> None:
        """Creates the map.

        Args:
            region_by_domain: The region of each failure domain.
        """
        self._region_by_domain = dict(region_by_domain)
        self.names = frozenset(self._region_by_domain.values())

    @property
    def has_several(self) -> bool:
        """Whether there is more than one region."""
        return len(self.names) > 1

    def region(self, failure_domain: str) -> str:
        """Returns the region of a failure domain."""
        return self._region_by_domain.get(failure_domain, failure_domain)

    def is_same(self, failure_domain: str, other: str) -> bool:
        """Returns whether two failure domains are in one region."""
        return self.region(failure_domain) == self.region(other)

    def domains(self) -> frozenset[str]:
        """Returns the names of all known failure domains."""
        return frozenset(self._region_by_domain)

    def domains_in(self, regions: frozenset[str]) -> frozenset[str]:
        """Returns the failure domains that are known to be in some regions."""
        return frozenset(
            domain
            for domain, region in self._region_by_domain.items()
            if region in regions
        )
