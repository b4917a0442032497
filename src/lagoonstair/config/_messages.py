"""The messages between instances."""

import msgspec

from lagoonstair.config._model import MemberId


class Delta(msgspec.Struct, frozen=True, kw_only=True):
    """What lies between two versions.

    Attributes:
        accepted: The greatest version that the sender knows as accepted.
        entries: Entries of the log, in order.
        snapshot: The state before the entries, for one that is too far back.
    """

    accepted: int
    entries: tuple[bytes, ...] = ()
    snapshot: bytes | None = None


class ConfigPush(msgspec.Struct, frozen=True):
    """Brings new versions; answered with a ``Word``."""

    delta: Delta


class ConfigFetch(msgspec.Struct, frozen=True):
    """Asks for what follows a version; answered with a ``Delta``."""

    after: int


class ConfigAsk(msgspec.Struct, frozen=True):
    """Asks for a ``Word``."""


class VersionReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance says of itself.

    Attributes:
        name: Its name.
        incarnation: Which of its runs.
        version: The version in force.
        accepted: The greatest version that it knows as accepted.
        votes: Whether it may be counted in a majority.
        proof_version: The version of its latest proof.
        proof_age: Seconds since it asked for that proof, if it has one.
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
        """The speaker's name and incarnation."""
        return MemberId(self.name, self.incarnation)
