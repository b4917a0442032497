"""The decision logic of one instance's configuration replica.

It makes all decisions without I/O, a clock or randomness.
"""

import math
from collections import deque
from collections.abc import Iterable
from itertools import chain, dropwhile
from typing import NamedTuple

from lagoonstair.config._electorates import (
    has_all_majorities,
    prune_electorates,
)
from lagoonstair.config._freshness import (
    FRESHNESS_BOUND_SECONDS,
    Freshness,
    FreshnessProof,
    majority_proof,
    relayed_proof,
)
from lagoonstair.config._log import Entry, LogState
from lagoonstair.config._messages import Delta, VersionReport
from lagoonstair.config._model import MemberId
from lagoonstair.config._state import Configuration

MAX_RECENT_ENTRIES = 256
"""Number of recent log entries kept in memory for lagging peers."""

MAX_TICK_GAP_SECONDS = 2.5
"""Seconds without a tick from which the instance counts as paused."""


class ConfigUpdate(NamedTuple):
    """A transition to a newer version of the configuration.

    Attributes:
        old: The configuration before.
        new: The configuration now in force.
    """

    old: Configuration
    new: Configuration

    @property
    def withdrawn_key_ids(self) -> frozenset[str]:
        """The ids of the keys that were live before and are no longer."""
        return frozenset(self.old.keys) - frozenset(self.new.keys)


