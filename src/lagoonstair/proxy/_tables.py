"""Applies store data to the local state and builds updates for peers."""

import zlib

import msgspec
import trio

from lagoonstair.cold import ColdReport
from lagoonstair.evacuation import EvacuationSet
from lagoonstair.homes import InstanceResources
from lagoonstair.platform import discovery, operator
from lagoonstair.platform.store import Rows, StoredRow
from lagoonstair.proxy._config_age import UNKNOWN_AGE_SECONDS, ConfigAge
from lagoonstair.proxy._evacuator import Evacuator
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._registry import Registry
from lagoonstair.routing import Endpoint


class KnownVersions(msgspec.Struct, frozen=True, array_like=True):
    """Versions of the store data that an instance holds.

    The fields go over the wire by position.

    Attributes:
        config_version: The version of its configuration; 0 for none.
        registry_version: The version of its registry.
        endpoints: A checksum of its endpoint entries.
        era: The number of the store's history that the version of its registry
            belongs to.
        evacuations: The era and store version up to which it knows the
            evacuated domains; ``None`` if it does not use them.
    """

    config_version: int
    registry_version: int
    endpoints: int
    era: int = 0
    evacuations: tuple[int, int] | None = None


class Update(msgspec.Struct, frozen=True, array_like=True):
    """Store data that another instance lacks; a part it does not lack is empty.

    The fields go over the wire by position.

    Attributes:
        config: The stored configuration, compressed with zlib.
        registry: The changed registry rows, as key, value and version.
        registry_version: The version of the sender's registry.
        endpoints: The stored discovery entries, as name and value.
        endpoints_age: Seconds since the entries were read from the store.
        era: The number of the store's history that the registry rows belong
            to. They are all rows if the requester's belong to an earlier one.
        config_age: Seconds since the sender's configuration was certainly the
            newest in the store.
        cold: The endpoints that have just started.
        evacuations: The evacuated domains.
    """

    config: bytes | None
    registry: tuple[tuple[str, bytes | None, int], ...]
    registry_version: int
    endpoints: tuple[tuple[str, bytes], ...]
    endpoints_age: float
    era: int = 0
    config_age: float = UNKNOWN_AGE_SECONDS
    cold: tuple[ColdReport, ...] = ()
    evacuations: EvacuationSet | None = None


REWRITE_SECONDS = 3.0
"""Time (s) after a restore of the store within which live endpoints write their
entries again; it takes them about 2 s."""

MAX_LOGGED_FAULTS = 20
"""Number of a configuration's invalid fields that are logged by name."""

EMPTY_UPDATE = Update(None, (), 0, (), 1e6)


