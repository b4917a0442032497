"""Requests from a caller to a database and back, with a fleet in one process.

Covers sessions, request IDs, transactions, invalid input, keys and shutdown.
"""

import itertools
import json

import msgspec
import pytest
from loguru import logger

from lagoonstair.demo import Fleet, FleetPlan, load_sample
from lagoonstair.demo._fleet import OPERATOR_KEY, call
from lagoonstair.ports import ListingState
from lagoonstair.wire import HttpConnection

ZVOLEN = "zlab-zvolen"
DETVA = "zlab-detva"
KOCHI = "vembanad-kochi"
ORDER = {"order_no": "Z-1", "run_mm": 6000, "brackets": 12, "sheets": 3}


async def _until_listed(operators, version):
    """Waits until an instance uses a version of the platform's listing."""
    found = {"listing_version": 0}
    while found["listing_version"] < version:
        answer = await call(operators, "GET", "/v1/status", key=OPERATOR_KEY)
        found = json.loads(answer.body)


class Caller:
    """A caller with one key that sends requests to the instances in turn."""

    def __init__(self, fleet, workspace, key):
        self.workspace = workspace
        self.key = key
        self.session = None
        self.use([daemon.callers for daemon in fleet.daemons.values()])

    def use(self, addresses):
        """Replaces the addresses that requests are sent to in turn."""
        self._addresses = itertools.cycle(addresses)

    async def send(self, target, body, *, key=None):
        answer = await call(
            next(self._addresses),
            "POST",
            f"/v1/workspaces/{self.workspace}/{target}",
            body,
            key=key or self.key,
        )
        found = json.loads(answer.body)
        self.session = found.get("session", self.session)
        return found

    async def run(self, route, params, **more):
        body = {"params": params, **more}
        if self.session is not None:
            body["session"] = self.session
        return await self.send(f"routes/{route}", body)


@pytest.fixture
async def fleet(nursery):
    plan = FleetPlan(
        instances=3, timing={"freshness_bound": 1.0, "config_poll": 0.2}
    )
    fleet = await Fleet.start(plan, nursery)
    for sample in ("medostreh", "vembanad"):
        await fleet.call_operator("POST", "/v1/apply", load_sample(sample))
    return fleet


@pytest.fixture
async def zvolen(fleet):
    return Caller(fleet, ZVOLEN, await fleet.issue_key(ZVOLEN))


async def test_roaming_session_reads_its_own_writes(fleet, zvolen):
    for number in range(6):
        order = {**ORDER, "order_no": f"Z-{number}"}
        assert (await zvolen.run("order-request", order))["outcome"] == (
            "answered"
        )
        found = await zvolen.run("order-status", {"order_no": f"Z-{number}"})
        assert found["results"] == [[[f"Z-{number}", 6000, 12, 3]]]


async def test_repeated_request_id_runs_once(fleet, zvolen):
    first = await zvolen.run("order-request", ORDER, request_id="r1")
    second = await zvolen.run("order-request", ORDER, request_id="r1")
    other = await zvolen.run(
        "order-request", {**ORDER, "sheets": 4}, request_id="r1"
    )
    assert not first.get("duplicate", False)
    assert second["duplicate"]
    assert second["served_by"]["offset"] == first["served_by"]["offset"]
    assert other["error"]["kind"] == "request_id_reused"
    found = await zvolen.run("order-status", {"order_no": "Z-1"})
    assert len(found["results"][0]) == 1


async def test_transaction_commits_whole_and_rolls_back_whole(fleet):
    kochi = Caller(fleet, KOCHI, await fleet.issue_key(KOCHI))
    await kochi.run("stock-blank", {"blank": "MG-11", "free": 5})

    async def reserve_two(end):
        first = await kochi.run(
            "reserve",
            {"blank": "MG-11", "hold": f"{end}1"},
            transaction="begin",
        )
        token = first["transaction"]
        await kochi.run(
            "reserve", {"blank": "MG-11", "hold": f"{end}2"}, transaction=token
        )
        return await kochi.send(
            f"transactions/{token}/{end}", {"session": kochi.session}
        )

    assert (await reserve_two("rollback"))["outcome"] == "answered"
    found = await kochi.run("portal-lookup", {"blank": "MG-11"})
    assert found["results"] == [[["MG-11", 5]]]
    assert (await reserve_two("commit"))["outcome"] == "answered"
    found = await kochi.run("portal-lookup", {"blank": "MG-11"})
    assert found["results"] == [[["MG-11", 3]]]


