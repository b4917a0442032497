"""Processes end by themselves because of an entry that another writer wrote."""

import asyncio
import pathlib
import random

from standins.fleet import Session, configuration, run_case, trouble

SERVICES = ("g", "h")
SESSIONS = 28
PAUSE_SECONDS = 0.3
WARM_UP_SECONDS = 3.0
LEAVE_SECONDS = 10.0
END_SECONDS = 20.0
FEWEST_PROCESSES = 2
FEWEST_ENDS = 3

# A text of the right type that is no address of the form IP:PORT.
UNREADABLE_ADDRESS = "fe80::1%" + "x" * 70 + ":8080"

ROUTES = [
    {
        "database": f"lookup-{service}",
        "service": service,
        "route_type": "bounded",
        "timeout_ms": 3000,
        "max_staleness_ms": 1500,
    }
    for service in SERVICES
] + [
    {
        "database": f"order-{service}",
        "service": service,
        "route_type": "primary",
        "timeout_ms": 1000,
    }
    for service in SERVICES
]


async def client(fleet, number):
    """Sends statements on one session, and opens another one when it ends."""
    rng = random.Random(number)
    ports = [*fleet.ports.values()]
    session = None
    while True:
        await asyncio.sleep(rng.uniform(0, 2 * PAUSE_SECONDS))
        try:
            if session is None:
                kind = "order" if number % 2 else "lookup"
                database = f"{kind}-{rng.choice(SERVICES)}"
                key = f"key-{number % 8}"
                port = rng.choice(ports)
                session = await Session.open(port, database, key)
        except OSError:
            continue
        request = fleet.request_id()
        writes = number % 2 and rng.random() < 0.2
        text = f"WRITE item{number} data" if writes else f"READ item{number}"
        answer = await session.ask(request, text)
        fleet.note(
            "statement", id=request, answer=answer.kind, text=answer.text
        )
        if answer.kind == "CUT":
            session = None


def write_entries(fleet):
    """Writes one entry for each service, as another writer would."""
    for name in SERVICES:
        fleet.store.put(
            "servers",
            f"i-other-{name}",
            {
                "service": name,
                "address": UNREADABLE_ADDRESS,
                "zone": "z-a",
                "version": "v1",
                "slots": 5,
                "state": "ready",
                "cold_left_ms": 0,
                "seq_no": 1,
                "born": 1700000000000,
                "db_role": "replica",
            },
        )
        fleet.note("entry written", service=name, address=UNREADABLE_ADDRESS)


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
            work_s=0.02,
        )
    await fleet.start()
    clients = [
        asyncio.create_task(client(fleet, number)) for number in range(SESSIONS)
    ]
    await asyncio.sleep(WARM_UP_SECONDS)
    if trouble():
        write_entries(fleet)
    await asyncio.sleep(WARM_UP_SECONDS)
    leaving = []
    for name in SERVICES:
        service = fleet.services[name]
        primary = service.primary
        await service.add(f"i-{name}4", primary.zone)
        leaving.append(asyncio.create_task(primary.leave(LEAVE_SECONDS)))
        fleet.note("leaves", id=primary.name)
        await asyncio.sleep(END_SECONDS)
    await asyncio.gather(*leaving)
    for task in clients:
        task.cancel()
    fleet.note(
        "summary",
        ends=dict(fleet.exits),
        promotions=[len(s.promotions) for s in fleet.services.values()],
    )
    often = [name for name, ends in fleet.exits.items() if ends >= FEWEST_ENDS]
    return len(often) < FEWEST_PROCESSES


run_case(pathlib.Path(__file__).parent, 7, play)
