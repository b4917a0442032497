"""An acknowledged commit of a service with synchronous replicas is lost."""

import asyncio
import pathlib
import random

from standins.fleet import Session, configuration, run_case, trouble

SERVICE = "g"
OPERATIONS_PER_SECOND = 60.0
SESSIONS = 60
WARM_UP_SECONDS = 4.0
LAG_SECONDS = 6.5
SLOW_FACTOR = 5.0
SLOW_SECONDS = 6.5
CRASH_AFTER_SECONDS = 2.5
CRASH_SECONDS = 7.0
END_SECONDS = 12.0

ROUTES = [
    {
        "database": "hold",
        "service": SERVICE,
        "route_type": "primary",
        "timeout_ms": 1000,
        "target_latency_ms": 120,
        "priority": 1,
    },
    {
        "database": "lookup",
        "service": SERVICE,
        "route_type": "bounded",
        "timeout_ms": 3000,
        "max_staleness_ms": 1500,
    },
    {
        "database": "dispatch",
        "service": SERVICE,
        "route_type": "read_your_writes",
        "timeout_ms": 1000,
        "max_staleness_ms": 2500,
    },
]
# The share of each route in the requests and the share of writes on it.
MIX = [("hold", 0.15, 0.2), ("lookup", 0.15, 0.0), ("dispatch", 0.7, 0.12)]


async def client(fleet, service, number):
    """Sends single statements at the usual rate, and reconnects."""
    rng = random.Random(number)
    database, _, writes = rng.choices(MIX, [share for _, share, _ in MIX])[0]
    ports = [*fleet.ports.values()]
    session = None
    while True:
        await asyncio.sleep(rng.expovariate(OPERATIONS_PER_SECOND / SESSIONS))
        try:
            if session is None:
                port = rng.choice(ports)
                key = f"key-{number % 8}"
                session = await Session.open(port, database, key)
        except OSError:
            continue
        request = fleet.request_id()
        if rng.random() < writes:
            answer = await session.ask(request, f"WRITE item{number} data")
            fleet.note(
                "write", id=request, answer=answer.kind, text=answer.text
            )
            if answer.kind == "COMPLETE":
                service.acknowledged[request] = answer.text
        else:
            answer = await session.ask(request, f"READ item{number}")
            fleet.note("read", id=request, answer=answer.kind, text=answer.text)
        if answer.kind == "CUT":
            session = None


async def disrupt(fleet, service):
    """Lets a replica fall behind and the primary crash meanwhile."""
    primary, ahead, behind = service.databases.values()
    loop = asyncio.get_running_loop()
    behind.deaf = True
    fleet.note("receives nothing", id=behind.name)
    loop.call_later(LAG_SECONDS, behind.hear)
    ahead.slow = SLOW_FACTOR
    fleet.note("slow", id=ahead.name)
    loop.call_later(SLOW_SECONDS, setattr, ahead, "slow", 1.0)
    await asyncio.sleep(CRASH_AFTER_SECONDS)
    await primary.crash()
    fleet.note("crashed", id=primary.name)
    await asyncio.sleep(CRASH_SECONDS)
    await primary.restart()
    fleet.note("restarted", id=primary.name)


async def play(fleet):
    """Plays the case; returns whether the rule held."""
    await fleet.start_platform()
    services = {SERVICE: {"max_conns": 30, "sync_replicas": 1}}
    fleet.store.put("op", "config", configuration(1, ROUTES, services))
    service = await fleet.add_service(
        SERVICE,
        slots=2,
        connections=30,
        lag_s=0.06,
        promote_s=1.0,
        sync=1,
        work_s=0.015,
    )
    await fleet.start()
    clients = [
        asyncio.create_task(client(fleet, service, number))
        for number in range(SESSIONS)
    ]
    await asyncio.sleep(WARM_UP_SECONDS)
    if trouble():
        await disrupt(fleet, service)
    await asyncio.sleep(END_SECONDS - CRASH_SECONDS)
    for task in clients:
        task.cancel()
    fleet.note("acknowledged", commits=len(service.acknowledged))
    if not service.acknowledged:
        raise RuntimeError("no commit was acknowledged")
    if trouble() and not service.promotions:
        raise RuntimeError("no database was promoted")
    lost = [missing for _, _, missing in service.promotions if missing]
    return not lost


run_case(pathlib.Path(__file__).parent, 7, play)