async def test_failed_statement_is_not_run(fleet):
    kochi = Caller(fleet, KOCHI, await fleet.issue_key(KOCHI))
    await kochi.run("stock-blank", {"blank": "MG-11", "free": 0})
    found = await kochi.run("reserve", {"blank": "MG-11", "hold": "h"})
    assert found["outcome"] == "not_run"
    assert found["error"]["kind"] == "statement_failed"
    found = await kochi.run("hold-status", {"hold": "h"})
    assert found["results"] == [[]]


@pytest.mark.parametrize(
    ("target", "body", "kind"),
    [
        ("routes/order-status", b"{", "bad_request"),
        ("routes/order-status", b"[]", "bad_request"),
        ("routes/order-status", b'{"params": 1}', "bad_request"),
        ("routes/order-status", b'{"extra": 1}', "bad_request"),
        ("routes/order-status", b'{"request_id": ""}', "bad_request"),
        ("routes/order-status", b'{"params":{}}', "statement_failed"),
        (
            "routes/order-status",
            b'{"params":{"order_no":"1","workspace":"x"}}',
            "bad_request",
        ),
        ("routes/order-status", b'{"session": "x"}', "session_invalid"),
        ("routes/order-status", b'{"transaction": "x"}', "session_invalid"),
        ("routes/nothing", b"{}", "not_found"),
        ("transactions/x/commit", b"{}", "session_invalid"),
        ("nothing", b"{}", "not_found"),
        ("routes/order-status", b" " * 1_100_000, "too_large"),
    ],
)
async def test_bad_input_names_its_fault(fleet, zvolen, target, body, kind):
    conn = await HttpConnection.open(fleet.daemons["i1"].callers)
    answer = await conn.call(
        "POST",
        f"/v1/workspaces/{ZVOLEN}/{target}",
        body,
        headers=[("authorization", f"Bearer {zvolen.key}")],
    )
    found = msgspec.json.decode(answer.body)
    assert found["outcome"] == "not_run"
    assert found["error"]["kind"] == kind
    good = await zvolen.run("order-request", ORDER)
    assert good["outcome"] == "answered"


async def test_a_request_runs_only_for_its_keys_workspace(fleet, zvolen):
    detva = Caller(fleet, DETVA, await fleet.issue_key(DETVA))
    await zvolen.run("order-request", ORDER)
    found = await detva.run("order-status", {"order_no": "Z-1"})
    assert found["results"] == [[]]
    stolen = Caller(fleet, DETVA, zvolen.key)
    found = await stolen.run("order-status", {"order_no": "Z-1"})
    assert found["error"]["kind"] == "forbidden"
    detva.session = zvolen.session
    found = await detva.run("order-status", {"order_no": "Z-1"})
    assert found["error"]["kind"] == "forbidden"
    nobody = Caller(fleet, ZVOLEN, "")
    found = await nobody.send("routes/order-status", {})
    assert found["error"]["kind"] in ("unauthenticated", "bad_request")


async def test_open_route_needs_no_key(fleet):
    kochi = Caller(fleet, KOCHI, await fleet.issue_key(KOCHI))
    await kochi.run("stock-blank", {"blank": "MG-11", "free": 5})
    nobody = Caller(fleet, KOCHI, None)
    found = await nobody.run("portal-lookup", {"blank": "MG-11"})
    assert found["results"] == [[["MG-11", 5]]]


async def test_withdrawn_key_stops_for_connected_callers(fleet, zvolen):
    conn = await HttpConnection.open(fleet.daemons["i2"].callers)
    target = f"/v1/workspaces/{ZVOLEN}/routes/order-request"
    body = msgspec.json.encode({"params": ORDER})
    headers = [("authorization", f"Bearer {zvolen.key}")]
    first = await conn.call("POST", target, body, headers=headers)
    key_id = zvolen.key.split("_")[1]
    await fleet.call_operator("DELETE", f"/v1/keys/{key_id}")
    second = await conn.call("POST", target, body, headers=headers)
    assert (first.status, second.status) == (200, 401)


