"""Runs processes of two builds in one fleet; docs/OPERATIONS.md says when.

Usage: python mixed_builds.py OLD_SRC NEW_SRC

Each argument is the ``src`` folder of a checkout; the stand-ins and the checks
are those of this one. A rolling upgrade has both builds in one fleet, and each
build reads the rows and settings that the other one wrote. A renamed message
class, field or stored key breaks this, although each build passes its tests
alone. Every scenario runs with the old build alone first, for comparison.

Exits with 1 when a run breaks a promise or logs a fault; the settings and logs
of such a run are kept under build/mixed.
"""

import collections
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile

import trio

from fault_soak import SoakCaller, SoakFleet, _wait_recovered, check_results
from lagoonstair._types import Address
from lagoonstair.demo._fleet import HOST, domain_of, free_port
from lagoonstair.wire import HttpError, NotSentError
from process_fleet import ProcessFleet
from proxy_fleet import config

SOAK_CALLERS = 8
STEP_SECONDS = 2.0
"""Time under load after each step of the scenario."""

SCENARIO_SECONDS = 120
"""Longer than a scenario takes beside load; ends one that hangs."""

FEW_CONNECTIONS = 6
"""Too few connections for all workspaces, so that sessions are relayed."""

BORROWING_RATE = 40
BORROWING_SECONDS = 4.0
"""How long one instance's caller spends more than that instance's share."""

FLOOD_CALLERS = 6
FLOOD_REQUESTS = 15
FLOOD_RATE = 5
FLOOD_BURST = 20

BORROWED_FACTOR = 1.5
"""How many times an instance's own share it admits at least, if it borrows."""

BORROWER = "i1"
"""Where those callers are; the first build in a scenario's list runs it."""

FAULT_EVENTS = frozenset(
    {
        "session failed",
        "settings refused",
        "settings invalid",
        "configuration unreadable",
    }
)
"""Log events that no run may show, in the wording of either build."""

FAULT_WORDS = (
    b"Traceback",
    b"handler failed",
    b"unknown peer",
    b"failed to authenticate",
    b"can't be read",
    b"can't read the configuration log",
    b"can't apply the configuration log",
    b"Error at ",
)
"""Parts of lines that no process may print, in the wording of either build:
exceptions, failed authentication and messages that cannot be decoded."""

ORDER = {"run_mm": 6000, "brackets": 12, "sheets": 3}
WORKSPACE = "zlab-zvolen"


class MixedProxies(SoakFleet):
    """Proxy processes, each of the build that its name is given.

    Attributes:
        sources: The ``src`` folder of each instance's build.
    """

    def __init__(self, tmp_path, nursery, sources):
        super().__init__(tmp_path, nursery)
        self.sources = sources

    async def start_instance(self, name):
        # The process takes the environment of this one; nothing else starts
        # processes meanwhile.
        await self.store_port_of(name)
        os.environ["PYTHONPATH"] = self.sources[name]
        await super().start_instance(name)

    async def replace(self, name, source, number=signal.SIGTERM):
        """Ends an instance and starts it from another build."""
        self.signal(name, number)
        code = await self.wait_ended(name)
        self.ended.append((name, number, code))
        self.sources[name] = source
        await self.start_instance(name)
        await self.wait_ready(name)


def proxy_config(version, *, relayed):
    """A configuration; with relayed sessions it has many workspaces."""
    cfg = config(version=version)
    cfg["tenants"].append(
        {
            "name": "borrowing",
            "api_keys": ["key-borrowing"],
            "rate_per_s": BORROWING_RATE,
            "burst": BORROWING_RATE,
        }
    )
    if relayed:
        cfg["services"][0]["max_conns"] = FEW_CONNECTIONS
        cfg["tenants"] += [
            {"name": f"x{n}", "api_keys": [], "rate_per_s": 9, "burst": 9}
            for n in range(30)
        ]
    return cfg


