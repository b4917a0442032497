"""Randomized histories of one database group and the invariants they keep.

A history interleaves owners that promote and confirm, members that replicate
and fail, and clients that read and write.
"""

import random
from collections import defaultdict
from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lagoonstair._types import Address, Position
from lagoonstair.groups import Confirmation, assess_confirmation, quorum_size
from lagoonstair.groups._choose import rank_read_targets
from lagoonstair.groups._observer import Observer
from lagoonstair.groups._orders import (
    Effect,
    Fence,
    Follow,
    Promote,
    PromotionFailed,
    PromotionSucceeded,
)
from lagoonstair.groups._promotion import (
    FenceAnswered,
    GraceElapsed,
    PromoteAnswered,
    PromoteRefused,
    Promotion,
)
from lagoonstair.groups._timing import Timing
from lagoonstair.measure._member import Member
from lagoonstair.ports import (
    EndpointRefusedError,
    EndpointStatus,
    ListedEndpoint,
    ListedGroup,
    Role,
)

NAMES = ("a", "b", "c")
OWNERS = ("x", "y")


def listed_group(names=NAMES, **states):
    return ListedGroup(
        name="g",
        members=tuple(
            ListedEndpoint(
                name=name,
                failure_domain=name,
                address=Address("127.0.0.1", 1 + i),
                slots=2,
                connections=30,
                **({"state": states[name]} if name in states else {}),
            )
            for i, name in enumerate(names)
        ),
    )


@dataclass
class Write:
    payload: str
    position: Position
    committed_at: float
    acked_at: float | None = None


def missing_writes(writes, log):
    """Returns the payloads of acknowledged writes that a log lacks."""
    held = {entry.payload for entry in log}
    acked = [w for w in writes if w.acked_at is not None]
    return [w.payload for w in acked if w.payload not in held]


def terms_with_several_primaries(promotions):
    """Returns the terms that have had more than one primary."""
    by_term = defaultdict(set)
    for term, name in promotions:
        by_term[term].add(name)
    return [term for term, names in by_term.items() if len(names) > 1]


