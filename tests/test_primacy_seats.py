"""Seats are given up and taken without two majorities that do not meet."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)
from msgspec.structs import replace

from lagoonstair.primacy import (
    CLOCK_MARGIN,
    PROOF_SECONDS,
    AdditionWait,
    GroupRecord,
    Primacy,
    Seat,
)
from lagoonstair.proxy._registry_rows import Member, line_of_voters
from soak import examples

GROUP = "g"
NAMES = [f"i{n}" for n in range(1, 7)]
SEATS = 3
"""Number of voters; as few as show what seven do."""

WALKS = 3000
"""Number of random walks."""

CUT_CHANGE = 0.12
ANSWERED = 0.7
LATE = 0.3
"""Probabilities, for each step: of another partition, of the answer of an
instance that is not cut off, and of a write that comes late."""

STEPS = (
    *("wait",) * 5,
    *("ask",) * 6,
    *("finish",) * 3,
    *("read",) * 3,
    *("resign",) * 2,
    *("stand_down",) * 3,
    *("give_up",) * 2,
    *("stop", "end", "start", "seat", "seat", "begin", "begin"),
    *("announce", "late", "record", "record"),
)
"""The steps of a walk, by weight."""

WAIT_SECONDS = PROOF_SECONDS * CLOCK_MARGIN


class Node:
    """A process with what it has read from the store up to a version."""

    def __init__(self, name):
        self.name = name
        self.primacy = Primacy(name)
        self.version = 0
        self.members = {}
        self.seats_version = 0
        self.stopping_since = None
        self.addition_wait = AdditionWait()

    def read(self, store):
        self.version = store.version
        self.members = dict(store.members)
        self.seats_version = store.seats_version
        self.primacy.apply(GROUP, store.record)
        self.primacy.set_voters(
            line_of_voters(self.members)[:SEATS], store.members_version
        )

    def copy_from(self, peer):
        """Takes over what a peer knows of the store, as by an update."""
        if peer.version <= self.version:
            return
        self.version = peer.version
        self.members = dict(peer.members)
        self.seats_version = peer.seats_version
        self.primacy.apply(GROUP, peer.primacy.records[GROUP])
        self.primacy.set_voters(
            peer.primacy.voters, peer.primacy.members_version
        )


class Stored:
    """The registry in the store."""

    def __init__(self, seated):
        self.version = 1
        self.members_version = 1
        self.seats_version = 1
        self.newest = 0.0
        self.row_versions = dict.fromkeys(NAMES, 1)
        self.record = GroupRecord(epoch=1, primary="d1")
        self.members = {
            name: Member(
                host="10.0.0.1",
                port=1,
                failure_domain="a",
                since=float(number),
                resigned=number > seated,
            )
            for number, name in enumerate(NAMES, 1)
        }

    def put_member(self, name, member):
        self.version += 1
        self.members_version = self.row_versions[name] = self.version
        self.members[name] = member


class World:
    """Instances stop, resign, crash, return and promote, and miss messages.

    Whoever does nothing in a run of rules is partitioned from the others or
    from the store.
    """

    stands_down = True
    """Whether an instance that stops no longer counts in majorities."""

    resign_wait = WAIT_SECONDS
    """Time (s) between a stop and the resignation."""

    seat_held_seconds = PROOF_SECONDS
    """Time (s) for which a promoter counts an instance that stands down."""

    waits_for_additions = True
    """Whether a majority must know the last addition before the next one."""

    clears_mark = True
    """Whether a start changes the row of an instance that was stopping."""

    checks_presence = True
    """Whether a promoter counts only voters that cannot have resigned."""

    serializes = True
    """Whether of two seats taken at the same time only one counts."""

    def __init__(self, seated=SEATS):
        super().__init__()
        self.now = 100.0
        self.store = Stored(seated)
        self.nodes = {}
        for name in NAMES:
            self.nodes[name] = node = Node(name)
            node.read(self.store)
        self.late_writes = []
        self.promotion = None
        self.number = 1

    def wait(self, seconds):
        self.now += seconds

    def read_store(self, name):
        if (node := self.nodes.get(name)) is not None:
            node.read(self.store)
            node.primacy.note_store_read(self.now)

    def ask(self, asker, answerers, delay, updates):
        node = self.nodes.get(asker)
        if node is None:
            return
        asked_at = self.now
        for name in sorted(answerers - {asker} & self.nodes.keys()):
            peer = self.nodes.get(name)
            if peer is None:
                continue
            if updates:
                node.copy_from(peer)
            node.primacy.note_report(
                name,
                asked_at,
                members_version=peer.primacy.members_version,
                epochs={GROUP: peer.primacy.epoch(GROUP)},
                proof_age=min(self.now - peer.primacy.proved_at(self.now), 1e6),
                stands_down=peer.primacy.stands_down,
                seat_held_for=max(0.0, peer.primacy.seat_held_until - self.now),
            )
        self.now += delay

    def stop(self, name, is_marked):
        """An instance stops; it is not marked while the store is away."""
        node = self.nodes.get(name)
        if node is None or node.stopping_since is not None:
            return
        node.stopping_since = self.now
        node.primacy.stands_down = self.stands_down
        node.primacy.seat_held_until = self.now + self.seat_held_seconds
        member = self.store.members[name]
        if is_marked and not member.resigned:
            self.store.put_member(name, replace(member, stops=True))

    def resign(self, name, is_late):
        """A stopping instance resigns, maybe with a write that comes late."""
        self._write_stopped(name, is_late, resigned=True)

    def stand_down(self, name, is_late):
        """A stopping instance lets others give up its seat."""
        self._write_stopped(name, is_late, stood_down=True)

    def give_up(self, name):
        """An instance gives up the seats of those that have stood down."""
        node = self.nodes.get(name)
        if node is None:
            return
        for other, member in [*node.members.items()]:
            if not (member.stops and member.stood_down) or member.resigned:
                continue
            if self.store.members[other] == member:
                self.store.put_member(other, replace(member, resigned=True))

    def _write_stopped(self, name, is_late, **changes):
        node = self.nodes.get(name)
        if node is None or node.stopping_since is None:
            return
        if self.now - node.stopping_since < self.resign_wait:
            return
        node.read(self.store)
        if not node.members[name].stops or node.members[name].resigned:
            return
        write = name, self.store.row_versions[name], changes
        if is_late:
            self.late_writes.append(write)
        else:
            self._apply_write(*write)

    def apply_late_write(self):
        if self.late_writes:
            self._apply_write(*self.late_writes.pop(0))

    def _apply_write(self, name, version, changes):
        if self.store.row_versions[name] == version:
            member = self.store.members[name]
            self.store.put_member(name, replace(member, **changes))

    def end(self, name):
        """A process ends, after a stop or by a crash."""
        if self.promotion is not None and self.promotion["name"] == name:
            # Another instance takes the promotion over, with a new wait.
            self.promotion = None
        self.nodes.pop(name, None)

    def start(self, name):
        if name in self.nodes:
            return
        member = self.store.members[name]
        if member.stops and self.clears_mark:
            self.store.put_member(
                name, replace(member, stops=False, stood_down=False)
            )
        self.nodes[name] = node = Node(name)
        node.read(self.store)
        node.primacy.note_store_read(self.now)

    def take_seat(self, name):
        node = self.nodes.get(name)
        if node is None or node.stopping_since is not None:
            return
        member = node.members[name]
        if not member.resigned or self.store.members[name] != member:
            return
        length = len(line_of_voters(node.members))
        if 0 < length < SEATS and self._must_wait(node):
            return
        is_current = node.seats_version == self.store.seats_version
        if self.serializes and not is_current:
            return
        self.store.newest = place = max(self.now, self.store.newest + 1e-6)
        self.store.put_member(
            name, replace(member, resigned=False, seated=place)
        )
        self.store.seats_version = self.store.version

    def _must_wait(self, node):
        if not self.waits_for_additions:
            return False
        voters = line_of_voters(node.members)[:SEATS]
        return not node.addition_wait.is_over(
            frozenset(Seat(name, node.members[name].place) for name in voters),
            members=node.members,
            version=node.primacy.members_version,
            is_known=node.primacy.is_known_to_majority,
            now=self.now,
        )

    def begin(self, name):
        node = self.nodes.get(name)
        if node is None or self.promotion is not None:
            return
        node.read(self.store)
        primacy = node.primacy
        if name not in primacy.voters or primacy.stands_down:
            return
        self.promotion = {
            "name": name,
            "epoch": primacy.start_promotion(GROUP),
            "is_recorded": False,
            "majority_at": None,
            "released": {name},
        }

    def record(self):
        """The promoter writes the record, after it has begun to announce."""
        if self.promotion is None or self.promotion["is_recorded"]:
            return
        name, epoch = self.promotion["name"], self.promotion["epoch"]
        self.promotion["is_recorded"] = True
        self.store.version += 1
        self.store.record = GroupRecord(
            epoch=epoch, primary=self.store.record.primary, promoting=name
        )
        self.nodes[name].primacy.apply(GROUP, self.store.record)

    def announce(self, answerers):
        """The promoter tells others of the promotion and gets reports."""
        if self.promotion is None:
            return
        name, epoch = self.promotion["name"], self.promotion["epoch"]
        for other in answerers & self.nodes.keys():
            self.nodes[other].primacy.note_promotion(GROUP, epoch)
            self.promotion["released"].add(other)
        self.ask(name, answerers, 0.0, False)
        self._note_majority()

    def finish(self):
        if self.promotion is None:
            return
        self._note_majority()
        majority_at = self.promotion["majority_at"]
        if majority_at is not None and self.now - majority_at > WAIT_SECONDS:
            self.number += 1
            self.store.version += 1
            self.store.record = GroupRecord(
                epoch=self.promotion["epoch"] + 1, primary=f"d{self.number}"
            )
            self.promotion = None

    def _note_majority(self):
        if not self.promotion["is_recorded"]:
            return
        released = self.promotion["released"]
        primacy = self.nodes[self.promotion["name"]].primacy
        if self.checks_presence:
            is_majority = primacy.is_majority(released, self.now)
        else:
            voters = primacy.voters
            is_majority = len(released & voters) * 2 > len(voters)
        if is_majority and self.promotion["majority_at"] is None:
            self.promotion["majority_at"] = self.now

    def nobody_uses_a_replaced_primary(self):
        for name, node in self.nodes.items():
            used = node.primacy.primary(GROUP, self.now)
            assert used in (None, self.store.record.primary), name


class SeatsMachine(World, RuleBasedStateMachine):
    """The same with steps that Hypothesis draws."""

    wait = rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.2]))(World.wait)
    read_store = rule(name=st.sampled_from(NAMES))(World.read_store)
    ask = rule(
        asker=st.sampled_from(NAMES),
        answerers=st.sets(st.sampled_from(NAMES), min_size=1),
        delay=st.sampled_from([0.0, 0.3]),
        updates=st.booleans(),
    )(World.ask)
    stop = rule(name=st.sampled_from(NAMES), is_marked=st.booleans())(
        World.stop
    )
    resign = rule(name=st.sampled_from(NAMES), is_late=st.booleans())(
        World.resign
    )
    stand_down = rule(name=st.sampled_from(NAMES), is_late=st.booleans())(
        World.stand_down
    )
    give_up = rule(name=st.sampled_from(NAMES))(World.give_up)
    apply_late_write = rule()(World.apply_late_write)
    end = rule(name=st.sampled_from(NAMES))(World.end)
    start = rule(name=st.sampled_from(NAMES))(World.start)
    take_seat = rule(name=st.sampled_from(NAMES))(World.take_seat)
    begin = rule(name=st.sampled_from(NAMES))(World.begin)
    record = rule()(World.record)
    announce = rule(answerers=st.sets(st.sampled_from(NAMES), min_size=1))(
        World.announce
    )
    finish = rule()(World.finish)
    nobody_uses_a_replaced_primary = invariant()(
        World.nobody_uses_a_replaced_primary
    )


TestSeats = SeatsMachine.TestCase
TestSeats.settings = hypothesis.settings(
    max_examples=examples(300), stateful_step_count=40, deadline=None
)


def _walk(world, rng, steps=70):
    """Takes random steps, with some instances cut off for a while."""
    cut = set()
    for _ in range(steps):
        if rng.random() < CUT_CHANGE:
            cut = set(rng.sample(NAMES, rng.choice((0, 1, 2, 2, 3))))
        name = rng.choice(NAMES)
        side = (cut if name in cut else set(NAMES) - cut) - {name}
        others = {other for other in side if rng.random() < ANSWERED}
        match rng.choice(STEPS):
            case "wait":
                world.wait(rng.choice((0.1, 0.5, 1.0, 2.2)))
            case "ask":
                world.ask(name, others, 0.0, True)
            case "stop":
                world.stop(name, name not in cut)
            case "end":
                world.end(name)
            case "late":
                world.apply_late_write()
            case "announce" if world.promotion is not None:
                promoter = world.promotion["name"]
                side = cut if promoter in cut else set(NAMES) - cut
                world.announce(side)
            case "finish":
                world.finish()
            case _ if name in cut:
                continue
            case "read":
                world.read_store(name)
            case "resign":
                world.resign(name, rng.random() < LATE)
            case "stand_down":
                world.stand_down(name, rng.random() < LATE)
            case "give_up":
                world.give_up(name)
            case "start":
                world.start(name)
            case "seat":
                world.take_seat(name)
            case "begin":
                world.begin(name)
            case "record":
                world.record()
        world.nobody_uses_a_replaced_primary()


def test_no_walk_ends_with_two_majorities():
    for seed in range(examples(WALKS)):
        _walk(World(), random.Random(seed))


OLD_VOTERS_PROVE = (
    ("stop", "i1", True),
    ("stop", "i2", True),
    ("wait", 2.2),
    ("resign", "i1", True),
    ("resign", "i2", True),
    ("apply_late_write",),
    ("apply_late_write",),
    ("begin", "i3"),
    ("record",),
    ("finish",),
    ("wait", 2.2),
    ("ask", "i1", {"i2"}, 0.0, False),
    ("finish",),
)
VOTER_LEAVES_A_PROMOTER_AT_ONCE = (
    ("begin", "i1"),
    ("announce", {"i2"}),
    ("stop", "i2", True),
    ("resign", "i2", False),
    ("read_store", "i3"),
    ("read_store", "i4"),
    ("record",),
    ("finish",),
    ("wait", 2.2),
    ("ask", "i3", {"i4"}, 0.0, False),
    ("finish",),
)
VOTER_LEAVES_A_SLOW_PROMOTER = (
    ("begin", "i1"),
    ("announce", {"i2"}),
    ("stop", "i2", True),
    ("wait", 2.2),
    ("resign", "i2", False),
    ("read_store", "i3"),
    ("read_store", "i4"),
    ("record",),
    ("finish",),
    ("wait", 2.2),
    ("ask", "i3", {"i4"}, 0.0, False),
    ("finish",),
)
ONE_VOTER_LEFT = (
    ("stop", "i1", True),
    ("stop", "i2", True),
    ("wait", 2.2),
    ("resign", "i1", False),
    ("resign", "i2", False),
    ("read_store", "i3"),
    ("end", "i1"),
    ("end", "i2"),
)
SEATS_AWAY_FROM_THE_LAST_VOTER = (
    *ONE_VOTER_LEFT,
    ("start", "i1"),
    ("take_seat", "i1"),
    ("start", "i2"),
    ("take_seat", "i2"),
    ("begin", "i1"),
    ("record",),
    ("announce", {"i2"}),
    ("wait", 2.2),
    ("finish",),
)
SEATS_TAKEN_TOGETHER = (
    *ONE_VOTER_LEFT,
    ("read_store", "i4"),
    ("read_store", "i5"),
    ("ask", "i4", {"i3"}, 0.0, False),
    ("ask", "i5", {"i3"}, 0.0, False),
    ("take_seat", "i4"),
    ("take_seat", "i5"),
    ("wait", 2.2),
    ("take_seat", "i4"),
    ("take_seat", "i5"),
    ("read_store", "i5"),
    ("begin", "i4"),
    ("record",),
    ("announce", {"i5"}),
    ("wait", 2.2),
    ("finish",),
)
SEATS_GIVEN_UP_BEFORE_THE_RECORD = (
    ("begin", "i1"),
    ("stop", "i2", True),
    ("stop", "i3", True),
    ("wait", 2.2),
    ("announce", {"i2", "i3"}),
    ("resign", "i2", False),
    ("resign", "i3", False),
    ("read_store", "i4"),
    ("read_store", "i5"),
    ("record",),
    ("finish",),
    ("wait", 2.2),
    ("ask", "i4", {"i5"}, 0.0, False),
    ("finish",),
)
RESIGNED_AFTER_A_RESTART = (
    ("stop", "i1", True),
    ("stop", "i2", True),
    ("wait", 2.2),
    ("resign", "i1", True),
    ("resign", "i2", True),
    ("end", "i1"),
    ("end", "i2"),
    ("start", "i1"),
    ("start", "i2"),
    ("read_store", "i1"),
    ("apply_late_write",),
    ("apply_late_write",),
    ("begin", "i3"),
    ("record",),
    ("finish",),
    ("wait", 2.2),
    ("ask", "i1", {"i2"}, 0.0, False),
    ("finish",),
)


def _given_up_by_others(steps):
    """Replaces resignations; an instance that does not vote gives seats up."""
    for step in steps:
        match step:
            case ("resign", name, is_late):
                yield "stand_down", name, is_late
            case _:
                yield step
        if step[0] in ("resign", "apply_late_write"):
            yield "read_store", "i6"
            yield "give_up", "i6"


def _play(world, steps):
    for name, *args in steps:
        getattr(world, name)(*args)
        world.nobody_uses_a_replaced_primary()


@pytest.mark.parametrize(
    ("weakened", "seated", "steps"),
    [
        ({"stands_down": False}, 3, OLD_VOTERS_PROVE),
        ({"resign_wait": 0.0}, 4, VOTER_LEAVES_A_PROMOTER_AT_ONCE),
        ({"checks_presence": False}, 4, VOTER_LEAVES_A_SLOW_PROMOTER),
        ({"waits_for_additions": False}, 3, SEATS_AWAY_FROM_THE_LAST_VOTER),
        ({"serializes": False}, 3, SEATS_TAKEN_TOGETHER),
        (
            {"seat_held_seconds": 2 * PROOF_SECONDS},
            5,
            SEATS_GIVEN_UP_BEFORE_THE_RECORD,
        ),
        ({"clears_mark": False}, 3, RESIGNED_AFTER_A_RESTART),
    ],
    ids=lambda value: next(iter(value)) if isinstance(value, dict) else "",
)
@pytest.mark.parametrize("by_others", [False, True])
def test_each_step_of_leaving_and_taking_seats_is_needed(
    weakened, seated, steps, by_others
):
    steps = [*_given_up_by_others(steps)] if by_others else steps
    _play(World(seated), steps)
    with pytest.raises(AssertionError, match=r"i[0-9]"):
        _play(type("Weakened", (World,), weakened)(seated), steps)
