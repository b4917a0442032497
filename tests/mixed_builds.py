"""Runs processes of two builds in one fleet; see docs/OPERATIONS.md for when.

Usage: python mixed_builds.py OLD_SRC NEW_SRC

Each argument is the ``src`` folder of a checkout; the stand-ins and the checks
are those of this checkout. During a rolling upgrade both builds are in one
fleet, and each reads the rows and settings that the other wrote. A renamed
message class, field or stored key breaks this, although each build passes its
tests alone. Every scenario also runs with the old build alone, for comparison.

The exit status is 1 if a run violates a guarantee or logs a fault; the settings
and logs of such a run are saved under build/mixed.
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
"""How long a fleet runs under load after each step, in seconds."""

SCENARIO_SECONDS = 120
"""The timeout of a scenario, in seconds; longer than one takes on a busy
machine, so that it ends only scenarios that hang."""

FEW_CONNECTIONS = 6
"""The connection limit of a group with relayed sessions; too low for all
workspaces, so that other instances run some of the sessions."""

BORROWING_RATE = 40
"""The rate of the workspace that writes at one instance only, per second; also
its burst."""

BORROWING_CALLERS = 6
BORROWING_SECONDS = 4.0
"""How long a caller at one instance exceeds that instance's share of the rate,
in seconds."""

FLOOD_CALLERS = 6
"""The number of concurrent callers that exceed an instance's share."""

FLOOD_REQUESTS = 15
"""The number of requests that each of these callers sends."""

FLOOD_RATE = 5
"""The rate of the workspace of these callers, in requests per second."""

FLOOD_BURST = 20
"""The burst of the workspace of these callers, in requests."""

BORROWED_FACTOR = 1.5
"""The least ratio of admitted requests to an instance's own share that shows
that the instance has borrowed."""

BORROWER = "i1"
"""The instance that borrows; it runs the first build in a scenario's list."""

