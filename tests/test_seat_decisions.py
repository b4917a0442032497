"""Restarts, losses and replacements leave the voters a majority."""

import random

import pytest
from msgspec.structs import replace

from lagoonstair.primacy import (
    CLOCK_MARGIN,
    PROOF_SECONDS,
    AdditionWait,
    Primacy,
    Seat,
    seats_to_give_up,
)
from lagoonstair.primacy._seats import RETURN_SECONDS
from lagoonstair.proxy._gossip import ALIVE_SECONDS, ROUND_PERIOD_SECONDS
from lagoonstair.proxy._registry import VOTER_COUNT
from lagoonstair.proxy._registry_rows import Member, line_of_voters
from soak import examples

WAIT_SECONDS = PROOF_SECONDS * CLOCK_MARGIN

DRAIN_SECONDS = 7.0
"""Time (s) for which a draining primary may get requests (``drain_ms``)."""

PROMOTION_SECONDS = 3.5
"""Longest duration (s) of a promotion beside an unresponsive instance."""

REMOVAL_SECONDS = 16.0
"""Time (s) after which a majority removes a silent instance."""

QUIET_SECONDS = 60.0
"""Time (s) without faults in which all seats are taken again."""

SEEDS = 60
"""Number of drawn rolls of each kind."""

MEMBER = Member(host="10.0.0.1", port=1, failure_domain="a", since=0.0)

LINE = ["i1", "i2", "i3", "i4", "i5"]


@pytest.mark.parametrize(
    ("present", "stood_down", "given_up"),
    [
        (["i3", "i4", "i5"], {"i1": 1.0, "i2": 1.0}, ()),
        (["i3", "i4"], {"i1": 1.0, "i2": 2.0}, ("i2", "i1")),
        (["i2", "i3"], {"i4": 1.0, "i5": 1.0}, ("i4", "i5")),
        (["i2", "i3", "i4"], {"i5": RETURN_SECONDS + 1}, ("i5",)),
        (["i4"], {"i1": 1.0, "i2": 1.0}, ()),
        ([], dict.fromkeys(LINE, 1.0), tuple(LINE)),
        ([], dict.fromkeys(LINE[1:], 1.0), ()),
    ],
    ids=[
        "a majority responds",
        "without one",
        "of two that have left",
        "a voter stays away",
        "too few in any case",
        "all have left",
        "one may still prove",
    ],
)
def test_seats_are_given_up_only_for_a_majority(present, stood_down, given_up):
    """Seats of instances that come back were lost, or those of others kept."""
    assert (
        seats_to_give_up(
            LINE, present=present, stood_down=stood_down, voter_count=5
        )
        == given_up
    )


def test_the_next_in_line_takes_over_at_once():
    """A stopped voter kept a running instance from voting."""
    assert seats_to_give_up(
        LINE, present=LINE[1:4], stood_down={"i1": 0.0}, voter_count=4
    ) == ("i1",)


def _seats(*names):
    return frozenset(Seat(name, float(name[1:])) for name in names)


@pytest.mark.parametrize(
    ("seats", "members", "is_over"),
    [
        (_seats("i1", "i2"), {"i1", "i2", "i3"}, True),
        (_seats("i1", "i2"), {"i1", "i2"}, False),
        (_seats("i1", "i2", "i3", "i4"), {"i1", "i2", "i3", "i4"}, False),
    ],
    ids=["given up", "removed", "added"],
)
def test_only_changes_that_a_proof_may_miss_prolong_the_wait(
    seats, members, is_over
):
    """Under a rolling restart nobody could take a seat any more."""
    wait = AdditionWait()
    everyone = {"i1", "i2", "i3"}
    args = {"version": 1, "is_known": lambda version: version == 1}
    assert not wait.is_over(
        _seats(*everyone), members=everyone, now=0.0, **args
    )
    args["version"] = 2
    now = WAIT_SECONDS + 0.1
    assert wait.is_over(seats, members=members, now=now, **args) is is_over


class _Process:
    def __init__(self, name):
        self.name = name
        self.primacy = Primacy(name)
        self.wait = AdditionWait()
        self.stood_down_at = {}


