"""Messages that instances exchange to synchronize the configuration."""

import msgspec

from lagoonstair.config._model import MemberId


class Delta(msgspec.Struct, frozen=True, kw_only=True):
    """The difference between two versions.

    Attributes:
        accepted: The greatest version known to the sender as accepted.
        entries: Encoded log entries, in order; empty if a snapshot is sent.
        snapshot: The sender's encoded state, sent instead of entries to a
            receiver that lags too far behind for them; ``None`` otherwise.
    """

    accepted: int
    entries: tuple[bytes, ...] = ()
    snapshot: bytes | None = None


class ConfigPush(msgspec.Struct, frozen=True):
    """Delivers new versions; answered with a ``VersionReport``."""

    delta: Delta


class ConfigFetch(msgspec.Struct, frozen=True):
    """Requests the changes after a version; answered with a ``Delta``."""

    after: int


class ConfigAsk(msgspec.Struct, frozen=True):
    """Requests a ``VersionReport``."""


class VersionReport(msgspec.Struct, frozen=True, kw_only=True):
    """An instance's report of its version and freshness proof.

    Attributes:
        name: The instance's name.
        incarnation: Identifies the run of the instance.
        version: The version in force on the instance.
        accepted: The greatest version known to the instance as accepted.
        votes: Whether the instance may be counted in a majority.
        proof_version: The version of its latest valid proof; 0 without one.
        proof_age: Seconds since that proof was requested; ``None`` without
            one.
    """

    name: str
    incarnation: str
    version: int
    accepted: int
    votes: bool
    proof_version: int = 0
    proof_age: float | None = None

    @property
    def id(self) -> MemberId:
        """The reporting instance's name and incarnation."""
        return MemberId(self.name, self.incarnation)