async def _promote(fleet):
    primary = fleet.group.primary
    primary.crash()
    await fleet.until(lambda: fleet.group.primary is not primary)
    primary.recover()


async def _hand_over(fleet):
    primary = fleet.group.primary
    primary.draining = True
    fleet.group.publish_entry(primary)
    await fleet.until(lambda: fleet.group.primary is not primary)
    primary.draining = False
    fleet.group.publish_entry(primary)


async def _change_config(fleet, version, cfg):
    """Changes the configuration; returns once a new key works everywhere."""
    cfg["tenants"].append(
        {
            "name": f"new{version}",
            "api_keys": [f"key-new{version}"],
            "rate_per_s": 9,
            "burst": 9,
        }
    )
    fleet.store.put("op", "config", cfg)
    for name in fleet.processes:
        greeting = []
        while greeting != ["READY I -"]:
            caller = await fleet.caller(key=f"key-new{version}", instance=name)
            greeting = caller.greeting
            caller.close()


async def _borrow(fleet):
    """Writes at one instance only; returns how many writes were admitted."""
    caller = await fleet.caller(key="key-borrowing", instance=BORROWER)
    admitted = 0
    with trio.move_on_after(BORROWING_SECONDS):
        for number in itertools.count():
            answer = await caller.ask(f"b{number}", f"WRITE b{number} data")
            if not answer:
                caller = await fleet.caller(
                    key="key-borrowing", instance=BORROWER
                )
            admitted += any(line.startswith("COMPLETE") for line in answer)
            await trio.sleep(0.002)
    caller.close()
    return admitted


async def _mixed_steps(fleet, relayed):
    """What happens in a mixed fleet while callers write and read."""
    await _change_config(fleet, 2, proxy_config(2, relayed=relayed))
    await trio.sleep(STEP_SECONDS)
    await _promote(fleet)
    await trio.sleep(STEP_SECONDS)
    await _hand_over(fleet)
    await trio.sleep(STEP_SECONDS)
    for name in ("i1", "i2"):
        await fleet.replace(name, fleet.sources[name], signal.SIGKILL)
    await trio.sleep(STEP_SECONDS)


def _stored_keys(fleet):
    """The JSON keys of the proxies' own rows, by the prefix of the row."""
    found = collections.defaultdict(set)
    for (table, key), _ in [*fleet.store._rows.items()]:
        value = fleet.store.row(table, key)
        if table == "lagoonstair" and isinstance(value, dict):
            found[key.partition("/")[0]].update(value)
    return dict(found)


async def _upgrade_steps(fleet, source):
    """Replaces all instances at once: the new ones start on stored rows."""
    await _promote(fleet)
    before = _stored_keys(fleet)
    for name in fleet.processes:
        fleet.signal(name, signal.SIGKILL)
    for name in [*fleet.processes]:
        await fleet.wait_ended(name)
        fleet.sources[name] = source
    for name in [*fleet.processes]:
        await fleet.start_instance(name)
    for name in [*fleet.processes]:
        await fleet.wait_ready(name)
    await _promote(fleet)
    await trio.sleep(STEP_SECONDS)
    return [
        f"rows {prefix}: keys {sorted(before[prefix])} became {sorted(keys)}"
        for prefix, keys in _stored_keys(fleet).items()
        if keys != before[prefix]
    ]