class ReplicaCore:
    """One instance's replica of the configuration log.

    Attributes:
        member_id: The instance's name and incarnation.
        log_state: The state in force.
        freshness: The latest freshness proofs.
        accepted: The greatest version known as accepted.
        leaving: Whether the instance is leaving and must not be counted in a
            majority.
    """

    def __init__(
        self,
        member_id: MemberId,
        *,
        bound: float = FRESHNESS_BOUND_SECONDS,
        now: float,
    ) -> None:
        self.member_id = member_id
        self.log_state = LogState()
        self.freshness = Freshness(bound=bound)
        self.accepted = 0
        self.leaving = False
        self._entries: deque[Entry] = deque(maxlen=MAX_RECENT_ENTRIES)
        self._reported_versions: dict[MemberId, int] = {}
        self._ticked_at = now
        self._resumed_at = -math.inf

    @property
    def version(self) -> int:
        """The version in force."""
        return self.log_state.version

    @property
    def joined(self) -> bool:
        """Whether this run is a member."""
        return self.member_id in self.log_state.members

    def set_incarnation(self, incarnation: str) -> None:
        """Sets the incarnation under which the instance joins next."""
        self.member_id = self.member_id._replace(incarnation=incarnation)

    def tick(self, now: float) -> None:
        """Records that the instance is running.

        Must be called at least every ``MAX_TICK_GAP_SECONDS``; after a longer
        gap the instance counts as paused.

        A paused instance may have been replaced meanwhile, so it is not
        counted in a majority until it has a proof requested after the pause.
        """
        if now - self._ticked_at > MAX_TICK_GAP_SECONDS:
            self._resumed_at = now
        self._ticked_at = now

    def is_fresh(self, now: float) -> bool:
        """Returns whether the version in force may be served."""
        return self.freshness.is_fresh(now)

    def apply_entries(self, entries: Iterable[Entry]) -> None:
        """Puts committed entries in force.

        Entries that don't directly follow the version in force are skipped.
        """
        for entry in entries:
            if entry.version == self.version + 1:
                self.log_state = self.log_state.append(entry)
                self._entries.append(entry)
                self._version_advanced()

    def install_state(self, log_state: LogState) -> None:
        """Puts a committed state in force if it is newer than the current."""
        if log_state.version > self.version:
            self.log_state = log_state
            self._entries.clear()
            self._version_advanced()

    def _version_advanced(self) -> None:
        self.accepted = max(self.accepted, self.log_state.accepted)
        self.freshness = self.freshness.with_version(self.version)
        self._drop_former_members()

    def _drop_former_members(self) -> None:
        known = chain.from_iterable(
            electorate.members for electorate in self.log_state.electorates
        )
        versions = self._reported_versions
        self._reported_versions = {
            member_id: versions[member_id]
            for member_id in known
            if member_id in versions
        }

    def delta_after(self, version: int) -> Delta:
        """Returns the difference from a version to the version in force.

        It holds entries if all of them are still in memory, else a snapshot.
        """
        if version >= self.version:
            return Delta(accepted=self.accepted)
        entries = tuple(
            dropwhile(lambda entry: entry.version <= version, self._entries)
        )
        if entries and entries[0].version == version + 1:
            encoded = tuple(entry.to_bytes() for entry in entries)
            return Delta(accepted=self.accepted, entries=encoded)
        snapshot = self.log_state.to_snapshot()
        return Delta(accepted=self.accepted, snapshot=snapshot)

    def apply_delta(self, delta: Delta) -> None:
        """Puts the versions that a peer sent in force."""
        if delta.snapshot is not None:
            self.install_state(LogState.from_snapshot(delta.snapshot))
        self.apply_entries(map(Entry.from_bytes, delta.entries))
        self.record_accepted(delta.accepted)

    def record_accepted(self, version: int) -> None:
        """Records an accepted version, at most the version in force."""
        self.accepted = max(self.accepted, min(version, self.version))

    def version_report(self, now: float) -> VersionReport:
        """Returns this instance's report of its version and proof."""
        proof = self.freshness.proof
        fresh = self.is_fresh(now)
        return VersionReport(
            name=self.member_id.name,
            incarnation=self.member_id.incarnation,
            version=self.version,
            accepted=self.accepted,
            votes=self._can_vote(now),
            proof_version=proof.version if fresh else 0,
            proof_age=self.freshness.age(now) if fresh else None,
        )

    def _can_vote(self, now: float) -> bool:
        ticking = now - self._ticked_at <= MAX_TICK_GAP_SECONDS
        proved = self.freshness.proof.asked_at >= self._resumed_at
        return self.joined and ticking and proved and not self.leaving

    def record_report(self, report: VersionReport) -> None:
        """Records a peer's version and advances the accepted version."""
        previous = self._reported_versions.get(report.id, 0)
        self._reported_versions[report.id] = max(previous, report.version)
        self.accepted = max(self.accepted, min(report.accepted, self.version))
        self._advance_accepted()

    def _advance_accepted(self) -> None:
        if self.accepted == self.version:
            return
        candidates = {self.version, *self._reported_versions.values()}
        self.accepted = max(
            (
                version
                for version in candidates
                if version <= self.version and self.is_accepted(version)
            ),
            default=self.accepted,
        )

    def reported_version(self, member: MemberId) -> int:
        """Returns the greatest version reported by a member; 0 if none."""
        return self._reported_versions.get(member, 0)

    def is_accepted(self, version: int) -> bool:
        """Returns whether a version is known to be accepted."""
        if version <= self.accepted:
            return True
        if version > self.version:
            return False
        confirmed = self._confirmed(version) | self.log_state.stopped
        electorates = prune_electorates(
            self.log_state.electorates, self.accepted
        )
        return has_all_majorities(electorates, version, confirmed)

    def pending(self, version: int) -> tuple[str, ...]:
        """Returns the names of members that have not confirmed a version."""
        confirmed = self._confirmed(version)
        unconfirmed = self.log_state.members - confirmed
        return tuple(sorted(member.name for member in unconfirmed))

    def _confirmed(self, version: int) -> frozenset[MemberId]:
        reported_version = {
            member
            for member, known in self._reported_versions.items()
            if known >= version
        }
        return frozenset(
            reported_version | {self.member_id}
            if self.version >= version
            else reported_version
        )

    def add_store_proof(self, head: int, asked_at: float) -> None:
        """Adds the proof given by the head's version in the store."""
        self._add_proof(FreshnessProof(head, asked_at))

    def add_relayed_proof(self, report: VersionReport, asked_at: float) -> None:
        """Adds the proof in a peer's report, if there is one."""
        proof = relayed_proof(report, asked_at)
        if proof is not None:
            self._add_proof(proof)

    def add_majority_proof(
        self, reports: Iterable[VersionReport], asked_at: float, now: float
    ) -> bool:
        """Adds the proof by a majority; returns whether there is one."""
        proof = majority_proof(
            self.log_state.members,
            self.version,
            [self.version_report(now), *reports],
            asked_at,
        )
        if proof is not None:
            self._add_proof(proof)
        return proof is not None

    def _add_proof(self, proof: FreshnessProof) -> None:
        self.freshness = self.freshness.with_proof(proof, self.version)
