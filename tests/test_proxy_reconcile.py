"""What one instance puts back after the store came back from an older copy."""

import itertools
from functools import partial
from types import SimpleNamespace

import pytest
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec.structs import replace

from lagoonstair.platform.store import (
    Committed,
    Rows,
    StoredRow,
    StoreError,
)
from lagoonstair.primacy import Duty, GroupRecord
from lagoonstair.proxy._reconcile import RegistryRows, reconcile
from lagoonstair.proxy._registry import (
    VOTER_COUNT,
    Registry,
    UnreconciledError,
)
from lagoonstair.proxy._registry_rows import (
    Era,
    Founding,
    Member,
    Seats,
    era_key,
    floor_of,
)
from soak import examples

FOUNDING = Founding(secret="00", at=1.0)
MEMBER = Member(host="10.0.0.1", port=1, failure_domain="a", since=1.0)
ADDED = Member(host="10.0.0.1", port=2, failure_domain="a", since=5.0)
OLD = GroupRecord(epoch=1, primary="d1", term=1)
NEW = GroupRecord(epoch=4, primary="d2", term=2)
COPY = {
    "founding": FOUNDING,
    "era/1": Era(at=1.0),
    "member/i1": MEMBER,
    "group/g": OLD,
    "duty": Duty(holder="i1", fence=1),
}
KNOWN = {
    **COPY,
    "member/i2": ADDED,
    "group/g": NEW,
    "duty": Duty(holder="i2", fence=2),
}


def _changes(known, restored, era=2, **changes):
    options = {"epochs": {}, "is_certain": True, **changes}
    return reconcile(
        None if known is None else RegistryRows(known),
        RegistryRows(restored),
        era=era,
        now=9.0,
        name="i9",
        **options,
    )


def test_lost_rows_are_put_back_and_removed_ones_removed_again():
    known = {key: row for key, row in KNOWN.items() if key != "member/i1"}
    changes = _changes(known, COPY)
    assert changes.puts["member/i2"] == ADDED
    assert changes.removals == ("member/i1",)
    assert "founding" not in changes.puts


def test_a_table_restored_from_before_the_founding_keeps_its_secret():
    changes = _changes(KNOWN, {})
    assert changes.puts["founding"] == FOUNDING
    assert set(changes.last) == {"duty", "era/2"}


def test_epochs_and_tokens_exceed_those_of_all_earlier_histories():
    changes = _changes(KNOWN, COPY)
    record = changes.puts["group/g"]
    assert (record.primary, record.term) == ("d2", 2)
    assert record.promoting == ""
    assert record.epoch > floor_of(2)
    assert changes.last["duty"].holder == "i2"
    assert changes.last["duty"].fence > floor_of(2)
    later = _changes({**KNOWN, **changes.last, **changes.puts}, COPY, era=3)
    assert later.puts["group/g"].epoch > record.epoch
    assert later.last["duty"].fence > changes.last["duty"].fence


def test_without_known_rows_every_primary_is_verified():
    changes = _changes(None, COPY)
    assert changes.puts["group/g"].promoting == "i9"
    assert changes.puts["group/g"].primary == "d1"
    assert changes.last["duty"].fence > floor_of(2)


@pytest.mark.parametrize(
    ("epoch", "is_certain", "promoting"),
    [(4, True, ""), (5, True, "i9"), (4, False, "i9")],
)
def test_a_promotion_that_may_have_begun_unnoticed_is_taken_over(
    epoch, is_certain, promoting
):
    changes = _changes(KNOWN, COPY, epochs={"g": epoch}, is_certain=is_certain)
    assert changes.puts["group/g"].promoting == promoting
    assert changes.puts["group/g"].epoch > epoch


def test_every_history_that_was_missed_is_marked():
    assert set(_changes(KNOWN, COPY, era=4).last) == {
        "duty",
        "era/2",
        "era/3",
        "era/4",
    }


