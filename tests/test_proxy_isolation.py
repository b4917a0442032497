"""An instance that is cut off from all homes, on real processes."""

import json
import signal

import trio

from lagoonstair.homes import HomeAssignment, InstanceResources
from lagoonstair.proxy._isolation import ISOLATED_MESSAGE
from lagoonstair.proxy._settings import parse_settings
from lagoonstair.reachability import CONTACT_SECONDS
from proxy_fleet import _is_ready, proxy_fleet
from test_proxy_parts import SETTINGS
from test_proxy_path import MAX_CONNECTIONS, _config_with_few_connections

REFUSAL_SECONDS = 0.5
"""Time limit of a refusal, in seconds; the search for a home takes 1.2 s."""

DETECTION_SECONDS = 4
"""Time limit until an instance is isolated, in seconds; 1 s and a margin for a
busy machine."""


def _entry(fleet, cfg):
    """Returns an instance that is no home."""
    homes = HomeAssignment(
        dict.fromkeys(fleet.processes, InstanceResources("a")),
        max_connections=MAX_CONNECTIONS,
        workspaces=len(cfg["tenants"]),
    )
    return next(name for name in fleet.processes if name not in homes.names)


async def _until_refused(fleet, entry):
    with trio.fail_after(DETECTION_SECONDS):
        while True:
            caller = await fleet.caller(instance=entry)
            if ISOLATED_MESSAGE in caller.greeting[0]:
                return


def _events(fleet, name):
    return [
        e["event"]
        for e in fleet.log(name)
        if e["event"] in ("instance isolated", "instance in contact")
    ]


# Guards against: callers held by an instance that is cut off, sessions that
# stay open there, and an instance that stays out of rotation afterwards.
async def test_an_instance_cut_off_from_all_homes_turns_callers_away(tmp_path):
    cfg = _config_with_few_connections()
    regions = {"a": "r1", "b": "r2"}
    async with proxy_fleet(
        tmp_path, 4, cfg, MAX_CONNECTIONS, settings={"regions": regions}
    ) as fleet:
        entry = _entry(fleet, cfg)
        ready_port = fleet.ports[entry] + 1
        idle = await fleet.caller(instance=entry)
        assert idle.greeting[0].startswith("READY I")
        others = [name for name in fleet.processes if name != entry]
        for name in others:
            fleet.signal(name, signal.SIGSTOP)
        await _until_refused(fleet, entry)
        assert not await _is_ready(ready_port)
        assert await idle.answer() == []
        with trio.fail_after(REFUSAL_SECONDS):
            caller = await fleet.caller(instance=entry)
        assert caller.greeting[0].startswith("ERROR BUSY")
        assert "retry_after_ms=" in caller.greeting[0]
        for name in others:
            fleet.signal(name, signal.SIGCONT)
        await fleet.wait_ready(entry)
        assert _events(fleet, entry) == [
            "instance isolated",
            "instance in contact",
        ]
        again = await fleet.caller(instance=entry)
        assert again.greeting[0].startswith("READY I")


async def test_isolation_is_watched_only_where_callers_are_shed(tmp_path):
    for regions in ({}, {"a": "r1", "b": "r2"}):
        settings = parse_settings(
            json.dumps({**SETTINGS, "regions": regions}).encode()
        )
        assert settings.features.sheds_unreachable is bool(regions)
    cfg = _config_with_few_connections()
    async with proxy_fleet(tmp_path, 4, cfg, MAX_CONNECTIONS) as fleet:
        entry = _entry(fleet, cfg)
        for name in fleet.processes:
            if name != entry:
                fleet.signal(name, signal.SIGSTOP)
        await trio.sleep(2 * CONTACT_SECONDS)
        assert await _is_ready(fleet.ports[entry] + 1)
        assert _events(fleet, entry) == []
