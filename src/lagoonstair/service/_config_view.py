"""Interface through which the service reads the configuration."""

from typing import Protocol

from lagoonstair.config import Configuration


class ConfigView(Protocol):
    """Access to the configuration in force on this instance."""

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        ...

    def require_fresh(self, now: float) -> Configuration:
        """Returns the configuration in force, if it is provably recent.

        Args:
            now: The current time, in seconds of trio's clock.

        Raises:
            LagoonstairError: ``NOT_FRESH``; a newer configuration may have been
                accepted.
        """
        ...

    async def wait_version(self, version: int) -> None:
        """Waits until a configuration version or a later one is in force."""
        ...
