"""Order of the calls by which one instance promotes several groups."""

from types import SimpleNamespace

import pytest
import trio

from lagoonstair._types import Address, Position
from lagoonstair.evacuation import Evacuations, EvacuationSet
from lagoonstair.features import Features
from lagoonstair.platform.duties import PromoteAnswer
from lagoonstair.primacy import Cause, Duty, GroupRecord, PendingPromotion
from lagoonstair.proxy import _promoter
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._promoter import HANDOVER_WAIT_FRACTION, Promoter
from lagoonstair.routing import Endpoint

WRITE_SECONDS = 0.01
CALL_SECONDS = {"g": 0.3, "h": 0.05, "k": 0.1}
"""How long each group's call is on its way to the platform, in seconds."""


class _Registry:
    """A registry whose writes succeed after a while."""

    def __init__(self):
        self.duty = Duty(holder="i1", fence=5)
        self.groups = {}

    async def write(self, values, *, unchanged=()):
        fence = self.duty.fence
        await trio.sleep(WRITE_SECONDS)
        if self.duty.fence != fence:
            return None
        self.duty = values.get("duty", self.duty)
        return object()


class _Duties:
    """Records the fencing tokens in the order in which they arrive."""

    def __init__(self):
        self.fences = []

    async def promote(self, group, endpoint, *, holder, fence):
        await trio.sleep(CALL_SECONDS[group])
        self.fences.append(fence)
        return PromoteAnswer.ACCEPTED


def _endpoint(name, domain, *, leaving=False):
    return Endpoint(
        name=name,
        group="g",
        address=Address("10.0.0.1", 1),
        failure_domain=domain,
        slots=4,
        leaving=leaving,
        says_primary=False,
        started=1,
    )


def _record(*endpoints):
    pending = (PendingPromotion(endpoint=e, started=1) for e in endpoints)
    return GroupRecord(epoch=2, primary="d1", pending=tuple(pending))


@pytest.mark.parametrize(
    ("promoting", "delay"), [("i1", 0.0), ("i9", 1.4), ("", 1.4)]
)
async def test_an_instance_resumes_its_own_promotion_without_delay(
    promoting, delay, autojump_clock
):
    """After a restore, the instance that reconciled verifies the primaries."""
    record = GroupRecord(epoch=2, primary="d1", promoting=promoting)
    others = {"a1", "a2", "a3", "h"}
    primacy = SimpleNamespace(
        records={"g": record}, responsive_voters=lambda now, within: others
    )
    registry = _Registry()
    registry.duty = Duty(holder="h", fence=5)
    promoter = Promoter(
        SimpleNamespace(name="i1", primacy=primacy, evacuation=Evacuations()),
        registry,
        None,
        None,
        None,
        None,
        None,
        Metrics(),
        drain_seconds=7.0,
    )
    promoter._cause = lambda group: Cause.STALLED
    started_at = trio.current_time()
    while not promoter._is_due("g"):
        await trio.sleep(0.05)
    assert trio.current_time() - started_at == pytest.approx(delay, abs=0.06)


@pytest.mark.parametrize("late_by", [0.0, WRITE_SECONDS / 2, 0.2])
async def test_no_lower_fencing_token_arrives_after_a_higher_one(
    late_by, autojump_clock
):
    async def read_registry():
        await trio.lowlevel.checkpoint()

    duties = _Duties()
    promoter = Promoter(
        SimpleNamespace(name="i1", set_record=lambda group, record: None),
        _Registry(),
        SimpleNamespace(read_registry=read_registry),
        None,
        None,
        None,
        duties,
        Metrics(),
        drain_seconds=7.0,
    )

    async def call(group, record, delay):
        await trio.sleep(delay)
        assert await promoter._call(group, record, "d2", Position(1, 1))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call, "g", _record("d2"), 0.0)
        nursery.start_soon(call, "h", _record("d3", "d2"), late_by)
        nursery.start_soon(call, "k", _record("d2"), late_by * 1.5)
    assert duties.fences == sorted(duties.fences)
    assert duties.fences[-1] == 6


@pytest.mark.parametrize(
    ("domains", "pending", "is_due"),
    [
        ((), (), True),
        (("a",), (), True),
        (("a", "b"), (), False),
        # The effect of a call must be recorded in any case.
        (("a", "b"), ("d2",), True),
    ],
)
async def test_a_stalled_promotion_waits_while_all_domains_are_evacuated(
    domains, pending, is_due, autojump_clock, monkeypatch
):
    """Each attempt would write a step with a higher epoch, and then fail."""
    logged = []
    monkeypatch.setattr(
        _promoter, "log_event", lambda event, **fields: logged.append(event)
    )
    fleet = Fleet("i1", "a", Metrics(), Features(5.0))
    for name, domain in (("d1", "a"), ("d2", "b")):
        fleet.set_endpoint(_endpoint(name, domain))
    fleet.set_record("g", _record(*pending))
    now = trio.current_time()
    fleet.evacuation.apply(EvacuationSet(1, 1, domains), now, current_at=now)
    promoter = Promoter(
        fleet, _Registry(), *[None] * 5, Metrics(), drain_seconds=7.0
    )
    promoter._cause = lambda group: Cause.STALLED
    for _ in range(20):
        found = promoter._is_due("g")
        await trio.sleep(0.1)
    assert found is is_due
    assert logged == ["promotion without candidates"] * (not is_due)


class _RestartingPeers:
    """Gossip with one instance that does not respond."""

    def missed_rounds(self, name):
        return int(name == "i3")

    def peer_reports(self, group, within):
        return {}


@pytest.mark.parametrize("blocked_seconds", [0.0, 2.0, 6.0])
async def test_a_primary_leaves_also_while_nothing_can_be_promoted(
    blocked_seconds, autojump_clock
):
    """Under a rolling restart the handover waited anew at each majority."""
    fleet = Fleet("i1", "a", Metrics())
    fleet.set_endpoint(_endpoint("d1", "a", leaving=True))
    fleet.set_record("g", GroupRecord(epoch=1, primary="d1"))
    fleet.primacy.set_voters(["i1", "i2", "i3"], 1)
    registry = _Registry()
    registry.members = {"i1": None, "i2": None, "i3": None}
    follower = SimpleNamespace(endpoints_age=0.0)
    promoter = Promoter(
        fleet,
        registry,
        follower,
        _RestartingPeers(),
        *[None] * 3,
        Metrics(),
        drain_seconds=7.0,
    )
    begun_at = []

    async def note_promotion(group):
        begun_at.append(trio.current_time())
        await trio.sleep_forever()

    promoter._run_promotion = note_promotion
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(promoter.run)
        while not begun_at:
            await trio.sleep(0.1)
            now = trio.current_time()
            if now - started_at >= blocked_seconds:
                fleet.primacy.note_report(
                    "i2", now, members_version=1, epochs={}, proof_age=0.0
                )
        nursery.cancel_scope.cancel()
    wait = HANDOVER_WAIT_FRACTION * 7.0
    latest = max(wait, blocked_seconds) + 1.0
    assert wait - 0.5 <= begun_at[0] - started_at <= latest
