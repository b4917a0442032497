"""A withdrawn key goes on running statements in an open transaction."""

import pathlib

import trio

from fleet import TROUBLE, configuration, is_success, run_case

CONFIG_SECONDS = 3.0
"""``config_ms`` of the sheets."""

STEP_SECONDS = 1.0
"""Pause of the client between two statements; ``tx_idle_ms`` is 3 s."""

STEPS = 8


async def case(fleet, record):
    await fleet.start(instances=3)
    session = await fleet.open_session("front-1", "p", "key-t1")
    record("START p key-t1 ->", session.greeting)
    record("q1 BEGIN ->", await session.ask("q1", "BEGIN"))
    record("q2 WRITE a 1 ->", await session.ask("q2", "WRITE a 1"))

    withdrawn = configuration(version=2)
    if TROUBLE:
        withdrawn["tenants"][0]["api_keys"] = []
    fleet.store.put("op", "config", withdrawn)
    acknowledged_at = trio.current_time()
    record("store acknowledges version 2, keys of t1:", withdrawn["tenants"][0]["api_keys"])

    late_runs = []
    for number in range(STEPS):
        await trio.sleep(STEP_SECONDS)
        text = f"WRITE a {number}" if number % 2 else "READ a"
        request_id = f"s{number}"
        sent_after = trio.current_time() - acknowledged_at
        answer = await session.ask(request_id, text)
        record(f"{request_id} {text}, sent {sent_after:.3f} s after ->", answer)
        if is_success(answer) and sent_after > CONFIG_SECONDS:
            late_runs.append(request_id)
        if not answer:
            break
    sent_after = trio.current_time() - acknowledged_at
    answer = await session.ask("c1", "COMMIT")
    record(f"c1 COMMIT, sent {sent_after:.3f} s after ->", answer)
    if is_success(answer):
        late_runs.append("c1")

    # A new session shows that the version is in force.
    other = await fleet.open_session("front-1", "p", "key-t1")
    record("new session: START p key-t1 ->", other.greeting)
    for database in fleet.groups["g"].databases.values():
        for run in database.runs:
            record(f"{database.name} ran {run.request_id} {run.text}")
        record(f"{database.name} log:", database.log)
    if TROUBLE and not (other.greeting and "NOAUTH" in other.greeting[0]):
        raise RuntimeError("the version is not in force")
    record("statements of the withdrawn key that ran late:", late_runs)
    return not (TROUBLE and late_runs)


run_case(pathlib.Path(__file__).parent, case)
