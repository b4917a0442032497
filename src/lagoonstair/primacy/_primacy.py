"""Tracks whether an instance may use a group's primary, without any I/O.

A promotion starts with a write to the group's record in the store. The
instance that runs it, the promoter, announces it to its peers before that
write. An instance uses a primary only for ``PROOF_SECONDS`` after it requested
a proof that no promotion had started. Such a proof, which works like a read
lease, is one of:

- the record, read from the store;
- reports from more than half of the voters that they know of no promotion;
- the proof of another instance, aged by the time since it was requested.

The voters are the instances that registered first, and the promoter is one of
them. It waits until more than half of the voters have reported that they no
longer use the previous primary. Unless all instances have reported so, it then
also waits until the proofs of the unresponsive ones have expired, counted from
that majority. Any two majorities share a voter. Its report was either requested
before it knew of the promotion, and has expired, or announces the promotion.
Under any network partition, therefore, a replaced primary acknowledges no write
and serves no read.

A voter is removed only after it has been unresponsive for longer than a proof
holds, and the next registered instance takes its place. Majorities before and
after the removal therefore share a voter as well.

A voter that stops stands down first: its reports count in no majority from then
on. Its seat may be given up once all proofs that counted them have expired, by
itself or by others (``_seats``). Whoever then knows that it was given up also
knows every promotion recorded before. A majority before any number of seats was
given up therefore shares a voter with one after that.

A promoter also counts a voter that stands down, as long as its seat certainly
has not been given up. A proof doesn't count that voter, so its majority lies
among the others, and shares one of them with the promoter's. Whoever knows that
the seat was given up later knows the promotion, which was recorded before.

Voters are added one at a time: the next one only after a majority of the
voters has known of the last addition for longer than a proof holds. No proof
that still holds then comes from the voters before it.

The same proof shows that the known set of registered instances is current.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lagoonstair.primacy._record import GroupRecord

PROOF_SECONDS = 2.0
"""Time (s) for which a proof holds. For the proofs of unresponsive instances to
expire, a promotion waits this time multiplied by ``CLOCK_MARGIN``."""

CLOCK_MARGIN = 1.05
"""Factor (no unit) by which the promoter waits longer than a proof holds. It
covers a clock drift of up to 1% and the delay between the check of a proof and
the send that relies on it."""


class _PeerReport(NamedTuple):
    """The last report of a peer.

    Attributes:
        asked_at: When the report was requested, in seconds.
        members_version: Store version at which the peer knows the instances.
        stands_down: Whether no proof may count the peer.
        seat_held_until: Until when its seat certainly is not given up, in
            seconds, if it stands down.
    """

    asked_at: float
    members_version: int
    stands_down: bool
    seat_held_until: float


class Primacy:
    """One instance's knowledge of the primaries of all groups.

    All times are in seconds on the monotonic clock.

    Attributes:
        records: The records by group, as last read from the store.
        voters: The instances whose reports form a majority.
        members_version: The store version of the set of registered instances.
        store_read_at: When the newest answer of the store was requested.
        stands_down: Whether no proof may count this instance.
        seat_held_until: Until when its seat certainly is not given up, in
            seconds, if it stands down.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._reports: dict[str, _PeerReport] = {}
        self._epochs: dict[str, int] = {}
        self._own_promotions: dict[str, int] = {}
        self._relayed_proof_at = float("-inf")
        self._last_proofs: dict[str, tuple[int, float]] = {}
        self.records: dict[str, GroupRecord] = {}
        self.voters: frozenset[str] = frozenset()
        self.members_version = 0
        self.store_read_at = float("-inf")
        self.stands_down = False
        self.seat_held_until = float("-inf")

    def apply(self, group: str, record: GroupRecord) -> bool:
        """Applies a record from the store.

        Returns:
            Whether the record was newer than the known one and was applied.
        """
        known = self.records.get(group)
        if known is not None and record.epoch <= known.epoch:
            return False
        self._raise_epoch(group, record.epoch)
        self.records[group] = record
        if self._own_promotions.get(group, 0) <= record.epoch:
            self._own_promotions.pop(group, None)
        return True

    def set_voters(self, voters: Iterable[str], version: int) -> None:
        """Sets the voters as of a store version of the instances."""
        self.voters = frozenset(voters)
        self.members_version = max(self.members_version, version)

    def note_store_read(self, asked_at: float) -> None:
        """Records that the known records were current in the store.

        Args:
            asked_at: When the store was asked for them, in seconds.
        """
        self.store_read_at = max(self.store_read_at, asked_at)

    def note_report(
        self,
        member: str,
        asked_at: float,
        *,
        members_version: int,
        epochs: Mapping[str, int],
        proof_age: float,
        stands_down: bool = False,
        seat_held_for: float = 0.0,
    ) -> None:
        """Applies the report of a peer.

        Args:
            member: The name of the peer.
            asked_at: When the report was requested, in seconds.
            members_version: Store version at which the peer knows the
                instances.
            epochs: The newest epoch that the peer knows, by group.
            proof_age: The age of the peer's own proof, in seconds.
            stands_down: Whether no proof may count the peer.
            seat_held_for: For how long, in seconds, its seat certainly is not
                given up, if it stands down.
        """
        for group, epoch in epochs.items():
            self._raise_epoch(group, epoch)
        self._reports[member] = _PeerReport(
            asked_at, members_version, stands_down, asked_at + seat_held_for
        )
        has_newer_members = members_version > self.members_version
        if not has_newer_members and not any(map(self._is_behind, epochs)):
            self._relayed_proof_at = max(
                self._relayed_proof_at, asked_at - proof_age
            )

    def start_promotion(self, group: str) -> int:
        """Starts a promotion run by this instance and returns its epoch."""
        epoch = self.epoch(group) + 1
        self._own_promotions[group] = epoch
        self._raise_epoch(group, epoch)
        return epoch

    def abandon_promotion(self, group: str) -> None:
        """Abandons a promotion that is certainly not recorded in the store."""
        self._own_promotions.pop(group, None)
        record = self.records.get(group)
        self._epochs[group] = record.epoch if record else 0

    def epoch(self, group: str) -> int:
        """Returns the newest epoch of a group known here; 0 for none."""
        return self._epochs.get(group, 0)

    def proved_at(self, now: float) -> float:
        """Returns the time in seconds at which the newest proof was requested.

        It is negative infinity when there is no proof.
        """
        return max(
            self.store_read_at,
            self._relayed_proof_at,
            self._majority_proved_at(now),
        )

    def is_proved(self, now: float) -> bool:
        """Returns whether no promotion can have completed unnoticed."""
        return now - self.proved_at(now) < PROOF_SECONDS

    def primary(self, group: str, now: float) -> str | None:
        """Returns the name of a group's primary if it may be used now."""
        record = self.records.get(group)
        if record is None or record.promoting or self._is_behind(group):
            return None
        return record.primary if self.is_proved(now) else None

    def holds_until(self, group: str, epoch: int) -> float:
        """Returns until when an answer of a primary may be passed on.

        From then on, other instances may count it as released, and may have
        read the logs among which the next primary is chosen.

        Args:
            group: The name of the group.
            epoch: The epoch in which the primary was used.

        Returns:
            The time in seconds; negative infinity if nothing proved it.
        """
        if self.epoch(group) == epoch:
            return self._newest_proof() + PROOF_SECONDS
        last_epoch, proved_at = self._last_proofs.get(group, (0, -math.inf))
        return proved_at + PROOF_SECONDS if last_epoch == epoch else -math.inf

    def responsive_voters(self, now: float, within: float) -> set[str]:
        """Returns the other voters that answered a recent request.

        Args:
            now: The current time, in seconds.
            within: Greatest age in seconds of the answered request.
        """
        return {
            member
            for member, report in self._reports.items()
            if member in self.voters
            and not report.stands_down
            and now - report.asked_at <= within
        }

    def has_majority(self, now: float, within: float) -> bool:
        """Returns whether more than half of the voters respond.

        This instance counts as responsive if it is a voter that does not
        stand down.

        Args:
            now: The current time, in seconds.
            within: Greatest age in seconds of the answered request.
        """
        responsive = self.responsive_voters(now, within) | self._own_vote()
        return len(responsive) * 2 > len(self.voters)

    def is_majority(self, names: Iterable[str], now: float) -> bool:
        """Returns whether instances include a majority of the present voters.

        A voter counts while its seat cannot have been given up since its last
        report. No voter may know a newer set of instances.

        Args:
            names: The names of the instances.
            now: The current time, in seconds.
        """
        if self._has_newer_members():
            return False
        present = self.present_voters(now, PROOF_SECONDS)
        return len(present.intersection(names)) * 2 > len(self.voters)

    def can_promote(self, now: float, within: float) -> bool:
        """Returns whether the voters that respond can release a primary.

        Args:
            now: The current time, in seconds.
            within: Greatest age in seconds of the answered request.
        """
        present = self.present_voters(now, within)
        return len(present) * 2 > len(self.voters)

    def present_voters(self, now: float, within: float) -> set[str]:
        """Returns the voters that respond and certainly hold their seats.

        Unlike in a proof, those that have begun to stand down count.

        Args:
            now: The current time, in seconds.
            within: Greatest age in seconds of the answered request; at most
                ``PROOF_SECONDS``.
        """
        return (
            self.responsive_voters(now, within)
            | {
                member
                for member, report in self._reports.items()
                if member in self.voters
                and report.stands_down
                and now < report.seat_held_until
            }
            | self._own_vote()
        )

    def is_known_to_majority(self, version: int) -> bool:
        """Returns whether a majority of the voters knows the instances.

        Args:
            version: The store version of the set of instances to know.
        """
        knowing = {
            member
            for member, report in self._reports.items()
            if report.members_version >= version
        }
        if self.members_version >= version:
            knowing.add(self._name)
        return len(knowing & self.voters) * 2 > len(self.voters)

    def note_promotion(self, group: str, epoch: int) -> None:
        """Records a promotion that its promoter announced."""
        self._raise_epoch(group, epoch)

    def own_promotions(self) -> dict[str, int]:
        """Returns the epochs of the promotions that this instance started."""
        return dict(self._own_promotions)

    def _raise_epoch(self, group: str, epoch: int) -> None:
        """Notes a newer epoch, and how long the proof of the last one holds."""
        known = self.epoch(group)
        if epoch <= known:
            return
        record = self.records.get(group)
        is_usable = record is not None and not record.promoting
        if is_usable and not self._is_behind(group):
            self._last_proofs[group] = known, self._newest_proof()
        self._epochs[group] = epoch

    def _newest_proof(self) -> float:
        """Returns when the newest proof was requested, in seconds.

        The report of this instance itself is always new.
        """
        return self.proved_at(math.inf)

    def _is_behind(self, group: str) -> bool:
        record = self.records.get(group)
        return self.epoch(group) > (record.epoch if record else 0)

    def _own_vote(self) -> frozenset[str]:
        names = frozenset() if self.stands_down else frozenset({self._name})
        return names & self.voters

    def _has_newer_members(self) -> bool:
        """Returns whether another voter knows a newer set of instances."""
        return any(
            report.members_version > self.members_version
            for member, report in self._reports.items()
            if member in self.voters and member != self._name
        )

    def _majority_proved_at(self, now: float) -> float:
        """Returns when the proof by a majority of the voters was requested.

        It is negative infinity without a majority, or when a voter knows a
        newer set of instances.
        """
        if self._has_newer_members():
            return float("-inf")
        times = [
            report.asked_at
            for member, report in self._reports.items()
            if member in self.voters
            and member != self._name
            and not report.stands_down
        ]
        times += [now] * len(self._own_vote())
        times.sort(reverse=True)
        majority = len(self.voters) // 2 + 1
        return times[majority - 1] if len(times) >= majority else float("-inf")
