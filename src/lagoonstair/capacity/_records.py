"""Processor time and memory of configuration records and request counts."""

import time

from lagoonstair._types import Address
from lagoonstair.capacity._process import resident_bytes
from lagoonstair.config import (
    Batch,
    Configuration,
    IssueKey,
    Member,
    MemberJoined,
    PutRoute,
    PutTemplate,
    PutWorkspace,
    Route,
    RouteKind,
    Template,
    WithdrawKey,
    Workspace,
)
from lagoonstair.membership import RankedInstance, Ranking
from lagoonstair.report import Recorder

ROUTE_COUNT = 3
"""Number of routes of the template."""

FAILURE_DOMAIN_COUNT = 3
"""Number of failure domains that the instances are spread over."""

CHANGE_COUNT = 20
"""Number of changes that a measurement averages over."""

INSTANCES = 910
"""Number of instances that are ranked, as in the large fleet."""


def base_configuration() -> Configuration:
    """Returns a configuration with one template and its routes."""
    names = [f"route{number}" for number in range(ROUTE_COUNT)]
    routes = [
        PutRoute(
            Route(
                name=name,
                kind=RouteKind.READ,
                statements=("SELECT price FROM prices WHERE sku = :sku",),
            )
        )
        for name in names
    ]
    template = Template(
        name="shop", routes=tuple(names), rate=50.0, burst=100.0
    )
    return Configuration().apply(Batch((*routes, PutTemplate(template))))


def configure_workspaces(count: int) -> Configuration:
    """Returns a configuration with the given number of workspaces."""
    steps = tuple(
        PutWorkspace(
            Workspace(
                name=f"ws{number}", template="shop", group=f"g{number % 700}"
            )
        )
        for number in range(count)
    )
    return base_configuration().apply(Batch(steps))


def configure_keys(count: int) -> Configuration:
    """Returns a configuration of one workspace with that number of keys."""
    cfg = configure_workspaces(1)
    steps = tuple(
        IssueKey(id=f"{number:016x}", workspace="ws0", sha256=f"{number:064x}")
        for number in range(count)
    )
    return cfg.apply(Batch(steps))


def configure_members(count: int) -> Configuration:
    """Returns a configuration with the given number of members."""
    return base_configuration().apply(
        Batch(tuple(MemberJoined(_member(number)) for number in range(count)))
    )


def workspace_memory(count: int) -> float:
    """Returns the resident bytes of workspaces and their resolved values."""
    before = resident_bytes()
    kept = configure_workspaces(count)
    return _memory_growth(before, kept)


def key_memory(count: int) -> float:
    """Returns the resident bytes of keys."""
    before = resident_bytes()
    kept = configure_keys(count)
    return _memory_growth(before, kept)


def member_memory(count: int) -> float:
    """Returns the resident bytes of members."""
    before = resident_bytes()
    kept = configure_members(count)
    return _memory_growth(before, kept)


def recorder_memory(count: int) -> float:
    """Returns the resident bytes of one minute's counts of workspaces."""
    before = resident_bytes()
    recorder = Recorder()
    for number in range(count):
        recorder.record(f"ws{number}", None, 0.01, now=0.0)
    return _memory_growth(before, recorder)


def recorder_full_memory(count: int) -> float:
    """Returns the resident bytes of six hours' counts of workspaces."""
    before = resident_bytes()
    recorder = Recorder()
    for minute in range(6 * 60):
        for number in range(count):
            recorder.record(f"ws{number}", None, 0.01, now=minute * 60.0)
    return _memory_growth(before, recorder)


def recorded_request(requests: int) -> float:
    """Returns the CPU seconds of counting requests."""
    recorder = Recorder()
    started_at = time.process_time()
    for number in range(requests):
        recorder.record("ws", None, 0.01, now=number / 500)
    return time.process_time() - started_at


def key_change(keys: int) -> float:
    """Returns the CPU seconds of withdrawing one of that many keys."""
    cfg = configure_keys(keys)
    started_at = time.process_time()
    for number in range(CHANGE_COUNT):
        cfg = cfg.apply(WithdrawKey(id=f"{number:016x}"))
    return (time.process_time() - started_at) / CHANGE_COUNT


def template_change(workspaces: int) -> float:
    """Returns the CPU seconds of changing the template of all workspaces."""
    cfg = configure_workspaces(workspaces)
    template = cfg.templates["shop"]
    started_at = time.process_time()
    for _ in range(CHANGE_COUNT):
        cfg = cfg.apply(PutTemplate(template))
    return (time.process_time() - started_at) / CHANGE_COUNT


def ranked_duty(duties: int) -> float:
    """Returns the CPU seconds of ranking 910 instances for each duty.

    Every change of the listed instances makes such a ranking necessary.
    """
    ranking = Ranking(
        RankedInstance(
            f"i{number:03}", f"domain{number % FAILURE_DOMAIN_COUNT}"
        )
        for number in range(INSTANCES)
    )
    started_at = time.process_time()
    for number in range(duties):
        ranking.owners(f"g{number}")
    return time.process_time() - started_at


def _member(number: int) -> Member:
    return Member(
        name=f"i{number:03}",
        incarnation=f"{number:032x}.1",
        failure_domain=f"domain{number % FAILURE_DOMAIN_COUNT}",
        peers=Address("127.0.0.1", 1 + number),
    )


def _memory_growth(before: int, kept: object) -> float:
    growth = resident_bytes() - before
    del kept
    return float(growth)