class Tables:
    """Applies store data, read from the store or sent by a peer.

    Attributes:
        last_asked_at: When each peer was sent the last request that it
            answered, by name, in seconds.
        endpoints_asked_at: When the store was asked for the known endpoint
            entries, in seconds.
        confirmed_by: The peers that were told the versions of the complete
            local data and sent what it lacked.
        config_age: How current the local configuration is.
        evacuator: Applies the evacuated domains.
    """

    def __init__(
        self,
        fleet: Fleet,
        registry: Registry,
        metrics: Metrics,
        config_age: ConfigAge | None = None,
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self._metrics = metrics
        self._config = b""
        self._unreadable_config = b""
        self._entries: dict[str, bytes] = {}
        self._unreadable: set[str] = set()
        # The entries that say that their endpoint is cold. A warm one replaces
        # such an entry although it is equal, since a new instance reads it.
        self._cold_entries: set[str] = set()
        self._checksum = 0
        self._ages: dict[str, tuple[int, int]] = {}
        self._restored_at = float("-inf")
        self.last_asked_at: dict[str, float] = {}
        self.endpoints_asked_at = float("-inf")
        self.confirmed_by: set[str] = set()
        self.config_age = config_age or ConfigAge()
        self.evacuator = Evacuator(fleet, metrics)

    @property
    def is_confirmed(self) -> bool:
        """Whether the local data is complete and a majority has completed it.

        The peer that sent it first may have been cut off from the store, with
        a configuration that still holds keys withdrawn meanwhile.
        """
        voters = self._fleet.primacy.voters
        is_majority = len(self.confirmed_by & voters) * 2 > len(voters)
        return self.is_complete and is_majority

    @property
    def is_complete(self) -> bool:
        """Whether a configuration, endpoints and evacuations are known."""
        evacuation = self._fleet.evacuation
        return (
            self._fleet.config is not None
            and bool(self._fleet.endpoints)
            and (evacuation.is_known or not evacuation.is_enabled)
        )

    @property
    def awaits_rewrites(self) -> bool:
        """Whether stored entries may still be those of an older copy."""
        return trio.current_time() - self._restored_at < REWRITE_SECONDS

    def note_restore(self) -> None:
        """Records that the store has been restored from an older copy."""
        self._restored_at = trio.current_time()

    def known_versions(self) -> KnownVersions:
        """Returns the versions of the local store data."""
        config = self._fleet.config
        return KnownVersions(
            0 if config is None else config.version,
            self._registry.version,
            self._checksum,
            self._registry.era,
            self._fleet.evacuation.known
            if self._fleet.evacuation.is_enabled
            else None,
        )

    def update_for(self, known: KnownVersions | None) -> Update:
        """Builds the update for a peer.

        Args:
            known: The versions that the peer holds; ``None`` if it wants no
                update.
        """
        if known is None:
            return EMPTY_UPDATE
        own = self.known_versions()
        rows = self._registry.changes_since(known.era, known.registry_version)
        entries: tuple[tuple[str, bytes], ...] = ()
        if own.endpoints != known.endpoints:
            entries = tuple(self._entries.items())
        is_newer = own.config_version > known.config_version
        now = trio.current_time()
        age = min(now - self.endpoints_asked_at, 1e6)
        return Update(
            self._config if is_newer else None,
            tuple((row.key, row.value, row.version) for row in rows),
            own.registry_version,
            entries,
            round(age, 3),
            own.era,
            round(self.config_age.age(now), 3),
            self._fleet.cold.reports(now),
            None
            if known.evacuations is None
            else self._fleet.evacuation.newer_than(known.evacuations, now),
        )

    def apply_update(self, name: str, update: Update, asked_at: float) -> None:
        """Applies the update that a peer sent.

        Args:
            name: The name of the peer.
            update: The update.
            asked_at: When the peer was asked, in seconds.
        """
        self.last_asked_at[name] = asked_at
        if update.evacuations is not None:
            self.evacuator.apply(
                update.evacuations,
                source=name,
                current_at=self.config_age.read_at,
            )
        if update.config is None or self.apply_config(
            zlib.decompress(update.config), source=name
        ):
            self.config_age.note_peer(name, asked_at, update.config_age)
        if update.registry:
            rows = Rows(
                tuple(StoredRow(*row) for row in update.registry),
                update.registry_version,
                0.0,
                asked_at,
                update.era,
            )
            is_newer_era = update.era > self._registry.era
            if is_newer_era and self._registry.era:
                self.note_restore()
            is_applied = (
                self._registry.load(rows)
                if is_newer_era
                else self._registry.apply_changes(rows)
            )
            if is_applied:
                self.apply_registry()
        read_at = asked_at - update.endpoints_age
        if read_at > self.endpoints_asked_at:
            self.endpoints_asked_at = read_at
            if update.endpoints:
                self.apply_endpoints(dict(update.endpoints), is_relayed=True)
        if update.cold:
            fleet = self._fleet
            with fleet.supervisor.contain("cold endpoints", peer=name):
                fleet.cold.apply_reports(fleet.endpoints, update.cold)

    def apply_registry(self) -> None:
        """Applies the registry's records and instances to the local state."""
        for group, record in self._registry.groups.items():
            try:
                self._fleet.set_record(group, record)
            except Exception as exc:
                self._fleet.supervisor.report("group record", exc, group=group)
        self._fleet.primacy.set_voters(
            self._registry.voters(), self._registry.members_version
        )
        places = {
            name: InstanceResources(member.failure_domain, member.capacity)
            for name, member in self._registry.members.items()
        }
        if places != self._fleet.places:
            self._fleet.places = places
            with self._fleet.supervisor.contain("connection budgets"):
                self._fleet.update_budgets()
            log_event(
                "instances changed",
                members=len(places),
                is_direct=self._fleet.homes.is_direct,
                homes=len(self._fleet.homes.names),
            )
        self._fleet.notify_config_listeners()

    def apply_evacuations(
        self, rows: Rows, *, is_whole: bool, source: str
    ) -> None:
        """Applies the operator's rows that evacuate failure domains.

        Args:
            rows: Rows of the operator's table.
            is_whole: Whether they are the whole table.
            source: The call to the store, for the log.
        """
        self.evacuator.apply_rows(
            rows,
            is_whole=is_whole,
            source=source,
            current_at=self.config_age.read_at,
        )

    def apply_config(self, value: bytes, *, source: str) -> bool:
        """Applies a stored configuration if it is valid and newer.

        Args:
            value: The stored configuration.
            source: Where it came from, for the log: the call to the store, or
                the name of a peer.

        Returns:
            Whether it is valid, so that it or a newer one is in force now.
        """
        try:
            config = operator.decode_config(value)
        except operator.BadConfigError as exc:
            log_event("configuration unreadable", cause=str(exc), source=source)
            return False
        if not self._fleet.set_config(config):
            return True
        self._config = zlib.compress(value)
        self._metrics.set("configuration_version", config.version)
        log_event(
            "configuration in force",
            version=config.version,
            routes=len(config.routes),
            keys=len(config.keys),
            source=source,
        )
        if config.faults:
            log_event(
                "configuration fields ignored",
                version=config.version,
                faults=config.faults[:MAX_LOGGED_FAULTS],
                count=len(config.faults),
            )
        return True

    def apply_endpoints(
        self, entries: dict[str, bytes], *, is_relayed: bool = False
    ) -> None:
        """Applies the complete set of endpoint entries.

        Args:
            entries: The entries by the endpoint's name.
            is_relayed: Whether a peer sent them. It may have got some before
                this instance got newer ones, although it asked later.
        """
        present = set()
        for name, value in entries.items():
            if self._apply_endpoint(name, value, is_relayed=is_relayed):
                present.add(name)
        self._unreadable &= entries.keys()
        now = trio.current_time()
        for name in self._fleet.endpoints.keys() - present:
            self._fleet.missing_since.setdefault(name, now)
        for name in self._ages.keys() - self._fleet.endpoints.keys():
            del self._ages[name]
        self._update_checksum()

    def apply_endpoint_change(self, name: str, value: bytes | None) -> None:
        """Applies one endpoint's entry; ``None`` if it was removed."""
        is_usable = value is not None and self._apply_endpoint(name, value)
        if value is None:
            self._unreadable.discard(name)
        if not is_usable:
            self._entries.pop(name, None)
            if name in self._fleet.endpoints:
                now = trio.current_time()
                self._fleet.missing_since.setdefault(name, now)
        self._update_checksum()

    def _apply_endpoint(
        self, name: str, value: bytes, *, is_relayed: bool = False
    ) -> bool:
        """Applies one endpoint's entry; returns whether it names one.

        An entry that cannot be used must not keep the others from being used.
        """
        try:
            return self._use_entry(name, value, is_relayed)
        except Exception as exc:
            if name not in self._unreadable:
                self._fleet.supervisor.report(
                    "endpoint entry", exc, endpoint=name
                )
            self._note_unreadable(name)
            return False

    def _use_entry(self, name: str, value: bytes, is_relayed: bool) -> bool:
        endpoint = discovery.decode_endpoint(name, value)
        if endpoint is None:
            self._note_unreadable(name)
            return False
        self._unreadable.discard(name)
        age = (endpoint.started, endpoint.sequence)
        known_age = self._ages.get(name, age)
        is_same_process = endpoint.started == known_age[0]
        if age < known_age and (
            self.awaits_rewrites or (is_relayed and is_same_process)
        ):
            # The entry of a restored copy or of a peer is older than the known
            # one.
            return name in self._fleet.endpoints
        self._ages[name] = age
        if (
            self._fleet.endpoints.get(name) != endpoint
            or endpoint.cold_left
            or name in self._cold_entries
        ):
            self._entries[name] = value
            if endpoint.cold_left:
                self._cold_entries.add(name)
            else:
                self._cold_entries.discard(name)
        self._entries.setdefault(name, value)
        self._fleet.set_endpoint(endpoint)
        return True

    def _note_unreadable(self, name: str) -> None:
        """Counts an entry that names no endpoint, and logs it once."""
        self._metrics.count("entries_unreadable")
        if name not in self._unreadable:
            self._unreadable.add(name)
            printable = name.encode("ascii", "backslashreplace").decode()
            log_event("endpoint entry unreadable", endpoint=printable)

    def _update_checksum(self) -> None:
        self._cold_entries &= self._entries.keys()
        fields = sorted(
            repr(_checksum_fields(self._fleet.endpoints[name]))
            for name in self._entries
            if name in self._fleet.endpoints
        )
        self._checksum = zlib.crc32("\n".join(fields).encode())


def _checksum_fields(endpoint: Endpoint) -> tuple[object, ...]:
    return (
        endpoint.name,
        endpoint.group,
        endpoint.address,
        endpoint.leaving,
        endpoint.says_primary,
        endpoint.started,
    )
