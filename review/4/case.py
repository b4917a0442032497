"""A session does not see its own write after its route moved there and back."""

import asyncio
import pathlib
import time

from standins.fleet import Session, configuration, run_case, trouble

SESSIONS = 21
ROUNDS = 3
LAG_SECONDS = 6.0
READS = 6
READ_PAUSE_SECONDS = 0.05
STEP_SECONDS = 0.4
ROUND_SECONDS = 9.0
MAX_STALENESS_MS = 2500
BACKGROUND_PAUSE_SECONDS = 0.05

SERVICES = {
    "g": {"max_conns": 33, "sync_replicas": 0},
    "h": {"max_conns": 33, "sync_replicas": 0},
}


def routes(service):
    """Returns the routes; ``note`` goes to the given service."""
    return [
        {
            "database": "note",
            "service": service,
            "route_type": "read_your_writes",
            "max_staleness_ms": MAX_STALENESS_MS,
        },
        {"database": "order-g", "service": "g", "route_type": "primary"},
        {"database": "order-h", "service": "h", "route_type": "primary"},
    ]


async def background(fleet, port, database):
    """Reads at a primary, as other clients do all the time."""
    session = await Session.open(port, database, "key-1")
    while True:
        await session.ask(fleet.request_id(), "READ item0")
        await asyncio.sleep(BACKGROUND_PAUSE_SECONDS)


async def write(fleet, session, number):
    """Writes until the write is acknowledged; returns its id and the time."""
    while True:
        request = fleet.request_id()
        answer = await session.ask(request, f"WRITE item{number} data")
        fleet.note(
            "write",
            session=number,
            id=request,
            answer=answer.kind,
            text=answer.text,
        )
        if answer.kind == "COMPLETE":
            return request, time.monotonic()
        if answer.kind == "CUT":
            raise RuntimeError("a session ended")


def find_run(fleet, request):
    """Returns the database that ran a read, and the writes in its log then."""
    for service in fleet.services.values():
        for database in service.databases.values():
            for _, run, kind, has in database.runs:
                if run == request and kind == "READ":
                    return database.name, has
    return None, None


async def client(fleet, session, number, moved, stale):
    """Writes to one service, then to the other, and reads the first again."""
    own, acknowledged_at = await write(fleet, session, number)
    await moved["there"].wait()
    if trouble():
        await write(fleet, session, number)
    await moved["back"].wait()
    for _ in range(READS):
        request = fleet.request_id()
        sent_at = time.monotonic()
        answer = await session.ask(request, f"READ item{number}")
        if answer.kind == "COMPLETE":
            name, has = find_run(fleet, request)
            is_stale = own not in has
            fleet.note(
                "read",
                session=number,
                id=request,
                at=name,
                own_write=own,
                stale=is_stale,
                age=round(sent_at - acknowledged_at, 3),
            )
            if is_stale:
                stale.append(request)
        await asyncio.sleep(READ_PAUSE_SECONDS)


async def move(fleet, version, service, event):
    """Puts a configuration in force that moves the route."""
    fleet.store.put(
        "op", "config", configuration(version, routes(service), SERVICES)
    )
    fleet.note("configuration", version=version, note_goes_to=service)
    await asyncio.sleep(STEP_SECONDS)
    event.set()


async def play(fleet):
    """Plays the case; returns whether the rule held."""
    await fleet.start_platform()
    fleet.store.put("op", "config", configuration(1, routes("g"), SERVICES))
    for name in SERVICES:
        await fleet.add_service(
            name,
            slots=5,
            connections=33,
            lag_s=0.02,
            promote_s=0.6,
            sync=0,
            work_s=0.01,
        )
    await fleet.start()
    ports = [*fleet.ports.values()]
    tasks = [
        asyncio.create_task(background(fleet, port, database))
        for port in ports
        for database in ("order-g", "order-h")
    ]
    sessions = [
        await Session.open(
            ports[number % len(ports)], "note", f"key-{number % 8}"
        )
        for number in range(SESSIONS)
    ]
    await asyncio.sleep(2)
    stale = []
    version = 1
    replicas = [
        db for db in fleet.services["g"].databases.values() if not db.is_primary
    ]
    for _ in range(ROUNDS):
        if trouble():
            for replica in replicas[:1]:
                replica.deaf = True
                fleet.note("receives nothing", id=replica.name)
                asyncio.get_running_loop().call_later(LAG_SECONDS, replica.hear)
        moved = {"there": asyncio.Event(), "back": asyncio.Event()}
        runs = [
            asyncio.create_task(client(fleet, session, number, moved, stale))
            for number, session in enumerate(sessions)
        ]
        await asyncio.sleep(STEP_SECONDS)
        for event, service in (("there", "h"), ("back", "g")):
            version += 1
            if trouble():
                await move(fleet, version, service, moved[event])
            else:
                await asyncio.sleep(STEP_SECONDS)
                moved[event].set()
        await asyncio.gather(*runs)
        await asyncio.sleep(ROUND_SECONDS)
    for task in tasks:
        task.cancel()
    fleet.note("summary", stale_reads=len(stale))
    return not stale


run_case(pathlib.Path(__file__).parent, 7, play)
