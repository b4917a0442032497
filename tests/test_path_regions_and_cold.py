"""Home regions and cold endpoints with real processes and stand-ins."""

import itertools

import msgspec
import trio

import proxy_fleet
from proxy_fleet import ProxyFleet, config

REGIONS = {"a": "east", "b": "west"}

COLD_SECONDS = 4
COLD_RATE = 10
BOUND = 18
"""Requests that the cold endpoint may get in any second: its rate times the
excess of 1.5, and a slack of 3."""


class _Fleet(ProxyFleet):
    """A fleet in two regions, with limits for cold endpoints."""

    async def write_settings(self, name):
        path = await super().write_settings(name)
        settings = msgspec.json.decode(path.read_bytes())
        settings |= {
            "failure_domain": "ab"[int(name[1:]) % 2],
            "regions": REGIONS,
            "cold_excess": 1.5,
            "cold_slack": 3,
        }
        path.write_bytes(msgspec.json.encode(settings))
        return path

    def entry_of(self, database):
        zone = "b" if database.name == "d2" else "a"
        return {**super().entry_of(database), "zone": zone}


class _TimedList(list):
    """Keeps the times at which statements of callers are added."""

    def __init__(self):
        super().__init__()
        self.times = []

    def append(self, item):
        super().append(item)
        if item[0].startswith("q"):
            self.times.append(trio.current_time())


def _config_with_regions():
    """Returns a configuration in which only some instances are homes."""
    cfg = config()
    for row in cfg["routes"]:
        if row["database"] in ("b", "p"):
            row["home_regions"] = ["west"]
    cfg["services"][0]["max_conns"] = 6
    cfg["tenants"] += [
        {"name": f"x{n}", "api_keys": [], "rate_per_s": 9, "burst": 9}
        for n in range(30)
    ]
    return cfg


async def test_constrained_requests_stay_in_their_home_region(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(proxy_fleet, "ProxyFleet", _Fleet)
    async with proxy_fleet.proxy_fleet(
        tmp_path, instances=4, cfg=_config_with_regions()
    ) as fleet:
        databases = fleet.group.databases
        # Replicas serve reads once the primary's position is known.
        free = await fleet.caller("s", instance="i2")
        written = await free.ask("q0", "WRITE a 1")
        assert written[0].startswith("COMPLETE"), written
        for instance in fleet.processes:
            reader = await fleet.caller("b", instance=instance)
            answer = []
            for number in range(60):
                name = f"qr-{instance}-{number}"
                answer = await reader.ask(name, "READ a")
                if answer[0].startswith("ROW"):
                    break
                await trio.sleep(0.05)
            assert answer[0].startswith("ROW"), answer
            writer = await fleet.caller("p", instance=instance)
            asked_at = trio.current_time()
            refused = await writer.ask(f"qw-{instance}", "WRITE a 2")
            assert trio.current_time() - asked_at < 1
            assert refused[0].startswith("ERROR BUSY"), refused
            assert "home regions" in refused[0]
            assert refused[0].endswith("retry_after_ms=3000")
        for name in ("d1", "d3"):
            ids = databases[name].received_ids
            assert not {i for i in ids if i.startswith(("qr", "qw"))}
        # They ran at the homes of that region, not at those of the other.
        expected = {f"qw-{name}" for name in fleet.processes}
        await fleet.until(lambda: expected <= _answered(fleet, "i1", "i3"))
        assert not expected & _answered(fleet, "i2", "i4")


async def test_a_cold_primary_gets_no_more_than_its_bound(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(proxy_fleet, "ProxyFleet", _Fleet)
    cfg = config()
    cfg["services"][0] |= {
        "cold_start_s": COLD_SECONDS,
        "cold_per_s": COLD_RATE,
    }
    async with proxy_fleet.proxy_fleet(tmp_path, instances=2, cfg=cfg) as fleet:
        names = [*fleet.processes]
        answers = {"p": [], "b": []}
        stopped = False

        async def read(instance, database):
            caller = await fleet.caller(database, instance=instance)
            for number in itertools.count():
                if stopped:
                    return
                name = f"q-{instance}-{database}-{number}"
                answer = await caller.ask(name, "READ a")
                answers[database].append(answer[0])

        # The homes must be known for longer than gossip takes.
        await trio.sleep(3)
        primary = fleet.group.primary
        primary.statements = _TimedList()
        cold = {"seq_no": 2, "cold_left_ms": COLD_SECONDS * 1000}
        fleet.store.put("servers", "d1", {**fleet.entry_of(primary), **cold})
        await fleet.until(
            lambda: all(_events(fleet, name, "endpoint cold") for name in names)
        )
        async with trio.open_nursery() as nursery:
            for name, database in itertools.product(names, answers):
                nursery.start_soon(read, name, database)
            await trio.sleep(COLD_SECONDS - 1)
            times = [*primary.statements.times]
            cold_answers = {name: [*found] for name, found in answers.items()}
            await fleet.until(
                lambda: all(
                    _events(fleet, name, "endpoint warm") for name in names
                )
            )
            count = len(primary.statements.times)
            await fleet.until(
                lambda: len(primary.statements.times) > count + 2 * BOUND
            )
            stopped = True
        assert _most_in_a_second(times) <= BOUND
        # Both instances know their shares at once, so it does serve.
        assert len(times) >= COLD_RATE
        assert all(
            _events(fleet, name, "cold share")[0]["at_once"] for name in names
        )
        # What only the primary can run is refused with a hint, the rest runs
        # elsewhere.
        refused = {text for text in cold_answers["p"] if "ERROR" in text}
        assert refused
        for text in refused:
            assert text.startswith("ERROR BUSY the endpoint has just started")
            assert "retry_after_ms=" in text
        assert len(cold_answers["b"]) > len(times)
        assert not [text for text in cold_answers["b"] if "ERROR" in text]


def _answered(fleet, *names):
    """Returns the requests that instances have logged as answered."""
    return {
        line["request"]
        for name in names
        for line in _events(fleet, name, "statement answered")
    }


def _events(fleet, name, event):
    return [line for line in fleet.log(name) if line["event"] == event]


def _most_in_a_second(times):
    return max(
        (sum(0 <= at - first < 1 for at in times) for first in times),
        default=0,
    )