class _Server:
    """A store of one table that can be restored from a copy.

    Attributes:
        rows: The rows with their versions, by key.
        version: The newest version.
        own_era: The number of the present history.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.own_era = 1

    def restore(self, copy):
        self.rows, self.version = dict(copy[0]), copy[1]
        self.own_era += 1

    def copy(self):
        return dict(self.rows), self.version

    def table(self):
        rows = tuple(StoredRow(key, *row) for key, row in self.rows.items())
        return Rows(rows, self.version, 0.0, 0.0, self.own_era)

    def transact(self, conditions, puts, removals):
        for row in conditions:
            if self.rows.get(row.key, (None, 0))[1] != row.version:
                return None
        self.version += 1
        for put in puts:
            self.rows[put.key] = (put.value, self.version)
        for _, key in removals:
            del self.rows[key]
        return Committed(self.version, 0.0, self.own_era)


class _Store:
    """One instance's client of the store.

    Attributes:
        era: The newest history number in an answer so far.
        is_answer_lost: Whether answers to transactions are lost.
    """

    def __init__(self, server=None):
        self.server = server or _Server()
        self.era = 1
        self.is_answer_lost = False

    def note_era(self, era):
        self.era = max(self.era, era)

    def __getattr__(self, name):
        return getattr(self.server, name)

    async def transact(self, *, conditions=(), puts=(), removals=()):
        committed = self.server.transact(conditions, puts, removals)
        if self.is_answer_lost:
            raise StoreError("no answer", refused=False)
        self.note_era(self.server.own_era)
        return committed


class _Reading(_Store):
    """A client that also reads the table, as an instance that starts does."""

    async def read_table(self, name):
        return self.server.table()


async def _registry(store, rows=None):
    """Returns a registry that knows the table, after writing its rows."""
    registry = Registry(store)
    assert registry.load(store.table())
    if rows:
        assert await registry.write(rows)
        assert registry.load(store.table())
    return registry


async def _reconcile(registry, store):
    rows = store.table()
    done = await registry.reconcile(rows, name="i1", epochs={}, is_certain=True)
    return done and registry.load(store.table())


async def test_a_restored_table_is_not_used_before_it_is_reconciled():
    store = _Store()
    registry = await _registry(store, {**COPY})
    copy = store.copy()
    assert await registry.write({"group/g": NEW})
    store.restore(copy)
    assert not registry.load(store.table())
    assert registry.groups["g"] == NEW
    store.note_era(2)
    with pytest.raises(UnreconciledError):
        await registry.write({"group/g": NEW})
    assert await _reconcile(registry, store)
    assert registry.groups["g"].primary == "d2"
    assert await registry.write({"group/g": NEW})


async def test_a_version_that_is_given_out_again_meets_no_condition():
    """A writer that missed a restore knows a version that now is another row.

    Its write must fail once the new history is reconciled, and not count
    before.
    """
    store = _Store()
    writer = await _registry(store, {**COPY})
    other = await _registry(store)
    copy = store.copy()
    lost = GroupRecord(epoch=2, primary="d1", promoting="i1")
    assert await writer.write({"group/g": lost})
    store.restore(copy)
    other.load(store.table())
    assert await _reconcile(other, store)
    row = store.rows["group/g"]
    # The same version as the lost write had; the writer's client has had no
    # answer since.
    store.era = 1
    store.rows["group/g"] = (row[0], copy[1] + 1)
    assert await writer.write({"group/g": NEW}) is None
    assert store.rows["group/g"][0] == row[0]


async def test_a_write_applied_after_an_unnoticed_restore_does_not_count():
    store = _Store()
    writer = await _registry(store, {**COPY})
    store.restore(store.copy())
    with pytest.raises(UnreconciledError):
        await writer.write({"duty": Duty(holder="i1", fence=2)})
    assert writer.duty.fence == 1


async def test_of_two_that_reconcile_at_once_one_wins():
    store = _Store()
    first = await _registry(store, {**COPY})
    second = await _registry(store)
    store.restore(store.copy())
    rows = store.table()
    options = {"name": "i1", "epochs": {}, "is_certain": True}
    assert await first.reconcile(rows, **options)
    assert not await second.reconcile(rows, **options)
    assert second.load(store.table())
    assert second.duty.fence == floor_of(2) + 1


async def test_an_instance_that_missed_a_reconciled_history_adds_nothing():
    store = _Store()
    absent = await _registry(store, {**COPY})
    present = await _registry(store)
    copy = store.copy()
    store.restore(copy)
    assert await _reconcile(present, store)
    await present.remove_member("i1")
    store.restore(store.copy())
    absent.load(store.table())
    assert await _reconcile(absent, store)
    assert "i1" not in absent.members


async def test_many_rows_are_put_back_in_several_transactions():
    store = _Store()
    registry = await _registry(store, {"founding": FOUNDING})
    assert await registry.write({era_key(1): Era(at=0.0)})
    copy = store.copy()
    names = [f"i{number}" for number in range(200)]
    for name in names:
        assert await registry.write({f"member/{name}": MEMBER})
    assert registry.load(store.table())
    store.restore(copy)
    registry.load(store.table())
    assert await _reconcile(registry, store)
    assert registry.members.keys() == set(names)


async def test_peers_take_over_a_newer_history_whole():
    store = _Store()
    sender = await _registry(store, {**KNOWN})
    receiver = await _registry(store)
    version = receiver.members_version
    copy = store.copy()
    await sender.remove_member("i2")
    store.restore(copy)
    sender.load(store.table())
    assert await _reconcile(sender, store)
    rows = sender.changes_since(receiver.era, receiver.version)
    assert receiver.load(Rows(rows, sender.version, 0.0, 0.0, sender.era))
    assert receiver.members == sender.members
    assert receiver.groups == sender.groups
    assert receiver.members_version == sender.members_version > version
    # An instance that is behind has nothing for one that is not.
    assert receiver.changes_since(sender.era + 1, 0) == ()


async def test_who_changes_an_instance_knows_it_once_it_is_read():
    """A peer may have the newer version, but not what was written before."""
    store = _Store()
    writer = await _registry(store, {**COPY})
    other = await _registry(store)
    assert await other.write({"group/g": NEW})
    version = writer.members_version
    suspected = replace(MEMBER, suspected=3.0)
    assert await writer.write({"member/i1": suspected})
    assert writer.members_version == version
    assert writer.load(store.table())
    assert writer.members_version > version
    assert writer.groups["g"] == NEW


async def _resign(registry, store, name):
    assert await registry.announce_stop(name)
    assert registry.load(store.table())
    assert await registry.resign(name)
    assert registry.load(store.table())


async def test_the_next_in_line_takes_a_resigned_seat():
    store = _Store()
    names = [f"i{number}" for number in range(VOTER_COUNT + 1)]
    rows = {
        f"member/{name}": replace(MEMBER, since=float(number), can_resign=True)
        for number, name in enumerate(names)
    }
    registry = await _registry(store, rows)
    version = registry.members_version
    await _resign(registry, store, "i2")
    assert registry.voters() == ("i0", "i1", *names[3:])
    assert registry.members_version > version
    # Its shares keep their age, and it goes to the end of the line.
    assert await registry.take_seat("i2", 0.5)
    assert registry.load(store.table())
    assert registry.voters() == ("i0", "i1", *names[3:])
    assert registry.members["i2"].since == 2.0
    await _resign(registry, store, "i0")
    assert registry.voters() == ("i1", *names[3:], "i2")


async def test_of_two_seats_taken_at_once_one_counts():
    store = _Store()
    rows = {
        **COPY,
        "member/i2": replace(MEMBER, resigned=True),
        "member/i3": replace(MEMBER, resigned=True),
        "seats": Seats(newest=1.0),
    }
    first = await _registry(store, rows)
    second = await _registry(store)
    assert await first.take_seat("i2", 9.0)
    assert not await second.take_seat("i3", 9.0)


async def test_a_late_resignation_of_a_process_that_has_ended_is_refused():
    store = _Store()
    old = await _registry(store, {**COPY})
    assert await old.announce_stop("i1")
    assert old.load(store.table())
    settings = SimpleNamespace(
        instance="i1",
        peer_address=MEMBER.address,
        host=MEMBER.host,
        peer_ports=(MEMBER.port, MEMBER.port),
        failure_domain="a",
        capacity=1.0,
        first_start=True,
    )
    new = Registry(_Reading(store.server))
    await new.register(settings)
    assert not new.members["i1"].stops
    assert not await old.resign("i1")
    assert old.load(store.table())
    assert old.voters() == ("i1",)


async def test_a_resignation_is_put_back_after_a_restore():
    store = _Store()
    registry = await _registry(store, {**COPY, "member/i2": ADDED})
    copy = store.copy()
    await _resign(registry, store, "i1")
    store.restore(copy)
    assert await _reconcile(registry, store)
    assert registry.voters() == ("i2",)


class RegistryMachine(RuleBasedStateMachine):
    """Instances that promote while the store goes back to older copies.

    An instance calls the platform right after its write, with the token that
    it then holds. Answers are lost, instances restart without memory, and some
    learn of a restore from their peers, late or never.
    """

    names = st.sampled_from(["i1", "i2", "i3"])

    def __init__(self):
        super().__init__()
        self.server = _Server()
        self.copies = []
        self.calls = []
        self.registries = {}
        self.epochs = []
        self.stores = {}
        for name in ("i1", "i2", "i3"):
            self.restart(name)
        first = self.registries["i1"]
        rows = {**COPY, "group/g": OLD}
        assert trio.run(first.write, rows)
        for name in self.registries:
            self.read(name)

    @rule(name=names)
    def restart(self, name):
        self.stores[name] = _Store(self.server)
        self.stores[name].era = 0
        self.registries[name] = Registry(self.stores[name])
        self.read(name)

    @rule()
    def copy(self):
        self.copies.append(self.server.copy())

    @rule(name=names, is_taken=st.booleans())
    def read_and_promote(self, name, is_taken):
        self.read(name)
        self.promote(name, is_taken, is_answer_lost=False)

    @rule(
        number=st.integers(0, 5),
        restarted=st.sets(names),
        settled_by=names | st.none(),
    )
    def restore(self, number, restarted, settled_by):
        if not self.copies:
            return
        number %= len(self.copies)
        self.server.restore(self.copies[number])
        # A later restore goes back to a copy of the present history.
        self.copies = self.copies[: number + 1]
        for name in sorted(restarted):
            self.restart(name)
        if settled_by is not None:
            self.read(settled_by)
            self.reconcile(settled_by, is_certain=True)

    @rule(name=names)
    def read(self, name):
        self.stores[name].note_era(self.server.own_era)
        self.registries[name].load(self.server.table())

    @rule(asker=names, answerer=names)
    def ask(self, asker, answerer):
        ours, theirs = self.registries[asker], self.registries[answerer]
        rows = Rows(
            theirs.changes_since(ours.era, ours.version),
            theirs.version,
            0.0,
            0.0,
            theirs.era,
        )
        if theirs.era > ours.era:
            ours.load(rows)
        else:
            ours.apply_changes(rows)

    @rule(name=names, is_taken=st.booleans(), is_answer_lost=st.booleans())
    def promote(self, name, is_taken, is_answer_lost):
        registry = self.registries[name]
        duty, record = registry.duty, registry.groups.get("g")
        if duty is None or record is None:
            return
        values = {}
        if is_taken or duty.holder != name:
            duty = Duty(holder=name, fence=duty.fence + 1)
            values["duty"] = duty
        record = GroupRecord(
            epoch=record.epoch + 1, primary=f"d{len(self.calls)}"
        )
        values["group/g"] = record
        unchanged = () if "duty" in values else ("duty",)
        store = self.stores[name]
        store.is_answer_lost = is_answer_lost
        try:
            committed = trio.run(
                partial(registry.write, values, unchanged=unchanged)
            )
        except StoreError:
            return
        finally:
            store.is_answer_lost = False
        if committed is not None:
            self.calls.append((duty.fence, name))
            self.epochs.append(record.epoch)

    @rule(name=names, is_certain=st.booleans())
    def reconcile(self, name, is_certain):
        registry = self.registries[name]
        rows = registry.unreconciled
        if rows is not None:
            reconcile_rows = partial(
                registry.reconcile,
                rows,
                name=name,
                epochs={},
                is_certain=is_certain,
            )
            trio.run(reconcile_rows)
            self.read(name)

    @invariant()
    def tokens_rise_and_have_one_holder(self):
        fences = [fence for fence, _ in self.calls]
        assert fences == sorted(fences)
        assert len(set(self.calls)) == len(set(fences))

    @invariant()
    def epochs_rise(self):
        assert all(a < b for a, b in itertools.pairwise(self.epochs))


TestRegistry = RegistryMachine.TestCase
TestRegistry.settings = settings(
    max_examples=examples(200), stateful_step_count=40, deadline=None
)
