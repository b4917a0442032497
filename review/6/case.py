"""Writes go on at a primary that a second pending promotion has replaced."""

import functools
import os
import pathlib
import sys

import trio

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "harness-2"))

from harness import (  # noqa: E402
    HOST,
    Session,
    fleet,
    has_trouble,
    is_success,
    main,
)

PROMOTE_SECONDS = 1.0
"""How long a promotion takes; the sheets say 0.6 s and 1 s."""

STEP_DOWN_SECONDS = 1.0
"""When a replaced primary that reaches the new one becomes a replica."""

THAW_SECONDS = 0.3
"""A write is not counted this soon after its sender's link was harmed."""

MARGIN_SECONDS = 0.05
"""A write is not counted this soon after a promotion has taken effect; the logs
are looked at every 2 ms."""

CRASH_SECONDS = 7.0
ENTRY_LAPSE_SECONDS = 3.6


class Path:
    """The links from the machines to one database; each may be cut alone."""

    def __init__(self, deployment, target):
        self._deployment = deployment
        self._target = target
        self._ends = trio.Event()
        self.cut_from = ""

    async def serve(self, *, task_status):
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            task_status.started(listeners[0].socket.getsockname()[1])

    async def _serve(self, stream):
        machine = owner_of(self._deployment, stream.socket.getpeername()[1])
        try:
            upstream = await trio.open_tcp_stream(HOST, self._target)
        except OSError:
            await stream.aclose()
            return
        async with trio.open_nursery() as nursery:
            for pair in ((stream, upstream), (upstream, stream)):
                nursery.start_soon(self._forward, machine, *pair, nursery)
        for end in (stream, upstream):
            end.socket.close()

    async def _forward(self, machine, source, sink, nursery):
        try:
            while chunk := await source.receive_some(65536):
                while machine and self.cut_from == machine:
                    await trio.sleep(0.01)
                await sink.send_all(chunk)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()


def owner_of(deployment, port):
    """Returns the instance that has a connection with a local port."""
    inodes = set()
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].split(":")[1], 16) == port:
            inodes.add(f"socket:[{fields[9]}]")
    for name, process in deployment.processes.items():
        folder = f"/proc/{process.pid}/fd"
        for fd in os.listdir(folder):
            try:
                if os.readlink(f"{folder}/{fd}") in inodes:
                    return name
            except OSError:
                continue
    return ""


async def run():
    paths = {}

    async def add_paths(deployment, nursery):
        for name, database in deployment.group.databases.items():
            path = Path(deployment, database.port)
            database.port = await nursery.start(path.serve)
            paths[name] = path

    async with (
        trio.open_nursery() as nursery,
        fleet(
            CASE,
            instances=3,
            before_instances=functools.partial(add_paths, nursery=nursery),
        ) as deployment,
    ):
        record = deployment.record
        group = deployment.group
        group.promote_seconds = PROMOTE_SECONDS
        calls = deployment.duties.calls
        acked = {}
        leaders = [("d1", 1, record.now())]
        restored_at = [float("-inf")]

        async def follow_promotions():
            while True:
                group.apply_due_promotions()
                leader = group.primary
                if leader.term > leaders[-1][1]:
                    leaders.append((leader.name, leader.term, record.now()))
                    record.write(f"{leader.name} leads term {leader.term}")
                    nursery.start_soon(step_down, leader)
                await trio.sleep(0.005)

        async def step_down(leader):
            await trio.sleep(STEP_DOWN_SECONDS)
            for database in group.databases.values():
                if (
                    database.is_primary
                    and database.term < leader.term
                    and not database.down
                ):
                    database.demote()
                    record.write(f"{database.name} is a replica now")

        async def follow_log():
            seen = {name: 0 for name in group.databases}
            while True:
                for name, database in group.databases.items():
                    for commit in database.log[seen[name] :]:
                        if commit.term == database.term and database.is_primary:
                            for write in commit.writes:
                                committed.setdefault(
                                    write[0], (name, commit.term, record.now())
                                )
                    seen[name] = len(database.log)
                await trio.sleep(0.002)

        committed = {}

        async def client(number):
            session, count = None, 0
            while True:
                if session is None:
                    session = await Session.open(
                        deployment.port(f"i{number % 3 + 1}"), "p", "key-w1"
                    )
                count += 1
                request_id = f"c{number}-{count}"
                lines = await session.ask(
                    request_id, f"WRITE item{number} {count}"
                )
                if is_success(lines):
                    acked[request_id] = record.now()
                if not lines or not lines[-1].startswith("READY I"):
                    session.close()
                    session = None
                await trio.sleep(0.03)

        nursery.start_soon(follow_promotions)
        nursery.start_soon(follow_log)
        for number in range(6):
            nursery.start_soon(client, number)
        await trio.sleep(5.0)

        record.write("the primary d1 crashes")
        group.databases["d1"].crash()
        crashed_at = trio.current_time()
        while not calls:
            await trio.sleep(0.005)
        first = calls[0]
        record.write(f"promotion call: {first}")
        if has_trouble():
            paths[first.endpoint].cut_from = first.holder
            record.write(f"{first.endpoint} is cut off from {first.holder}")
        lapsed = recovered = False
        second_at = None
        while trio.current_time() < crashed_at + 15:
            passed = trio.current_time() - crashed_at
            if passed > ENTRY_LAPSE_SECONDS and not lapsed:
                lapsed = True
                deployment.store.delete("servers", "d1")
            if passed > CRASH_SECONDS and not recovered:
                recovered = True
                group.databases["d1"].recover()
                group.publish_entry(group.databases["d1"])
                record.write("d1 runs again")
            others = [c for c in calls if c.endpoint != first.endpoint]
            if others and second_at is None:
                second_at = record.now()
                record.write(f"promotion call: {others[0]}")
            if (
                second_at is not None
                and paths[first.endpoint].cut_from
                and record.now() > second_at + 0.1
            ):
                paths[first.endpoint].cut_from = ""
                restored_at[0] = record.now()
                record.write(f"{first.endpoint} is in reach again")
            await trio.sleep(0.005)
        record.write(
            f"group record: {deployment.store.row('lagoonstair', 'group/g')}"
        )
        late_acks = [
            request_id
            for request_id, at in acked.items()
            if at > record.now() - 3
        ]
        record.write(f"writes acknowledged in the last 3 s: {len(late_acks)}")
        broken = []
        for request_id in acked:
            if request_id not in committed:
                continue
            name, term, at = committed[request_id]
            newer = [lead for lead in leaders if lead[1] > term]
            if (
                newer
                and at > newer[0][2] + MARGIN_SECONDS
                and at > restored_at[0] + THAW_SECONDS
            ):
                broken.append(request_id)
                record.write(
                    f"BROKEN {request_id} committed at {name}, term {term}, at"
                    f" {at:.3f} s, {at - newer[0][2]:.3f} s after"
                    f" {newer[0][0]} led term {newer[0][1]}, acknowledged"
                )
        kept = {
            write[0] for commit in group.primary.log for write in commit.writes
        }
        record.write(
            f"acknowledged writes: {len(acked)}, not kept: {len(acked.keys() - kept)}"
        )
        print(f"{len(broken)} writes at a replaced primary")
        nursery.cancel_scope.cancel()
        result[0] = bool(broken)
    return result[0]


result = [False]
main(run)