async def run_proxies(tmp_path, sources, *, relayed, later=None):
    """Runs proxies; returns what broke, and counts of what was seen.

    Args:
        tmp_path: Takes settings and logs.
        sources: The builds of the instances, in order.
        relayed: Whether other instances run the callers' sessions.
        later: The build that all instances are replaced by, at once, instead
            of the steps of a mixed fleet.
    """
    names = [f"i{number + 1}" for number in range(len(sources))]
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        fleet = MixedProxies(
            tmp_path, nursery, dict(zip(names, sources, strict=True))
        )
        fleet.store.put("op", "config", proxy_config(1, relayed=relayed))
        try:
            await fleet.start(len(names))
            callers = [
                SoakCaller(fleet, number, random.Random(number))
                for number in range(SOAK_CALLERS)
            ]
            async with trio.open_nursery() as work:
                for caller in callers:
                    work.start_soon(caller.run, stop)
                admitted = await _borrow(fleet)
                changed = []
                if later is None:
                    await _mixed_steps(fleet, relayed)
                else:
                    changed = await _upgrade_steps(fleet, later)
                await _wait_recovered(fleet)
                stop.set()
            faults = [*changed, *check_results(fleet, callers)]
            allowed = BORROWING_RATE * BORROWING_SECONDS + BORROWING_RATE
            if admitted < BORROWED_FACTOR * allowed / len(names):
                faults.append(f"only {admitted} admitted: nothing borrowed")
        finally:
            fleet.stop()
            nursery.cancel_scope.cancel()
    seen = collections.Counter(
        {"borrowed writes": admitted, "term": fleet.group.term}
    )
    for caller in callers:
        seen.update(f"{op.kind} {op.outcome}" for op in caller.operations)
    for name in names:
        for line in fleet.log(name):
            seen[f"log: {line['event']}"] += 1
            if line["event"] in FAULT_EVENTS:
                faults.append(f"{name}: {line}")
    return [*faults, *_printed_faults(tmp_path)], seen


def _printed_faults(folder):
    return [
        f"{path.stem}: {line.decode(errors='replace')}"
        for path in folder.glob("*.log")
        for line in path.read_bytes().splitlines()
        if any(word in line for word in FAULT_WORDS)
    ]


class MixedService(ProcessFleet):
    """A fleet of ``lagoonstaird``, each of the build that its name is given.

    The platform and the databases are those of this checkout.

    Attributes:
        sources: The ``src`` folder of each instance's build.
        peers: The address at which each instance is called by the others.
    """

    def __init__(self, folder, nursery, sources):
        super().__init__(folder, nursery)
        self.sources = sources
        self.peers = {name: Address(HOST, free_port()) for name in self.sources}

    def environment_of(self, name):
        source = self.sources.get(name, os.environ.get("PYTHONPATH", ""))
        return {**os.environ, "PYTHONPATH": source}

    async def start_all(self):
        """Starts the platform, one group and all instances."""
        group = await self.start_group("g1", slots=5)
        second = await self.start_group("g2", slots=5)
        members = [
            {"name": name, "failure_domain": domain_of(n), "peers": address}
            for n, (name, address) in enumerate(self.peers.items())
        ]
        await self.start_platform(
            {"instances": members, "groups": [group, second]}
        )
        await self.start_instances()

    async def start_instances(self):
        self._entries.clear()
        async with trio.open_nursery() as starting:
            for n, (name, address) in enumerate(self.peers.items()):
                starting.start_soon(
                    self.start_instance, name, domain_of(n), address, {}
                )

    async def replace_all(self, source):
        """Ends all instances at once and starts them from another build."""
        for process in self.instances.values():
            process.kill()
            await process.wait()
        self.sources = dict.fromkeys(self.sources, source)
        await self.start_instances()


async def _answered(send):
    """Repeats a request until it is answered; counts the other outcomes."""
    others = collections.Counter()
    while True:
        try:
            found = await send()
        except (HttpError, NotSentError, OSError) as exc:
            others[type(exc).__name__] += 1
            continue
        if found["outcome"] == "answered":
            return found, others
        others[found["error"]["kind"]] += 1


async def _orders(fleet, key, numbers, session):
    """Writes orders, each read back at another instance in its session."""
    seen = collections.Counter()
    names = itertools.cycle(fleet.entries)
    faults = []
    for number in numbers:
        here, there = next(names), next(names)
        params = {"order_no": f"Z-{number}", **ORDER}
        more = {"session": session} if session else {}
        done, others = await _answered(
            lambda h=here, p=params, n=number, m=more: fleet.request(
                h,
                WORKSPACE,
                "order-request",
                p,
                request_id=f"order-{n}",
                key=key,
                **m,
            )
        )
        seen.update(others)
        session = done["session"]
        found, others = await _answered(
            lambda t=there, p=params, s=session: fleet.request(
                t,
                WORKSPACE,
                "order-status",
                {"order_no": p["order_no"]},
                session=s,
                key=key,
            )
        )
        seen.update(others)
        seen["orders"] += 1
        if found["results"][0] != [[params["order_no"], *ORDER.values()]]:
            faults.append(f"order {number}: {found['results']}")
    return faults, seen, session


