"""When an instance may rely on a primary; pure.

A promotion begins with a change of the group's record in the store, and its
instance says so to the others from before that change. An instance uses a
primary only for ``PROOF_SECONDS`` after it asked for a proof that no
promotion had begun:

- the record, read from the store;
- words from more than half of the voters that they know of no promotion;
- another instance's proof, made older by its age.

The voters are the instances that registered first. The promoter, one of them,
waits until more than half of them have said that they use the primary of
before no more. Unless all instances have, it waits until the proofs of the
silent ones have run out too, counted from then: any two majorities share a
voter, whose word was either asked for before it knew of the promotion, and has
run out, or tells of it. So no write is acknowledged by, and no read served
from, a replaced primary, whoever is cut off from whom. A voter that is removed
was silent for longer than a proof holds, and the next one in line takes its
place, so that majorities before and after share a voter as well.

The same proof shows that the registered instances are those that are known.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lagoonstair.primacy._record import GroupRecord

PROOF_SECONDS = 2.0
"""How long a proof holds; also the longest that a promotion waits for it."""

CLOCK_MARGIN = 1.05
"""By how much the promoter waits longer: clocks run alike within 1%, and the
user of a proof needs a moment between its check and its send."""


class _PeerReport(NamedTuple):
    """What another instance said last, and when it was asked (seconds)."""

    asked_at: float
    members_version: int


class Primacy:
    """One instance's knowledge of the primaries of all groups.

    Every time is monotonic, in seconds.

    Attributes:
        records: The records by group, as last read from the store.
        voters: The instances whose words count.
        members_version: The store's version of the registered instances.
        store_read_at: When the newest answer of the store was asked for.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._reports: dict[str, _PeerReport] = {}
        self._epochs: dict[str, int] = {}
        self._own_promotions: dict[str, int] = {}
        self._relayed_proof_at = float("-inf")
        self.records: dict[str, GroupRecord] = {}
        self.voters: frozenset[str] = frozenset()
        self.members_version = 0
        self.store_read_at = float("-inf")

    def apply(self, group: str, record: GroupRecord) -> bool:
        """Takes a record from the store; false when it is no newer."""
        known = self.records.get(group)
        if known is not None and record.epoch <= known.epoch:
            return False
        self.records[group] = record
        self._epochs[group] = max(self.epoch(group), record.epoch)
        if self._own_promotions.get(group, 0) <= record.epoch:
            self._own_promotions.pop(group, None)
        return True

    def set_voters(self, voters: Iterable[str], version: int) -> None:
        """Takes the voters from the store."""
        self.voters = frozenset(voters)
        self.members_version = max(self.members_version, version)

    def note_store_read(self, asked_at: float) -> None:
        """Notes that the records are those of the store at a time."""
        self.store_read_at = max(self.store_read_at, asked_at)

    def note_report(
        self,
        member: str,
        asked_at: float,
        *,
        members_version: int,
        epochs: Mapping[str, int],
        proof_age: float,
    ) -> None:
        """Takes what another instance answered.

        Args:
            member: The instance.
            asked_at: When it was asked.
            members_version: At which version it knows the instances.
            epochs: The newest epoch of each group that it knows of.
            proof_age: The age of its own proof, in seconds.
        """
        self._reports[member] = _PeerReport(asked_at, members_version)
        behind = members_version > self.members_version
        for group, epoch in epochs.items():
            if epoch > self.epoch(group):
                self._epochs[group] = epoch
        if not behind and not any(map(self._is_behind, epochs)):
            self._relayed_proof_at = max(
                self._relayed_proof_at, asked_at - proof_age
            )

    def start_promotion(self, group: str) -> int:
        """Begins a promotion of a group here; returns its epoch."""
        epoch = self.epoch(group) + 1
        self._own_promotions[group] = epoch
        self._epochs[group] = epoch
        return epoch

    def abandon_promotion(self, group: str) -> None:
        """Ends a promotion that the store has certainly not recorded."""
        self._own_promotions.pop(group, None)
        record = self.records.get(group)
        self._epochs[group] = record.epoch if record else 0

    def epoch(self, group: str) -> int:
        """The newest epoch of a group that this instance knows of."""
        return self._epochs.get(group, 0)

    def proved_at(self, now: float) -> float:
        """When the newest proof was asked for."""
        return max(
            self.store_read_at,
            self._relayed_proof_at,
            self._majority_proved_at(now),
        )

    def is_proved(self, now: float) -> bool:
        """Whether no promotion can have come to its end unnoticed."""
        return now - self.proved_at(now) < PROOF_SECONDS

    def primary(self, group: str, now: float) -> str | None:
        """The primary, if it may be used now."""
        record = self.records.get(group)
        if record is None or record.promoting or self._is_behind(group):
            return None
        return record.primary if self.is_proved(now) else None

    def responsive_voters(self, now: float, within: float) -> set[str]:
        """The other voters that answered what was asked of late."""
        return {
            member
            for member, word in self._reports.items()
            if member in self.voters and now - word.asked_at <= within
        }

    def has_majority(self, now: float, within: float) -> bool:
        """Whether more than half of the voters are in touch."""
        known = self.responsive_voters(now, within) | (
            {self._name} & self.voters
        )
        return len(known) * 2 > len(self.voters)

    def note_promotion(self, group: str, epoch: int) -> None:
        """Learns from its promoter that a promotion begins."""
        self._epochs[group] = max(self.epoch(group), epoch)

    def own_promotions(self) -> dict[str, int]:
        """The promotions that this instance has begun, with their epochs."""
        return dict(self._own_promotions)

    def _is_behind(self, group: str) -> bool:
        record = self.records.get(group)
        return self.epoch(group) > (record.epoch if record else 0)

    def _majority_proved_at(self, now: float) -> float:
        """Since when more than half of the voters agree, if they do."""
        words = [
            word
            for member, word in self._reports.items()
            if member in self.voters and member != self._name
        ]
        if any(word.members_version > self.members_version for word in words):
            return float("-inf")
        asked = [word.asked_at for word in words]
        if self._name in self.voters:
            asked.append(now)
        asked.sort(reverse=True)
        needed = len(self.voters) // 2 + 1
        return asked[needed - 1] if len(asked) >= needed else float("-inf")
