"""A COMMIT runs with session values that are not its client's.

Two transactions are committed. The first one sets a value after its last
write. The second one has no statement but its end, so that its connection
still has the values of another client of the same tenant.
"""

import pathlib

from fleet import TROUBLE, is_success, run_case


async def case(fleet, record):
    await fleet.start(instances=1)
    acknowledged = {}

    async def ask(session, client, request_id, text):
        answer = await session.ask(request_id, text)
        record(f"client {client}: {request_id} {text} ->", answer)
        if text.startswith("SET ") and answer[0] == "COMPLETE -":
            _, name, value = text.split(" ", 2)
            acknowledged.setdefault(client, {})[name] = value
        return answer

    first = await fleet.open_session("front-1", "p", "key-t1")
    await ask(first, "A", "a1", "SET x 1")
    await ask(first, "A", "a2", "BEGIN")
    await ask(first, "A", "a3", "WRITE k v")
    if TROUBLE:
        await ask(first, "A", "a4", "SET y 5")
    committed = {"a5": "A", "b3": "B"}
    values = {}
    answers = [await ask(first, "A", "a5", "COMMIT")]
    values["a5"] = dict(acknowledged["A"])
    await ask(first, "A", "a6", "READ k")

    second = await fleet.open_session("front-1", "p", "key-t1")
    await ask(second, "B", "b1", "SET x 2")
    await ask(second, "B", "b2", "BEGIN")
    if not TROUBLE:
        await ask(second, "B", "b2r", "READ k")
    answers.append(await ask(second, "B", "b3", "COMMIT"))
    values["b3"] = dict(acknowledged["B"])
    if not all(map(is_success, answers)):
        raise RuntimeError("a transaction was not committed")

    held = True
    for database in fleet.groups["g"].databases.values():
        for run in database.runs:
            record(
                f"{database.name} ran {run.request_id} {run.text}",
                f"on connection {run.connection} with values {run.values}",
            )
            if run.request_id in committed and run.values != values[run.request_id]:
                record(
                    f"{run.request_id}: acknowledged to client",
                    f"{committed[run.request_id]}: {values[run.request_id]}",
                )
                held = False
    return held


run_case(pathlib.Path(__file__).parent, case)