async def _flood(fleet, key):
    """Spends more than one instance's share of a rate there, by loans."""
    seen = collections.Counter()

    async def send():
        for _ in range(FLOOD_REQUESTS):
            found = await fleet.request(
                BORROWER, "zlab-detva", "site-notes", {"site": "a"}, key=key
            )
            outcome = found["outcome"]
            kind = outcome if outcome == "answered" else found["error"]["kind"]
            seen[f"at one instance: {kind}"] += 1

    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        for _ in range(FLOOD_CALLERS):
            nursery.start_soon(send)
    seconds = trio.current_time() - began
    share = (FLOOD_BURST + FLOOD_RATE * seconds) / len(fleet.entries)
    answered = seen["at one instance: answered"]
    if answered < BORROWED_FACTOR * share:
        return [f"only {answered} answered: nothing borrowed"], seen
    return [], seen


async def run_services(tmp_path, sources, *, later=None):
    """Runs ``lagoonstaird``; returns what broke, and counts of what was seen.

    Args:
        tmp_path: Takes the settings.
        sources: The builds of the instances, in order.
        later: The build that all instances are replaced by, at once.
    """
    names = [f"i{number + 1}" for number in range(len(sources))]
    async with trio.open_nursery() as nursery:
        fleet = MixedService(
            tmp_path, nursery, dict(zip(names, sources, strict=True))
        )
        try:
            await fleet.start_all()
            key = await fleet.apply_samples(WORKSPACE)
            notes = await fleet.apply_samples(
                "zlab-detva", rate=FLOOD_RATE, burst=FLOOD_BURST
            )
            faults, seen, session = await _orders(fleet, key, range(10), None)
            more, others = await _flood(fleet, notes)
            faults += more
            seen.update(others)
            if later is not None:
                await fleet.replace_all(later)
            fleet.databases["g1a"].kill()
            more, others, session = await _orders(
                fleet, key, range(10, 20), session
            )
            faults += more
            seen.update(others)
            faults += await _change_at_each(fleet)
            if later is None:
                owner = await fleet.owner("g1")
                fleet.instances[owner].kill()
                fleet.lose(owner)
            more, others, _ = await _orders(fleet, key, range(20, 30), session)
            faults += more
            seen.update(others)
            log = await fleet.surviving_log()
            faults += [
                f"order-{n} is {log.count(f'order-{n}')} times in the log"
                for n in range(30)
                if log.count(f"order-{n}") != 1
            ]
            faults += [
                f"{name}: {line}"
                for name, process in fleet.instances.items()
                for line in process.printed.decode().splitlines()
                if any(word in line.encode() for word in FAULT_WORDS)
            ]
        finally:
            await fleet.stop()
            nursery.cancel_scope.cancel()
            for name, process in fleet.instances.items():
                (tmp_path / f"{name}.log").write_bytes(process.printed)
    return faults, seen


async def _change_at_each(fleet):
    """Each instance takes a change, which every other one then shows."""
    faults = []
    for name in fleet.entries:
        issued = await fleet.operate(
            "POST", "/v1/keys", {"workspace": WORKSPACE}, instance=name
        )
        for other in fleet.entries:
            found = await fleet.request(
                other,
                WORKSPACE,
                "order-status",
                {"order_no": "Z-1"},
                key=issued["key"],
            )
            if found["outcome"] != "answered":
                faults.append(f"key of {name} at {other}: {found}")
        shown = await fleet.operate("GET", "/v1/config", instance=name)
        if not shown["version"]:
            faults.append(f"{name} shows no configuration: {shown}")
    return faults


