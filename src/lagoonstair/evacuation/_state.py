"""The set of evacuated failure domains, as one instance knows it."""

import math
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

HARD_STOP_FRACTION = 0.5
"""Fraction of the bound, counted from when the instance learned of an
evacuation, after which it also stops using a primary there. The rest covers the
time until the instance learned of it."""

STOP_MARGIN_FRACTION = 0.1
"""Fraction of the bound that is left after the hard stop at the latest, for
statements that are being sent."""

RETURN_SECONDS = 3.0
"""Time (s) over which the reads return to a domain. It exceeds the time in
which gossip tells all instances, so that they don't return together."""

RESTORE_SECONDS = 10.0
"""Time (s) after a restore of the store from an older copy within which the
operator writes its rows again."""

UNKNOWN = (0, 0)
"""The version, as era and store version, of a set that is not known yet."""


class EvacuationSet(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated domains as of one answer of the store.

    The fields go over the wire by position.

    Attributes:
        era: The number of the store's history.
        version: The newest store version when it answered.
        domains: The domains that the table names, sorted.
        held: Domains that are evacuated although the restored table lacks
            them.
        held_seconds: Seconds for which ``held`` still applies.
    """

    era: int
    version: int
    domains: tuple[str, ...] = ()
    held: tuple[str, ...] = ()
    held_seconds: float = 0.0


class Returned(NamedTuple):
    """A domain that is no longer evacuated.

    Attributes:
        domain: The domain.
        seconds: How long it was evacuated, as this instance knew it.
    """

    domain: str
    seconds: float


class Change(NamedTuple):
    """What an applied set has changed.

    Attributes:
        evacuated: The domains that are evacuated from now on, sorted.
        returned: Those that are not any longer, sorted.
    """

    evacuated: tuple[str, ...] = ()
    returned: tuple[Returned, ...] = ()


class _Evacuated(NamedTuple):
    """When a domain was learned to be evacuated, and its hard stop, in s."""

    since: float
    stops_at: float


class Evacuations:
    """Tracks the evacuated domains of one instance.

    All times are in seconds on the local monotonic clock.

    Attributes:
        bound: Time in seconds from the acknowledgement of an evacuation until
            no request may reach the domain; ``None`` if nothing is evacuated
            in this deployment.
        known: The era and store version up to which the set is known.
        shown: Those of the first answer that showed the present set.
    """

    def __init__(self, bound: float | None = None) -> None:
        self.bound = bound
        self.known = UNKNOWN
        self.shown = UNKNOWN
        self._table: frozenset[str] = frozenset()
        self._held: frozenset[str] = frozenset()
        self._held_until = -math.inf
        self._evacuated: dict[str, _Evacuated] = {}
        self._returned_at: dict[str, float] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether domains can be evacuated."""
        return self.bound is not None

    @property
    def is_known(self) -> bool:
        """Whether any answer of the store, or of a peer, has shown the set."""
        return self.known != UNKNOWN

    @property
    def domains(self) -> frozenset[str]:
        """The domains that are evacuated now."""
        return frozenset(self._evacuated)

    @property
    def is_active(self) -> bool:
        """Whether any domain is evacuated."""
        return bool(self._evacuated)

    @property
    def is_returning(self) -> bool:
        """Whether a domain has returned lately."""
        return bool(self._returned_at)

    def is_evacuated(self, domain: str) -> bool:
        """Returns whether a domain is evacuated."""
        return domain in self._evacuated

    def is_stopped(self, domain: str, now: float) -> bool:
        """Returns whether primaries in a domain may not be used any more."""
        known = self._evacuated.get(domain)
        return known is not None and now >= known.stops_at

    def seconds(self, domain: str, now: float) -> float:
        """Returns for how many seconds a domain has been evacuated, or 0."""
        known = self._evacuated.get(domain)
        return 0.0 if known is None else now - known.since

    def stop_after(self, domain: str, now: float) -> float:
        """Returns the seconds until the hard stop of an evacuated domain."""
        return max(0.0, self._evacuated[domain].stops_at - now)

    def return_share(self, domain: str, now: float) -> float:
        """Returns the share of the reads that consider a domain, 0 to 1."""
        if domain in self._evacuated:
            return 0.0
        returned_at = self._returned_at.get(domain, -math.inf)
        return min(1.0, max(0.0, (now - returned_at) / RETURN_SECONDS))

    def newer_than(
        self, known: tuple[int, int], now: float
    ) -> EvacuationSet | None:
        """Returns the set if it has changed since a version.

        Args:
            known: The era and store version up to which a peer knows the set.
            now: The current time.
        """
        if not self.is_enabled or self.shown <= known:
            return None
        held_seconds = max(0.0, self._held_until - now)
        return EvacuationSet(
            *self.known,
            tuple(sorted(self._table)),
            tuple(sorted(self._held)) if held_seconds else (),
            round(held_seconds, 3),
        )

    def apply(
        self, new: EvacuationSet, now: float, *, current_at: float
    ) -> Change:
        """Applies a whole set unless a newer one is known.

        An instance may learn of a domain long after its evacuation, at its
        start for example. A domain that may have been evacuated a whole bound
        ago has its hard stop at once.

        Args:
            new: The set.
            now: The current time.
            current_at: The newest time for which the set known before is
                certain to have been the newest; negative infinity if none.
        """
        version = (new.era, new.version)
        if not self.is_enabled or version < self.known:
            return Change()
        domains = frozenset(filter(None, new.domains))
        if self.is_known and new.era > self.known[0]:
            self._hold(self.domains, now + RESTORE_SECONDS)
        if new.held_seconds > 0:
            # The sender learned of the restore before this instance did.
            until = now + min(new.held_seconds, RESTORE_SECONDS)
            self._hold(self._held | {*new.held}, until)
        if (
            not self.is_known
            or domains != self._table
            or new.era > self.shown[0]
        ):
            self.shown = version
        self.known = version
        self._table = domains
        return self._update(now, current_at)

    def apply_rows(
        self,
        version: tuple[int, int],
        present: Iterable[str],
        removed: Iterable[str],
        now: float,
        *,
        current_at: float,
    ) -> Change:
        """Applies changed rows, which a feed of the table has told.

        Args:
            version: The era and store version of the answer.
            present: The domains whose row was written.
            removed: The domains whose row was removed.
            now: The current time.
            current_at: See ``apply``.
        """
        if version[0] != self.known[0]:
            # The changes belong to another history than the known rows.
            return Change()
        domains = (self._table - {*removed}) | {*present}
        new = EvacuationSet(*version, tuple(sorted(domains)))
        return self.apply(new, now, current_at=current_at)

    def expire(self, now: float) -> Change:
        """Ends what has ended by the passing of time."""
        self._returned_at = {
            domain: at
            for domain, at in self._returned_at.items()
            if now - at < RETURN_SECONDS
        }
        if not self._held or now < self._held_until:
            return Change()
        return self._update(now, now)

    def _hold(self, domains: frozenset[str], until: float) -> None:
        self._held = domains
        self._held_until = until

    def _update(self, now: float, current_at: float) -> Change:
        """Derives the evacuated domains from the table and the held ones."""
        if now >= self._held_until:
            self._held = frozenset()
        domains = self._table | self._held
        evacuated = sorted(domains - self._evacuated.keys())
        returned = sorted(self._evacuated.keys() - domains)
        stops_at = self._stops_at(now, current_at)
        for domain in evacuated:
            self._evacuated[domain] = _Evacuated(now, stops_at)
            self._returned_at.pop(domain, None)
        ended = []
        for domain in returned:
            since = self._evacuated.pop(domain).since
            self._returned_at[domain] = now
            ended.append(Returned(domain, now - since))
        return Change(tuple(evacuated), tuple(ended))

    def _stops_at(self, now: float, current_at: float) -> float:
        """Returns the hard stop of a domain that is learned to be evacuated.

        No row can have been acknowledged before ``current_at``, or the
        instance would have known it.
        """
        bound = self.bound or 0.0
        latest = current_at + bound * (1 - STOP_MARGIN_FRACTION)
        return max(now, min(now + bound * HARD_STOP_FRACTION, latest))
