"""Statements of open transactions are cut at the end of a shutdown."""

import asyncio
import pathlib
import random
import signal
import time

from standins.fleet import Session, configuration, run_case, trouble

SERVICES = ("g", "h", "k")
SESSIONS = 140
STATEMENTS = 12
PAUSE_SECONDS = 0.25
WORK_SECONDS = 0.1
WARM_UP_SECONDS = 4.0
GRACE_SECONDS = 6.0
HALF_GRACE_SECONDS = GRACE_SECONDS / 2
STEP_SECONDS = 8.5

ROUTES = [
    {
        "database": f"lookup-{service}",
        "service": service,
        "route_type": "bounded",
        "timeout_ms": 3000,
        "max_staleness_ms": 1500,
        "target_latency_ms": 800,
    }
    for service in SERVICES
]


async def client(fleet, number, cuts):
    """Runs transactions of twelve reads with pauses between them."""
    rng = random.Random(number)
    names = [*fleet.ports]
    home = names[number % len(names)]
    session = None
    while True:
        await asyncio.sleep(rng.uniform(0, 2 * PAUSE_SECONDS))
        try:
            if session is None:
                database = f"lookup-{SERVICES[number % len(SERVICES)]}"
                key = f"key-{number % 8}"
                session = await Session.open(fleet.ports[home], database, key)
        except OSError:
            # The platform sends new connections to another machine.
            home = rng.choice(names)
            continue
        reads = [f"READ item{number}"] * STATEMENTS
        for text in ("BEGIN READ", *reads, "COMMIT"):
            request = fleet.request_id()
            sent_at = time.monotonic()
            answer = await session.ask(request, text)
            fleet.note(
                "statement",
                id=request,
                to=home,
                text=text,
                answer=answer.kind,
                detail=answer.text,
            )
            if answer.kind == "CUT":
                cuts.append((sent_at, time.monotonic(), request, home, text))
                session = None
            if answer.kind != "COMPLETE":
                break
            await asyncio.sleep(rng.uniform(0, 2 * PAUSE_SECONDS))


async def play(fleet):
    """Plays the case; returns whether the rule held."""
    await fleet.start_platform()
    services = {
        name: {"max_conns": 33, "sync_replicas": 0} for name in SERVICES
    }
    fleet.store.put("op", "config", configuration(1, ROUTES, services))
    for name in SERVICES:
        await fleet.add_service(
            name,
            slots=5,
            connections=33,
            lag_s=0.02,
            promote_s=0.6,
            sync=0,
            work_s=WORK_SECONDS,
        )
    await fleet.start()
    cuts = []
    clients = [
        asyncio.create_task(client(fleet, number, cuts))
        for number in range(SESSIONS)
    ]
    await asyncio.sleep(WARM_UP_SECONDS)
    stopped_at = {}
    for name in fleet.ports:
        if trouble():
            fleet.signal(name, signal.SIGTERM)
            stopped_at[name] = time.monotonic()
        await asyncio.sleep(STEP_SECONDS)
    for task in clients:
        task.cancel()
    databases = [
        db
        for service in fleet.services.values()
        for db in service.databases.values()
    ]
    lost = 0
    for sent_at, cut_at, request, home, text in cuts:
        since = sent_at - stopped_at.get(home, float("inf"))
        # Earlier ones may be excused: the database may still be at work.
        if not HALF_GRACE_SECONDS < since < GRACE_SECONDS + 1:
            continue
        if any(request in db.passed_on for db in databases):
            lost += 1
            fleet.note(
                "cut after it was passed on",
                id=request,
                by=home,
                text=text,
                sent_after_sigterm=round(since, 3),
                cut_after_sigterm=round(cut_at - stopped_at[home], 3),
            )
    fleet.note("summary", cut=len(cuts), counted=lost)
    return not lost


run_case(pathlib.Path(__file__).parent, 7, play)
