"""Processor time and memory of configuration records and counts."""

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

ROUTES = 3
DOMAINS = 3
CHANGES = 20
INSTANCES = 910


def base_configuration() -> Configuration:
    """Returns a configuration with one template of a few routes."""
    names = [f"route{number}" for number in range(ROUTES)]
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
    """Returns a configuration with workspaces."""
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
    """Returns a configuration of one workspace with keys."""
    cfg = configure_workspaces(1)
    steps = tuple(
        IssueKey(id=f"{number:016x}", workspace="ws0", sha256=f"{number:064x}")
        for number in range(count)
    )
    return cfg.apply(Batch(steps))


def configure_members(count: int) -> Configuration:
    """Returns a configuration with members."""
    return base_configuration().apply(
        Batch(tuple(MemberJoined(_member(number)) for number in range(count)))
    )


def workspace_memory(count: int) -> float:
    """Resident bytes of workspaces, with what is resolved for them."""
    before = resident_bytes()
    kept = configure_workspaces(count)
    return _memory_growth(before, kept)


def key_memory(count: int) -> float:
    """Resident bytes of keys."""
    before = resident_bytes()
    kept = configure_keys(count)
    return _memory_growth(before, kept)


def member_memory(count: int) -> float:
    """Resident bytes of members."""
    before = resident_bytes()
    kept = configure_members(count)
    return _memory_growth(before, kept)


def recorder_memory(count: int) -> float:
    """Resident bytes of the counts of active workspaces, for one minute."""
    before = resident_bytes()
    recorder = Recorder()
    for number in range(count):
        recorder.record(f"ws{number}", None, 0.01, now=0.0)
    return _memory_growth(before, recorder)


def recorder_full_memory(count: int) -> float:
    """Resident bytes of workspaces' counts that were active for six hours."""
    before = resident_bytes()
    recorder = Recorder()
    for minute in range(6 * 60):
        for number in range(count):
            recorder.record(f"ws{number}", None, 0.01, now=minute * 60.0)
    return _memory_growth(before, recorder)


def recorded_request(requests: int) -> float:
    """CPU seconds of counting requests."""
    recorder = Recorder()
    began = time.process_time()
    for number in range(requests):
        recorder.record("ws", None, 0.01, now=number / 500)
    return time.process_time() - began


def key_change(keys: int) -> float:
    """CPU seconds of one withdrawal of a key, beside that many others."""
    cfg = configure_keys(keys)
    began = time.process_time()
    for number in range(CHANGES):
        cfg = cfg.apply(WithdrawKey(id=f"{number:016x}"))
    return (time.process_time() - began) / CHANGES


def template_change(workspaces: int) -> float:
    """CPU seconds of one edit of a template that many workspaces use."""
    cfg = configure_workspaces(workspaces)
    template = cfg.templates["shop"]
    began = time.process_time()
    for _ in range(CHANGES):
        cfg = cfg.apply(PutTemplate(template))
    return (time.process_time() - began) / CHANGES


def ranked_duty(duties: int) -> float:
    """CPU seconds of ranking 910 instances for duties, once a change."""
    ranking = Ranking(
        RankedInstance(f"i{number:03}", f"domain{number % DOMAINS}")
        for number in range(INSTANCES)
    )
    began = time.process_time()
    for number in range(duties):
        ranking.owners(f"g{number}")
    return time.process_time() - began


def _member(number: int) -> Member:
    return Member(
        name=f"i{number:03}",
        incarnation=f"{number:032x}.1",
        failure_domain=f"domain{number % DOMAINS}",
        peers=Address("127.0.0.1", 1 + number),
    )


def _memory_growth(before: int, kept: object) -> float:
    grown = resident_bytes() - before
    del kept
    return float(grown)