FAULT_EVENTS = frozenset(
    {
        "session failed",
        "task failed",
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
"""The parameters of every order besides its number."""

WORKSPACE = "zlab-zvolen"
"""The workspace of the orders; its name is one of the samples."""


class MixedProxies(SoakFleet):
    """A fleet of proxy processes with a build for each instance.

    Attributes:
        sources: The ``src`` folder of each instance's build, by name.
    """

    def __init__(self, tmp_path, nursery, sources):
        super().__init__(tmp_path, nursery)
        self.sources = sources

    async def start_instance(self, name):
        # The process inherits this process's environment; nothing else starts
        # processes at the same time.
        await self.store_port_of(name)
        os.environ["PYTHONPATH"] = self.sources[name]
        await super().start_instance(name)

    async def replace(self, name, source, number=signal.SIGTERM):
        """Ends an instance with a signal and starts it from another build."""
        self.signal(name, number)
        code = await self.wait_ended(name)
        self.ended.append((name, number, code))
        self.sources[name] = source
        await self.start_instance(name)
        await self.wait_ready(name)


def proxy_config(version, *, relayed):
    """Returns a configuration of the proxies.

    Args:
        version: The configuration's version.
        relayed: Whether to configure many workspaces and few connections, so
            that sessions are relayed.
    """
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


async def _crash_primary(fleet):
    primary = fleet.group.primary
    primary.crash()
    await fleet.until(lambda: fleet.group.primary is not primary)
    primary.recover()


async def _drain_primary(fleet):
    primary = fleet.group.primary
    primary.draining = True
    fleet.group.publish_entry(primary)
    await fleet.until(lambda: fleet.group.primary is not primary)
    primary.draining = False
    fleet.group.publish_entry(primary)


async def _change_config(fleet, version, cfg):
    """Adds a key to a configuration; waits until all instances accept it."""
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


async def _write_at_borrower(fleet):
    """Writes at one instance only, by several callers, beyond its share.

    Returns:
        The counts of admitted and of refused writes.
    """
    counts = collections.Counter(admitted=0, refused=0)

    async def write(number):
        caller = await fleet.caller(key="key-borrowing", instance=BORROWER)
        for turn in itertools.count():
            name = f"b{number}-{turn}"
            answer = await caller.ask(name, f"WRITE {name} data")
            if not answer:
                caller = await fleet.caller(
                    key="key-borrowing", instance=BORROWER
                )
            counts["admitted"] += any(
                line.startswith("COMPLETE") for line in answer
            )
            counts["refused"] += any(
                line.startswith("ERROR BUSY") for line in answer
            )

    with trio.move_on_after(BORROWING_SECONDS):
        async with trio.open_nursery() as nursery:
            for number in range(BORROWING_CALLERS):
                nursery.start_soon(write, number)
    return counts


def _borrowing_violations(counts, instances):
    """Returns what shows that one instance did not borrow from the others."""
    if not counts["refused"]:
        # Callers that stay below the rate show nothing of loans.
        return [f"the rate was not reached: {dict(counts)}"]
    allowed = BORROWING_RATE * BORROWING_SECONDS + BORROWING_RATE
    if counts["admitted"] < BORROWED_FACTOR * allowed / instances:
        return [f"nothing borrowed: {dict(counts)}"]
    return []


async def _mixed_steps(fleet, relayed):
    """Runs the steps of a mixed fleet, while callers write and read.

    These are a change of the configuration, a promotion after a crash, a
    promotion after a drain and a restart of two instances.
    """
    await _change_config(fleet, 2, proxy_config(2, relayed=relayed))
    await trio.sleep(STEP_SECONDS)
    await _crash_primary(fleet)
    await trio.sleep(STEP_SECONDS)
    await _drain_primary(fleet)
    await trio.sleep(STEP_SECONDS)
    for name in ("i1", "i2"):
        await fleet.replace(name, fleet.sources[name], signal.SIGKILL)
    await trio.sleep(STEP_SECONDS)


def _stored_keys(fleet):
    """Returns the JSON keys of the proxies' rows, by prefix of the row key."""
    found = collections.defaultdict(set)
    for (table, key), _ in [*fleet.store._rows.items()]:
        value = fleet.store.row(table, key)
        if table == "lagoonstair" and isinstance(value, dict):
            found[key.partition("/")[0]].update(value)
    return dict(found)


async def _upgrade_steps(fleet, source):
    """Replaces the build of all instances at once, keeping the stored rows.

    Returns:
        The prefixes of rows whose JSON keys have changed.
    """
    await _crash_primary(fleet)
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
    await _crash_primary(fleet)
    await trio.sleep(STEP_SECONDS)
    return [
        f"rows {prefix}: keys {sorted(before[prefix])} became {sorted(keys)}"
        for prefix, keys in _stored_keys(fleet).items()
        if keys != before[prefix]
    ]


async def run_proxies(tmp_path, sources, *, relayed, later=None):
    """Runs a scenario with proxies.

    Args:
        tmp_path: The directory for settings and logs.
        sources: The builds of the instances, in order.
        relayed: Whether other instances run the callers' sessions.
        later: The build that replaces all instances at once, instead of the
            steps of a mixed fleet.

    Returns:
        The violations, and counts of outcomes and log events.
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
                borrowed = await _write_at_borrower(fleet)
                changed = []
                if later is None:
                    await _mixed_steps(fleet, relayed)
                else:
                    changed = await _upgrade_steps(fleet, later)
                await _wait_recovered(fleet)
                stop.set()
            violations = [
                *changed,
                *check_results(fleet, callers),
                *_borrowing_violations(borrowed, len(names)),
            ]
        finally:
            fleet.stop()
            nursery.cancel_scope.cancel()
    counts = collections.Counter(
        {
            "borrowing: admitted": borrowed["admitted"],
            "borrowing: refused": borrowed["refused"],
            "term": fleet.group.term,
        }
    )
    for caller in callers:
        counts.update(f"{op.kind} {op.outcome}" for op in caller.operations)
    for name in names:
        for line in fleet.log(name):
            counts[f"log: {line['event']}"] += 1
            if line["event"] in FAULT_EVENTS:
                violations.append(f"{name}: {line}")
    return [*violations, *_printed_faults(tmp_path)], counts


def _printed_faults(folder):
    return [
        f"{path.stem}: {line.decode(errors='replace')}"
        for path in folder.glob("*.log")
        for line in path.read_bytes().splitlines()
        if any(word in line for word in FAULT_WORDS)
    ]


class MixedService(ProcessFleet):
    """A fleet of ``lagoonstaird`` processes with a build for each instance.

    The stand-ins of the platform and the databases are of this checkout.

    Attributes:
        sources: The ``src`` folder of each instance's build, by name.
        peers: The address that each instance listens on for peers, by name.
    """

    def __init__(self, folder, nursery, sources):
        super().__init__(folder, nursery)
        self.sources = sources
        self.peers = {name: Address(HOST, free_port()) for name in self.sources}

    def environment_of(self, name):
        source = self.sources.get(name, os.environ.get("PYTHONPATH", ""))
        return {**os.environ, "PYTHONPATH": source}

    async def start_all(self):
        """Starts the platform, two groups and all instances."""
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
        """Kills all instances and starts them from another build."""
        for process in self.instances.values():
            process.kill()
            await process.wait()
        self.sources = dict.fromkeys(self.sources, source)
        await self.start_instances()


async def _repeat_until_answered(send):
    """Repeats a request until it is answered; also counts other outcomes."""
    other_outcomes = collections.Counter()
    while True:
        try:
            found = await send()
        except (HttpError, NotSentError, OSError) as exc:
            other_outcomes[type(exc).__name__] += 1
            continue
        if found["outcome"] == "answered":
            return found, other_outcomes
        other_outcomes[found["error"]["kind"]] += 1


async def _write_orders(fleet, key, numbers, session):
    """Writes orders and reads each one at another instance in its session.

    Returns:
        The violations, counts of outcomes, and the last session token.
    """
    counts = collections.Counter()
    names = itertools.cycle(fleet.entries)
    violations = []
    for number in numbers:
        here, there = next(names), next(names)
        params = {"order_no": f"Z-{number}", **ORDER}
        more = {"session": session} if session else {}
        done, other_outcomes = await _repeat_until_answered(
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
        counts.update(other_outcomes)
        session = done["session"]
        found, other_outcomes = await _repeat_until_answered(
            lambda t=there, p=params, s=session: fleet.request(
                t,
                WORKSPACE,
                "order-status",
                {"order_no": p["order_no"]},
                session=s,
                key=key,
            )
        )
        counts.update(other_outcomes)
        counts["orders"] += 1
        if found["results"][0] != [[params["order_no"], *ORDER.values()]]:
            violations.append(f"order {number}: {found['results']}")
    return violations, counts, session


async def _exceed_share(fleet, key):
    """Exceeds one instance's share of a rate, which it has to borrow for.

    Returns:
        The violations and counts of outcomes.
    """
    counts = collections.Counter()

    async def send():
        for _ in range(FLOOD_REQUESTS):
            found = await fleet.request(
                BORROWER, "zlab-detva", "site-notes", {"site": "a"}, key=key
            )
            outcome = found["outcome"]
            kind = outcome if outcome == "answered" else found["error"]["kind"]
            counts[f"at one instance: {kind}"] += 1

    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        for _ in range(FLOOD_CALLERS):
            nursery.start_soon(send)
    seconds = trio.current_time() - began
    share = (FLOOD_BURST + FLOOD_RATE * seconds) / len(fleet.entries)
    answered = counts["at one instance: answered"]
    if answered < BORROWED_FACTOR * share:
        return [f"only {answered} answered: nothing borrowed"], counts
    return [], counts


async def run_services(tmp_path, sources, *, later=None):
    """Runs a scenario with ``lagoonstaird``.

    Args:
        tmp_path: The directory for settings and logs.
        sources: The builds of the instances, in order.
        later: The build that replaces all instances at once, if any.

    Returns:
        The violations and counts of outcomes.
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
            violations, counts, session = await _write_orders(
                fleet, key, range(10), None
            )
            more, other_outcomes = await _exceed_share(fleet, notes)
            violations += more
            counts.update(other_outcomes)
            if later is not None:
                await fleet.replace_all(later)
            fleet.databases["g1a"].kill()
            more, other_outcomes, session = await _write_orders(
                fleet, key, range(10, 20), session
            )
            violations += more
            counts.update(other_outcomes)
            violations += await _issue_key_at_each(fleet)
            if later is None:
                owner = await fleet.owner("g1")
                fleet.instances[owner].kill()
                fleet.lose(owner)
            more, other_outcomes, _ = await _write_orders(
                fleet, key, range(20, 30), session
            )
            violations += more
            counts.update(other_outcomes)
            log = await fleet.surviving_log()
            violations += [
                f"order-{n} is {log.count(f'order-{n}')} times in the log"
                for n in range(30)
                if log.count(f"order-{n}") != 1
            ]
            violations += [
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
    return violations, counts


async def _issue_key_at_each(fleet):
    """Issues a key at each instance and uses it at every instance at once.

    Returns:
        The violations.
    """
    violations = []
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
                violations.append(f"key of {name} at {other}: {found}")
        shown = await fleet.operate("GET", "/v1/config", instance=name)
        if not shown["version"]:
            violations.append(f"{name} shows no configuration: {shown}")
    return violations


def check_settings(old, new):
    """Checks the settings of each build with the other one.

    Returns:
        The violations.
    """
    violations = []
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
                violations.append(f"settings: {found.stdout}{found.stderr}")
    return violations


def _python(source, *args):
    return subprocess.run(
        [sys.executable, *args],
        env={**os.environ, "PYTHONPATH": source},
        capture_output=True,
        text=True,
        check=False,
    )


def _scenarios(old, new):
    """Yields the name, function, builds and options of each scenario."""
    for relayed, (name, sources) in itertools.product(
        (False, True),
        {
            "old alone": [old] * 4,
            "one old": [old, new, new, new],
            "one new": [new, old, old, old],
            "half and half": [old, new, new, old],
        }.items(),
    ):
        mode = "relayed" if relayed else "direct"
        yield (
            f"proxies, {mode}, {name}",
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
    violations, counts = ["did not end in time"], collections.Counter()
    try:
        with trio.move_on_after(SCENARIO_SECONDS):
            violations, counts = await function(folder, sources, **options)
    except* (OSError, trio.TooSlowError, AssertionError) as group:
        # A fleet of incompatible builds ends in one of these errors; the other
        # scenarios run nevertheless.
        violations = [repr(exc) for exc in group.exceptions]
    return violations, counts


def main(old, new):
    """Runs all scenarios; returns the number of scenarios with violations."""
    failed = 0
    old, new = (str(pathlib.Path(path).resolve()) for path in (old, new))
    here = str(pathlib.Path(__file__).resolve().parent.parent / "src")
    violations = check_settings(old, new)
    print("settings of each build read by the other:", violations or "ok")
    failed += bool(violations)
    for name, function, sources, options in _scenarios(old, new):
        os.environ["PYTHONPATH"] = here
        with tempfile.TemporaryDirectory() as folder:
            violations, counts = trio.run(
                _run, function, pathlib.Path(folder), sources, options
            )
            if violations:
                saved = pathlib.Path("build/mixed") / name.replace(", ", "-")
                shutil.copytree(folder, saved, dirs_exist_ok=True)
        failed += bool(violations)
        print(f"{name}:", violations[:10] or "ok", flush=True)
        print("   ", dict(sorted(counts.items())), flush=True)
    return failed


if __name__ == "__main__":
    sys.exit(1 if main(sys.argv[1], sys.argv[2]) else 0)