class Roll:
    """Instances that stop and return in turn, with a store that answers."""

    keeps_seats = True
    """Whether a stopping instance leaves its seat to the others."""

    def __init__(self, rng, *, gap, lost_at, losses, names):
        self.now = 0.0
        self.rng = rng
        self.version = 1
        self.members = {
            name: replace(MEMBER, since=float(number))
            for number, name in enumerate(names)
        }
        self.processes = {name: _Process(name) for name in names}
        self.lost_since = {}
        self.blocked = self.longest_blocked = 0.0
        self.events = []
        order = rng.sample(names, len(names))
        lost = [] if lost_at is None else rng.sample(names, losses)
        for number, name in enumerate(order):
            if name not in lost:
                self._plan_restart(name, 5.0 + gap * number)
        for name in lost:
            at = 5.0 + gap * len(names) * lost_at
            self.events.append((at, self._lose, name))
            self.events.append((at + 2.0, self._add, f"successor-{name}"))
        self.events.sort(key=lambda event: event[0])
        self.ends_at = self.events[-1][0]

    def _plan_restart(self, name, at):
        ends_at = at + self.rng.uniform(2.3, 3.0)
        self.events += [
            (at, self._stop, name),
            (at + WAIT_SECONDS, self._stand_down, name),
            (ends_at, self._end, name),
            (ends_at + self.rng.uniform(0.5, 1.6), self._start, name),
        ]

    def _put(self, name, **changes):
        self.version += 1
        self.members[name] = replace(self.members[name], **changes)

    def _stop(self, name):
        primacy = self.processes[name].primacy
        primacy.stands_down = True
        primacy.seat_held_until = self.now + PROOF_SECONDS
        self._put(name, stops=True)

    def _stand_down(self, name):
        change = "stood_down" if self.keeps_seats else "resigned"
        self._put(name, **{change: True})

    def _end(self, name):
        del self.processes[name]

    def _start(self, name):
        self._put(name, stops=False, stood_down=False)
        self.processes[name] = _Process(name)

    def _lose(self, name):
        del self.processes[name]
        self.lost_since[name] = self.now

    def _add(self, name):
        self.version += 1
        self.members[name] = replace(MEMBER, since=self.now, resigned=True)
        self.processes[name] = _Process(name)

    def run(self, until):
        while self.now < until:
            self.now += ROUND_PERIOD_SECONDS
            while self.events and self.events[0][0] <= self.now:
                _, act, name = self.events.pop(0)
                act(name)
            for name in [*self.processes]:
                self._run_round(self.processes[name])
            self._remove_lost()
            is_blocked = not self.can_promote()
            self.blocked = is_blocked * (self.blocked + ROUND_PERIOD_SECONDS)
            self.longest_blocked = max(self.longest_blocked, self.blocked)

    def voters(self):
        return line_of_voters(self.members)[:VOTER_COUNT]

    def can_promote(self):
        """Returns whether a voter could promote."""
        return any(
            name in self.voters()
            and not process.primacy.stands_down
            and process.primacy.can_promote(self.now, ALIVE_SECONDS)
            for name, process in self.processes.items()
        )

    def _run_round(self, process):
        primacy = process.primacy
        primacy.set_voters(self.voters(), self.version)
        for name in self.voters():
            peer = self.processes.get(name)
            if peer is not None and peer is not process:
                primacy.note_report(
                    name,
                    self.now,
                    members_version=peer.primacy.members_version,
                    epochs={},
                    proof_age=0.0,
                    stands_down=peer.primacy.stands_down,
                    seat_held_for=max(
                        0.0, peer.primacy.seat_held_until - self.now
                    ),
                )
        self._give_up_seats(process)
        self._seek_seat(process)

    def _give_up_seats(self, process):
        process.stood_down_at = {
            name: process.stood_down_at.get(name, self.now)
            for name, member in self.members.items()
            if member.stood_down and not member.resigned
        }
        if process.primacy.stands_down:
            return
        for name in seats_to_give_up(
            line_of_voters(self.members),
            present=process.primacy.present_voters(self.now, ALIVE_SECONDS),
            stood_down={
                name: self.now - since
                for name, since in process.stood_down_at.items()
            },
            voter_count=VOTER_COUNT,
        ):
            self._put(name, resigned=True)

    def _seek_seat(self, process):
        member = self.members[process.name]
        if process.primacy.stands_down or not member.resigned:
            process.wait.reset()
            return
        line = line_of_voters(self.members)
        if 0 < len(line) < VOTER_COUNT and not process.wait.is_over(
            frozenset(Seat(name, self.members[name].place) for name in line),
            members=self.members,
            version=self.version,
            is_known=process.primacy.is_known_to_majority,
            now=self.now,
        ):
            return
        place = max(self.now, *(self.members[name].place for name in line), 0)
        self._put(process.name, resigned=False, seated=place + 1e-6)

    def _remove_lost(self):
        for name, since in [*self.lost_since.items()]:
            if self.now - since > REMOVAL_SECONDS and self.can_promote():
                del self.lost_since[name]
                del self.members[name]
                self.version += 1


def _roll(kind, seed, *, gap, lost_at, losses=1):
    names = [f"i{number}" for number in range(1, VOTER_COUNT + 1)]
    return kind(
        random.Random(seed),
        gap=gap,
        lost_at=lost_at,
        losses=losses,
        names=names,
    )


@pytest.mark.parametrize("gap", [0.0, 0.3, 1.0, 1.3, 2.6])
@pytest.mark.parametrize(
    ("lost_at", "losses"),
    [(None, 0), (0.0, 1), (0.5, 1), (0.9, 1), (1.2, 1), (0.0, 3), (0.7, 3)],
)
def test_a_roll_leaves_a_majority_and_all_seats(gap, lost_at, losses):
    """Losses beside a rolling restart ended all promotions for good."""
    for seed in range(examples(SEEDS)):
        roll = _roll(Roll, seed, gap=gap, lost_at=lost_at, losses=losses)
        roll.run(roll.ends_at + ROUND_PERIOD_SECONDS * 2)
        assert roll.can_promote(), seed
        roll.run(roll.now + QUIET_SECONDS)
        assert {*roll.voters()} == roll.processes.keys(), seed


@pytest.mark.parametrize("gap", [1.0, 1.3, 2.6])
@pytest.mark.parametrize("lost_at", [None, 0.0, 0.5, 0.9, 1.2])
def test_a_primary_is_replaced_in_time_during_a_roll(gap, lost_at):
    """A draining primary got requests until the end of a rolling restart."""
    for seed in range(examples(SEEDS)):
        roll = _roll(Roll, seed, gap=gap, lost_at=lost_at)
        roll.run(roll.ends_at + ROUND_PERIOD_SECONDS * 2)
        assert roll.longest_blocked <= DRAIN_SECONDS - PROMOTION_SECONDS, seed


def test_a_roll_without_kept_seats_loses_the_majority():
    """Shows that the simulated restarts are hard enough."""
    resigning = type("Resigning", (Roll,), {"keeps_seats": False})
    rolls = [
        _roll(resigning, seed, gap=1.0, lost_at=0.9) for seed in range(SEEDS)
    ]
    for roll in rolls:
        roll.run(roll.ends_at + QUIET_SECONDS)
    assert any({*roll.voters()} != roll.processes.keys() for roll in rolls)