def check_settings(old, new):
    """Has each build check settings of both formats, as they are deployed."""
    faults = []
    with tempfile.TemporaryDirectory() as folder:
        for writer, reader in itertools.permutations((old, new)):
            path = pathlib.Path(folder) / "i1.json"
            script = (
                "import json; from lagoonstair.demo._fleet import *;"
                "a = ANY_PORT; print(json.dumps(instance_settings(name='i1',"
                "domain='a', peers=a, platform=a, timing={})))"
            )
            text = _python(writer, "-c", script).stdout
            settings = json.loads(text)
            for number, part in enumerate(("callers", "operators", "peers")):
                settings[part]["port"] = 1000 + number
            settings["platform"]["port"] = 1010
            path.write_text(json.dumps(settings))
            args = ("-m", "lagoonstair.cli", "config", "check", str(path))
            found = _python(reader, *args)
            if found.returncode:
                faults.append(f"settings: {found.stdout}{found.stderr}")
    return faults


def _python(source, *args):
    return subprocess.run(
        [sys.executable, *args],
        env={**os.environ, "PYTHONPATH": source},
        capture_output=True,
        text=True,
        check=False,
    )


def _scenarios(old, new):
    """Names each run, with its function and arguments."""
    for relayed, (name, sources) in itertools.product(
        (False, True),
        {
            "old alone": [old] * 4,
            "one old": [old, new, new, new],
            "one new": [new, old, old, old],
            "half and half": [old, new, new, old],
        }.items(),
    ):
        how = "relayed" if relayed else "direct"
        yield (
            f"proxies, {how}, {name}",
            run_proxies,
            sources,
            {"relayed": relayed},
        )
    for name, first, later in (
        ("old on its own rows", old, old),
        ("new on rows of old", old, new),
        ("old on rows of new", new, old),
    ):
        yield (
            f"proxies, {name}",
            run_proxies,
            [first] * 4,
            {
                "relayed": False,
                "later": later,
            },
        )
        yield (
            f"lagoonstaird, {name}",
            run_services,
            [first] * 3,
            {"later": later},
        )
    for name, sources in {
        "old alone": [old] * 3,
        "one old": [old, new, new],
        "one new": [new, old, old],
    }.items():
        yield f"lagoonstaird, {name}", run_services, sources, {}


async def _run(function, folder, sources, options):
    faults, seen = ["did not end in time"], collections.Counter()
    try:
        with trio.move_on_after(SCENARIO_SECONDS):
            faults, seen = await function(folder, sources, **options)
    except* (OSError, trio.TooSlowError, AssertionError) as group:
        # A fleet whose builds don't understand each other ends in one of
        # these; the other scenarios are run all the same.
        faults = [repr(exc) for exc in group.exceptions]
    return faults, seen


def main(old, new):
    """Runs all scenarios; returns how many showed a fault."""
    broken = 0
    old, new = (str(pathlib.Path(path).resolve()) for path in (old, new))
    here = str(pathlib.Path(__file__).resolve().parent.parent / "src")
    faults = check_settings(old, new)
    print("settings of each build read by the other:", faults or "ok")
    broken += bool(faults)
    for name, function, sources, options in _scenarios(old, new):
        os.environ["PYTHONPATH"] = here
        with tempfile.TemporaryDirectory() as folder:
            faults, seen = trio.run(
                _run, function, pathlib.Path(folder), sources, options
            )
            if faults:
                kept = pathlib.Path("build/mixed") / name.replace(", ", "-")
                shutil.copytree(folder, kept, dirs_exist_ok=True)
        broken += bool(faults)
        print(f"{name}:", faults[:10] or "ok", flush=True)
        print("   ", dict(sorted(seen.items())), flush=True)
    return broken


if __name__ == "__main__":
    sys.exit(1 if main(sys.argv[1], sys.argv[2]) else 0)
