"""Requests through a fleet of real processes, some killed or frozen.

Guards against lost or repeated writes when a primary or an owner fails, and
against requests that a shutdown aborts.
"""

import itertools
import json
import signal

import pytest
import trio

from lagoonstair._types import Address
from lagoonstair.demo._fleet import HOST, free_port, instance_settings
from lagoonstair.standins.platform import PlatformConfig, PlatformStandin
from process_fleet import Process, process_fleet

ZVOLEN = "zlab-zvolen"
ORDER = {"order_no": "Z-1", "run_mm": 6000, "brackets": 12, "sheets": 3}


async def _order(fleet, instance, key, number, session=None):
    params = {**ORDER, "order_no": f"Z-{number}"}
    more = {"session": session} if session else {}
    return await fleet.request(
        instance,
        ZVOLEN,
        "order-request",
        params,
        request_id=f"order-{number}",
        key=key,
        **more,
    )


async def _status(fleet, instance, key, number, session):
    found = await fleet.request(
        instance,
        ZVOLEN,
        "order-status",
        {"order_no": f"Z-{number}"},
        session=session,
        key=key,
    )
    return found["results"][0]


async def _until_answered(send):
    """Repeats a request with its ID, as callers may after every error."""
    while True:
        found = await send()
        if found["outcome"] == "answered":
            return found


@pytest.fixture
def folder(tmp_path):
    return tmp_path


async def test_session_roams_over_seven_instances(folder):
    async with process_fleet(folder) as fleet:
        key = await fleet.apply_samples(ZVOLEN)
        session = None
        pairs = itertools.pairwise(itertools.cycle(fleet.instances))
        for number, (here, there) in zip(range(14), pairs, strict=False):
            done = await _order(fleet, here, key, number, session)
            assert done["outcome"] == "answered", done
            session = done["session"]
            rows = await _status(fleet, there, key, number, session)
            assert rows == [[f"Z-{number}", 6000, 12, 3]]


async def test_answered_orders_survive_the_primarys_death_once(folder):
    async with process_fleet(folder, instances=3, groups=1) as fleet:
        key = await fleet.apply_samples(ZVOLEN)
        session = None
        for number in range(10):
            if number == 4:
                fleet.databases["g1a"].kill()
            instance = f"i{number % 3 + 1}"
            done = await _until_answered(
                lambda i=instance, n=number, s=session: _order(
                    fleet, i, key, n, s
                )
            )
            session = done["session"]
        for number in range(10):
            rows = await _status(fleet, "i1", key, number, session)
            assert rows == [[f"Z-{number}", 6000, 12, 3]]


@pytest.mark.parametrize("how", ["kill", "freeze"])
async def test_orders_go_on_without_their_owner(folder, how):
    async with process_fleet(folder, instances=3, groups=1) as fleet:
        key = await fleet.apply_samples(ZVOLEN)
        first = await _order(fleet, "i1", key, 0)
        owner = first["served_by"]["instance"]
        entry = next(name for name in fleet.instances if name != owner)
        getattr(fleet.instances[owner], how)()
        session = first["session"]
        for number in range(1, 5):
            done = await _until_answered(
                lambda n=number, s=session: _order(fleet, entry, key, n, s)
            )
            session = done["session"]
            rows = await _status(fleet, entry, key, number, session)
            assert len(rows) == 1


async def test_sigterm_cuts_no_started_request(folder):
    async with process_fleet(folder, instances=3, groups=1) as fleet:
        key = await fleet.apply_samples(ZVOLEN)
        for name in fleet.databases:
            await fleet.fault_database(name, slow=0.3)
        answers = []

        async def send(number):
            answers.append(await _order(fleet, "i1", key, number))

        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(send, number)
            await fleet.wait_started("i1", 4)
            fleet.instances["i1"].send(signal.SIGTERM)
        assert [answer["outcome"] for answer in answers] == ["answered"] * 4
        assert await fleet.instances["i1"].wait() == 0


@pytest.mark.parametrize(
    ("taken", "line", "code"),
    [
        ("platform", b"waiting for the configuration", 0),
        ("callers", b"cannot serve", 1),
        ("peers", b"cannot serve", 1),
    ],
)
async def test_a_start_that_cannot_serve_says_why(tmp_path, taken, line, code):
    addresses = {
        name: Address(HOST, free_port())
        for name in ("platform", "callers", "operators", "peers")
    }
    cfg = instance_settings(name="i1", domain="a", timing={}, **addresses)
    cfg["log"] = {"level": "INFO"}
    path = tmp_path / "i1.json"
    path.write_text(json.dumps(cfg))
    args = ["lagoonstair.service", "--config", str(path)]
    async with trio.open_nursery() as nursery:
        if taken != "platform":
            platform = PlatformStandin.from_config(PlatformConfig(host=HOST))
            port = addresses["platform"].port
            await nursery.start(platform.serve, HOST, port)
            await nursery.start(_occupy, addresses[taken])
        process = await Process.start("i1", args, nursery, ready=line)
        if code == 0:
            process.send(signal.SIGTERM)
        assert await process.wait() == code
        nursery.cancel_scope.cancel()


async def _occupy(address, task_status):
    [listener] = await trio.open_tcp_listeners(address.port, host=address.host)
    async with listener:
        task_status.started()
        await trio.sleep_forever()