class GroupHistory(RuleBasedStateMachine):
    """Steps of owners, members and clients in any order.

    A step that is never run stands for a network partition or a paused
    process.
    """

    promotion_type = Promotion

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.members = {name: Member(name) for name in NAMES}
        group = listed_group()
        self.observers = {
            o: Observer(group, timing=Timing(), now=0.0) for o in OWNERS
        }
        self.attempts: list[Promotion] = []
        self.calls: list[tuple[Promotion, Effect]] = []
        self.reports: list[tuple[str, EndpointStatus, float]] = []
        self.writes: list[Write] = []
        self.promotions: list[tuple[int, str]] = []
        self.elect()

    def assess(self, write: Write, observer: Observer) -> Confirmation:
        statuses = observer.asked_since(write.committed_at)
        return assess_confirmation(write.position, statuses, observer.quorum)

    def receive(self, owner, name, status, asked_at):
        self.observers[owner].observe(name, status, asked_at)

    def session(self, write: Write | None) -> dict[str, Position]:
        return {"last_write": write.position} if write else {}

    def elect(self) -> str:
        """Runs a complete promotion in which all members take part."""
        term = max(m.term for m in self.members.values()) + 1
        attempt = self._attempt(term)
        while attempt.ended is False:
            self._perform(self._calls_of(attempt)[0], lost=False)
        for call in self._calls_of(attempt):
            self._perform(call, lost=False)
        primary = next(n for t, n in self.promotions if t == term)
        for member in self.members.values():
            member.replicate(self.members[primary], 1000)
        return primary

    def _calls_of(self, attempt):
        return [call for call in self.calls if call[0] is attempt]

    def _attempt(self, term):
        attempt = self.promotion_type(
            term=term,
            candidate=f"owner/{len(self.attempts)}",
            members=NAMES,
            expected=(),
        )
        self.attempts.append(attempt)
        self.calls += [(attempt, effect) for effect in attempt.start()]
        return attempt

    def _perform(self, call, *, lost):
        self.calls.remove(call)
        attempt, effect = call
        event = self._apply(effect)
        if event is not None and not lost:
            self.calls += [(attempt, e) for e in attempt.handle(event)]

    def _apply(self, effect):
        try:
            match effect:
                case Fence(member=name, term=term, candidate=candidate):
                    answer = self.members[name].fence(term, candidate)
                    return FenceAnswered(member=name, answer=answer)
                case Promote(member=name, term=term, candidate=candidate):
                    status = self.members[name].promote(term, candidate)
                    self.promotions.append((term, name))
                    before = [w for w in self.writes if w.position.term < term]
                    assert not missing_writes(before, self.members[name].log)
                    return PromoteAnswered(status=status)
                case Follow(member=name, term=term, primary=primary):
                    self.members[name].follow(term, primary)
                case PromotionSucceeded() | PromotionFailed():
                    pass
        except EndpointRefusedError:
            return PromoteRefused() if isinstance(effect, Promote) else None
        return None

    @rule(member=st.sampled_from(NAMES), count=st.integers(1, 4))
    def write(self, member, count):
        """A client writes to any member that claims to be primary."""
        self.now += 1
        node = self.members[member]
        for _ in range(count if node.role is Role.PRIMARY else 0):
            payload = f"w{len(self.writes)}"
            position = node.commit(node.term, payload)
            self.writes.append(Write(payload, position, self.now))

    @rule(
        source=st.sampled_from(NAMES),
        replica=st.sampled_from(NAMES),
        count=st.integers(1, 9),
    )
    def replicate(self, source, replica, count):
        self.members[replica].replicate(self.members[source], count)

    @rule(
        reached=st.sets(st.sampled_from(NAMES), min_size=2),
        dies=st.booleans(),
    )
    def promote_among(self, reached, dies):
        """An owner that reaches some members promotes in one step, or dies."""
        attempt = self._attempt(max(self.members[n].term for n in reached) + 1)
        attempt.handle(GraceElapsed())
        while calls := self._calls_of(attempt):
            effect = calls[0][1]
            member = getattr(effect, "member", "")
            if member in reached and not (dies and attempt.ended):
                self._perform(calls[0], lost=False)
            else:
                self.calls.remove(calls[0])

    @rule(
        pick=st.integers(0, 99),
        others=st.sets(st.sampled_from(NAMES)),
        count=st.integers(0, 4),
        owner=st.sampled_from(OWNERS),
    )
    def serve(self, pick, others, count, owner):
        """A primary and the members that it reaches work without faults."""
        nodes = [m for m in self.members.values() if m.role is Role.PRIMARY]
        if not nodes:
            return
        primary = nodes[pick % len(nodes)].name
        self.write(primary, count)
        for name in sorted(others):
            self.members[name].replicate(self.members[primary], 1000)
        self.confirm_round(owner, others | {primary})

    @rule(
        owner=st.sampled_from(OWNERS),
        reached=st.sets(st.sampled_from(NAMES)),
    )
    def confirm_round(self, owner, reached):
        """An owner polls the members that it reaches, then acknowledges."""
        self.now += 1
        for name in sorted(reached):
            status = self.members[name].status()
            self.observers[owner].observe(name, status, self.now)
        self.acknowledge(owner)

    @rule(seen=st.sets(st.sampled_from(NAMES), min_size=1))
    def begin_promotion(self, seen):
        """An owner that sees some members begins, possibly beside others."""
        term = max(self.members[name].term for name in seen) + 1
        self._attempt(term)

    @rule(pick=st.integers(0, 99), lost=st.booleans())
    def deliver(self, pick, lost):
        if self.calls:
            self._perform(self.calls[pick % len(self.calls)], lost=lost)

    @rule(pick=st.integers(0, 99))
    def end_grace(self, pick):
        attempt = self.attempts[pick % len(self.attempts)]
        self.calls += [(attempt, e) for e in attempt.handle(GraceElapsed())]

    @rule(names=st.sets(st.sampled_from(NAMES), min_size=1))
    def ask(self, names):
        """Requests statuses; the answers arrive later, in any order."""
        self.now += 1
        self.reports += [
            (n, self.members[n].status(), self.now) for n in sorted(names)
        ]

    @rule(
        owner=st.sampled_from(OWNERS),
        order=st.randoms(use_true_random=False),
        count=st.integers(1, 4),
    )
    def arrive(self, owner, order, count):
        order.shuffle(self.reports)
        for report in self.reports[:count]:
            self.receive(owner, *report)

    @rule(owner=st.sampled_from(OWNERS))
    def acknowledge(self, owner):
        self.now += 1
        for write in self.writes:
            result = self.assess(write, self.observers[owner])
            if result is Confirmation.CONFIRMED and write.acked_at is None:
                write.acked_at = self.now

    @rule(
        owner=st.sampled_from(OWNERS),
        pick=st.integers(0, 99),
        max_age=st.none() | st.integers(0, 9),
        order=st.randoms(use_true_random=False),
    )
    def read(self, owner, pick, max_age, order):
        """A session that has written reads from the members it is routed to."""
        self.now += 1
        acked = [w for w in self.writes if w.acked_at is not None]
        own = acked[pick % len(acked)] if acked else None
        plan = rank_read_targets(
            self.observers[owner].snapshot(self.now),
            max_age=max_age,
            now=self.now,
            rng=random.Random(order.random()),
            **self.session(own),
        )
        for target in plan.targets:
            try:
                seen = self.members[target.member].read(target.term)
            except EndpointRefusedError:
                continue
            assert own is None or own.payload in seen
            bound = self.now - max_age if max_age is not None else 0.0
            due = {w.payload for w in acked if w.acked_at < bound}
            assert due <= set(seen)

    @invariant()
    def one_primary_per_term(self):
        assert terms_with_several_primaries(self.promotions) == []

    def teardown(self):
        primary = self.members[self.elect()]
        assert missing_writes(self.writes, primary.log) == []
        logs = [m.log for m in self.members.values()]
        assert all(log == primary.log for log in logs)


def by_term_alone(write: Write, observer: Observer) -> Confirmation:
    """Confirms a write by term alone, the rejected way D.

    A majority has to report the write's term, whatever its logs contain.
    """
    statuses = observer.asked_since(write.committed_at)
    same = [s for s in statuses if s.term == write.position.term]
    if len(same) >= quorum_size(len(NAMES)):
        return Confirmation.CONFIRMED
    return Confirmation.UNCONFIRMED
