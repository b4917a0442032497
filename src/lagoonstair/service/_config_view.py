"""What the service needs of the configuration."""

from typing import Protocol

from lagoonstair.config import Configuration


class ConfigView(Protocol):
    """The configuration in force on this instance."""

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        ...

    def require_fresh(self, now: float) -> Configuration:
        """The configuration in force.

        Raises:
            LagoonstairError: ``NOT_FRESH``; a newer one may be accepted.
        """
        ...

    async def wait_version(self, version: int) -> None:
        """Waits until a version, or a later one, is in force."""
        ...