async def test_no_database_and_no_log_receives_a_key(fleet, zvolen):
    logged = []
    sink = logger.add(logged.append, level="TRACE", format="{message}")
    routes = {
        "order-request": ORDER,
        "order-status": {"order_no": "Z-1"},
        "catalogue-price": {"profile": "K5", "price_cents": 1},
        "catalogue-lookup": {"profile": "K5"},
        "site-note": {"site": "s", "note": "n"},
        "site-notes": {"site": "s"},
        "no-such-route": {},
    }
    for route, params in routes.items():
        await zvolen.run(route, params)
        await zvolen.run(route, {"wrong": 1})
    first = await zvolen.run("order-request", ORDER, transaction="begin")
    token = first["transaction"]
    await zvolen.send(f"transactions/{token}/commit", {})
    logger.remove(sink)
    received = [
        await call(address, "GET", "/admin/received?after=0")
        for address in fleet.database_addresses.values()
    ]
    secret = zvolen.key.split("_")[2]
    assert any(b"order_no" in answer.body for answer in received)
    assert not any(secret.encode() in answer.body for answer in received)
    assert not any(b"Bearer" in answer.body for answer in received)
    assert not any(secret in line for line in logged)


async def test_drain_waits_for_an_open_transaction(fleet):
    kochi = Caller(fleet, KOCHI, await fleet.issue_key(KOCHI))
    await kochi.run("stock-blank", {"blank": "MG-11", "free": 5})
    reserve = {"blank": "MG-11", "hold": "h"}
    first = await kochi.run("reserve", reserve, transaction="begin")
    owner = fleet.daemons[first["served_by"]["instance"]]
    owner.request_drain()
    others = [d.callers for d in fleet.daemons.values() if d is not owner]
    kochi.use(others)
    for _ in range(20):
        await kochi.run("portal-lookup", {"blank": "MG-11"})
    target = f"transactions/{first['transaction']}/commit"
    assert (await kochi.send(target, {}))["outcome"] == "answered"
    await owner.stopped.wait()
    assert owner.drained_cleanly
    found = await kochi.run("hold-status", {"hold": "h"})
    assert found["results"] == [[["h", "MG-11", "held", 0]]]


async def test_withdrawn_key_ends_its_open_transaction(fleet):
    key = await fleet.issue_key(KOCHI)
    kochi = Caller(fleet, KOCHI, key)
    await kochi.run("stock-blank", {"blank": "MG-11", "free": 5})
    reserve = {"blank": "MG-11", "hold": "h"}
    first = await kochi.run("reserve", reserve, transaction="begin")
    await fleet.call_operator("DELETE", f"/v1/keys/{key.split('_')[1]}")
    target = f"transactions/{first['transaction']}/commit"
    assert (await kochi.send(target, {}))["outcome"] == "not_run"
    other = Caller(fleet, KOCHI, await fleet.issue_key(KOCHI))
    found = await other.send(target, {})
    assert found["outcome"] != "answered"
    found = await other.run("hold-status", {"hold": "h"})
    assert found["results"] == [[]]


async def test_leaving_database_gets_no_new_work(fleet, zvolen):
    await zvolen.run("order-request", ORDER)
    listing = fleet.listing
    groups = tuple(
        msgspec.structs.replace(
            group,
            members=tuple(
                msgspec.structs.replace(member, state=ListingState.LEAVING)
                if member.name == "g1b"
                else member
                for member in group.members
            ),
        )
        for group in listing.groups
    )
    fleet.platform.change_listing(
        msgspec.structs.replace(listing, groups=groups)
    )
    for daemon in fleet.daemons.values():
        await _until_listed(daemon.operators, 2)
    served = {
        (await zvolen.run("order-status", {"order_no": "Z-1"}))["served_by"][
            "endpoint"
        ]
        for _ in range(20)
    }
    assert served == {"g1c"}


async def test_operator_needs_an_operators_key(fleet, zvolen):
    address = fleet.daemons["i1"].operators
    for key in (None, "x", zvolen.key):
        answer = await call(address, "GET", "/v1/status", key=key)
        assert answer.status in (400, 401, 403)
    answer = await call(address, "GET", "/v1/status", key=OPERATOR_KEY)
    assert msgspec.json.decode(answer.body)["name"] == "i1"
