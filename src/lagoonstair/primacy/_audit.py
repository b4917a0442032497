"""Pure decision on whether a record names an endpoint that does not lead.

A record may be wrong although no promotion of the group is open: the platform
may carry out a call that nobody remembers, and a primary that starts again may
be a replica. Its reachability does not show that.

Discovery entries only raise a suspicion, since they may be old or come from
another writer. What counts is an endpoint's own answer: that it leads a newer
term than the recorded one, or, from the recorded primary, that it is a replica.
"""

from lagoonstair.primacy._record import GroupRecord

REPLICA_SECONDS = 0.8
"""Time (s) for which the recorded primary must report that it is a replica. It
exceeds the time between a promotion and its record."""


def contradicts_record(
    record: GroupRecord, name: str, *, says_primary: bool
) -> bool:
    """Returns whether an endpoint's entry contradicts its group's record.

    Args:
        record: The record of the endpoint's group.
        name: The endpoint.
        says_primary: Whether it regards itself as the primary, by its entry.
    """
    return says_primary is not (name == record.primary)


class RecordAudit:
    """What the endpoints' own answers say about a group's record.

    All times are in seconds on the monotonic clock. What is known of an older
    record does not count.
    """

    def __init__(self) -> None:
        self._epoch = 0
        self._is_contradicted = False
        self._replica_since: float | None = None

    def note_status(
        self,
        record: GroupRecord,
        name: str,
        *,
        is_primary: bool,
        term: int,
        asked_at: float,
    ) -> None:
        """Notes an endpoint's answer to a status query.

        Args:
            record: The group's record when it was asked.
            name: The endpoint.
            is_primary: Whether it regards itself as the primary.
            term: The newest term that it knows.
            asked_at: When it was asked.
        """
        self._restart_for(record)
        if name != record.primary:
            # Without a recorded term, an endpoint that led an older term than
            # the primary's would count as well.
            if is_primary and 0 < record.term < term:
                self._is_contradicted = True
        elif is_primary:
            self._replica_since = None
        elif self._replica_since is None:
            self._replica_since = asked_at
        elif asked_at - self._replica_since >= REPLICA_SECONDS:
            self._is_contradicted = True

    def is_contradicted(self, record: GroupRecord) -> bool:
        """Returns whether the recorded primary certainly does not lead."""
        return self._epoch == record.epoch and self._is_contradicted

    def has_doubt(self, record: GroupRecord) -> bool:
        """Returns whether the recorded primary last said it is a replica."""
        return self._epoch == record.epoch and self._replica_since is not None

    def _restart_for(self, record: GroupRecord) -> None:
        if self._epoch != record.epoch:
            self._epoch = record.epoch
            self._is_contradicted = False
            self._replica_since = None
