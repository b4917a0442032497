"""After a rolling restart and the loss of one machine nothing is promoted.

Six of seven instances are restarted in turn. Before its turn, the seventh is
lost for good, and another one takes its place. A primary is then to be
replaced: it drains, keeps getting statements beyond ``drain_ms``, and leaves.
At the end all instances are killed and start again.
"""

import pathlib
import signal

import trio

from fleet import BOUNDS, TROUBLE, is_success, run_case

GAP_SECONDS = 1.3
"""``gap_s`` of ``roll_term`` in the site file."""

RESTART_SECONDS = 0.3

REPLACED_SECONDS = 2.0
"""``x`` of ``replace_core`` in the site file."""

STABLE_SECONDS = BOUNDS["stable_ms"] / 1000

DRAIN_SECONDS = BOUNDS["drain_ms"] / 1000

LEAVES_SECONDS = DRAIN_SECONDS + 2.0
"""When the primary ends after the store has accepted that it drains."""

DOWN_SECONDS = 0.66
"""``down_s`` of ``kill_all`` in the site file."""

RECOVERY_SECONDS = float(BOUNDS["recovery_s"])

JUDGED_SECONDS = 5.0
"""How long after ``recovery_s`` requests are counted."""

ROLLED = tuple(f"front-{number}" for number in range(1, 7))

LOST = "front-7"


async def write_steadily(fleet, name, results):
    """A client that writes ten times a second, and reconnects if needed."""
    number = 0
    while True:
        try:
            with trio.move_on_after(3):
                session = await fleet.open_session(name, "p", "key-t1")
                while True:
                    number += 1
                    sent_at = trio.current_time()
                    answer = await session.ask(f"{name}-{number}", "WRITE k v")
                    results.append((sent_at, f"{name}-{number}", answer))
                    if not answer or answer[-1] != "READY I -":
                        break
                    await trio.sleep(0.1)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            pass
        await trio.sleep(0.05)


async def case(fleet, record):
    fleet_names = [*ROLLED, LOST]
    await fleet.start(instances=len(fleet_names))
    primary = fleet.groups["g"].primary
    up_since = {}

    async def restart(name):
        process = fleet.processes[name]
        fleet.signal(name, signal.SIGTERM)
        record(f"{name} gets SIGTERM")
        while process.poll() is None:
            await trio.sleep(0.02)
        await trio.sleep(RESTART_SECONDS)
        await fleet.start_instance(name)
        await fleet.wait_ready(name)
        up_since[name] = trio.current_time()
        record(f"{name} is ready again")

    async def replace(name, successor):
        fleet.signal(name, signal.SIGKILL)
        record(f"{name} is lost for good")
        await trio.sleep(REPLACED_SECONDS)
        await fleet.start_instance(successor)
        await fleet.wait_ready(successor)
        record(f"{successor} is ready")

    results = []
    for name in ROLLED:
        fleet._nursery.start_soon(write_steadily, fleet, name, results)
    await trio.sleep(STABLE_SECONDS + 0.5)
    for name in ROLLED:
        fleet._nursery.start_soon(restart, name)
        await trio.sleep(GAP_SECONDS)
    if TROUBLE:
        fleet._nursery.start_soon(replace, LOST, "front-8")
    await trio.sleep(0.3)
    primary.draining = True
    fleet._publish(primary)
    acknowledged_at = trio.current_time()
    record(f"the store acknowledges that {primary.name}, the primary, drains")
    await trio.sleep(LEAVES_SECONDS)
    primary.crash()
    fleet.store.delete("servers", primary.name)
    record(f"{primary.name} has left")
    await trio.sleep(1)

    late = []
    for sent_at, request_id, answer in results:
        name = request_id.rpartition("-")[0]
        after = sent_at - acknowledged_at
        in_touch = sent_at - up_since.get(name, sent_at) > STABLE_SECONDS
        ran_at_primary = is_success(answer) and any(
            line.startswith(f"COMPLETE {primary.name}.") for line in answer
        )
        if ran_at_primary and after > DRAIN_SECONDS and in_touch:
            late.append(request_id)
    record(f"{len(late)} statements ran at the draining primary too late")

    fault_at = trio.current_time()
    running = [name for name in fleet.processes if fleet.processes[name].poll() is None]
    for name in running:
        fleet.signal(name, signal.SIGKILL)
    record("final fault: all instances are killed")
    for name in running:
        fleet.processes[name].wait()
    await trio.sleep(DOWN_SECONDS)
    for name in running:
        await fleet.start_instance(name)
    for name in running:
        await fleet.wait_ready(name)
    back_at = trio.current_time()
    record("all instances are back")
    await trio.sleep(RECOVERY_SECONDS + JUDGED_SECONDS)

    for sent_at, request_id, answer in results:
        if sent_at > acknowledged_at - 1:
            after = sent_at - acknowledged_at
            record(f"{request_id} sent {after:.3f} s after ->", answer)
    before = [is_success(answer) for sent_at, _, answer in results if sent_at < fault_at]
    since = back_at + RECOVERY_SECONDS
    served = [is_success(answer) for sent_at, _, answer in results if sent_at > since]
    record("promotion calls:", fleet.duties.calls)
    for name in ROLLED:
        for event in fleet.log(name):
            if event["event"].startswith(("seat", "promotion")):
                record(name, event["event"], event.get("cause", ""))
    record(f"served before the final fault: {sum(before)} of {len(before)}")
    record(f"served after recovery_s: {sum(served)} of {len(served)}")
    if not served or sum(before) * 4 < len(before):
        raise RuntimeError("too little was asked or served to judge")
    return sum(served) * 4 >= len(served)


run_case(pathlib.Path(__file__).parent, case)
