"""End-to-end tests of proxy processes against stand-ins of the platform."""

import itertools
import signal

import trio

from lagoonstair.cli._explain import explain_request
from lagoonstair.homes import HomeAssignment, InstanceResources
from lagoonstair.proxy._prober import IDLE_PRIMARY_SECONDS
from lagoonstair.standins.statements._store import StoreFault
from proxy_fleet import config, proxy_fleet

MAX_CONNECTIONS = 6
"""Connections of the endpoint; too few for each of four instances to have its
own."""


PROMOTION_SECONDS = 6
"""Time limit of a promotion, in seconds: detection, the turns of two instances
and a margin for a busy machine."""


HANDOVER_SECONDS = 3
"""Time limit in seconds of the handovers of several groups. An instance waits 4
s before it takes over a promotion that another one does not finish."""


LATE_SECONDS = 20
"""Time limit in seconds for the effect of a late promotion."""


LOSS_DETECTION_SECONDS = 4
"""Time limit in seconds for the detection of a lost home; a second is enough on
an idle machine."""


async def _ask_primary(caller, name):
    answer = ["BUSY"]
    while "COMPLETE" not in " ".join(answer):
        answer = await caller.ask(name, f"WRITE 1a4 {name}")
        assert "INDOUBT" not in " ".join(answer)
    return answer


async def test_statements_run_at_an_endpoint_and_keep_their_text(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        caller = await fleet.caller()
        assert caller.greeting == ["READY I -"]
        written = await caller.ask("q1", "WRITE 1a4 some data")
        assert written[0].startswith("COMPLETE d1.")
        assert (await caller.ask("q2", "READ 1a4"))[0] == "ROW 1:q1"
        ran = fleet.group.primary.statements
        assert ("q1", "WRITE 1a4 some data") in ran
        assert ("q2", "READ 1a4") in ran


async def test_a_transaction_is_pinned_and_commits_whole(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        caller, other = await fleet.caller(), await fleet.caller()
        assert (await caller.ask("q1", "BEGIN"))[-1] == "READY T -"
        await caller.ask("q2", "WRITE a 1")
        assert (await other.ask("o1", "READ a"))[0].startswith("COMPLETE")
        await caller.ask("q3", "WRITE b 2")
        assert (await caller.ask("q4", "COMMIT"))[-1] == "READY I -"
        assert fleet.group.primary.log[-1].writes == (
            ("q2", "a", "1"),
            ("q3", "b", "2"),
        )


async def test_a_caller_that_leaves_rolls_its_transaction_back(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        caller = await fleet.caller()
        await caller.ask("q1", "BEGIN")
        await caller.ask("q2", "WRITE a 1")
        caller.close()
        other = await fleet.caller()
        assert (await other.ask("o1", "READ a"))[0].startswith("COMPLETE")
        assert fleet.group.primary.log == []


async def test_prepared_statements_and_values_belong_to_the_session(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        first, second = await fleet.caller(), await fleet.caller()
        await first.ask("a1", "PREPARE s WRITE q2c")
        await second.ask("b1", "PREPARE s READ q9")
        await first.ask("a2", "SET zone high")
        done = await first.ask("a3", "EXECUTE s x1 data")
        assert done[0].startswith("COMPLETE d1.")
        assert (await second.ask("b2", "EXECUTE s x1"))[0] == "ROW 1:a3"
        await first.ask("a4", "DEALLOC s")
        gone = await first.ask("a5", "EXECUTE s x1 data")
        assert gone[0].startswith("ERROR NOSTMT")


async def test_sessions_without_a_key_or_a_route_are_refused(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        unknown = await fleet.caller(key="key-nobody")
        assert unknown.greeting[0].startswith("ERROR NOAUTH")
        nowhere = await fleet.caller(database="nowhere")
        assert nowhere.greeting[0].startswith("ERROR NODB")


async def test_a_withdrawn_key_ends_an_open_session(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        caller = await fleet.caller()
        await caller.ask("q1", "READ a")
        cfg = config(version=2)
        cfg["tenants"][0]["api_keys"] = []
        fleet.store.put("op", "config", cfg)
        assert await caller.answer() == []
        again = await fleet.caller()
        assert again.greeting[0].startswith("ERROR NOAUTH")


async def test_an_older_configuration_is_not_taken(tmp_path):
    async with proxy_fleet(tmp_path, cfg=config(version=5)) as fleet:
        cfg = config(version=4, routes=[])
        fleet.store.put("op", "config", cfg)
        fleet.store.put("op", "config", b"not a configuration")
        await fleet.until(
            lambda: any(
                line["event"] == "configuration unreadable"
                for line in fleet.log("i1")
            )
        )
        caller = await fleet.caller()
        assert caller.greeting == ["READY I -"]


async def test_a_crashed_primary_is_replaced_and_nothing_is_doubled(tmp_path):
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        caller = await fleet.caller()
        await _ask_primary(caller, "q1")
        await trio.sleep(fleet.group.lag * 2)
        fleet.group.databases["d1"].crash()
        answer = await caller.ask("q2", "WRITE 1a4 two")
        while answer[0].split(" ")[1] in ("BUSY", "INDOUBT"):
            answer = await caller.ask("q3", "WRITE 1a4 three")
        assert answer[0].startswith("COMPLETE")
        new = fleet.group.primary
        assert new.name != "d1"
        written = [w[0] for commit in new.log for w in commit.writes]
        assert written.count("q3") == 1
        assert written[0] == "q1"
        fences = [call.fence for call in fleet.duties.calls]
        assert fences == sorted(fences)


async def test_a_primary_that_nobody_asks_is_replaced_when_it_crashes(
    tmp_path,
):
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        fleet.group.databases["d1"].crash()
        await fleet.until(
            lambda: fleet.group.primary.name != "d1",
            IDLE_PRIMARY_SECONDS + PROMOTION_SECONDS,
        )
        assert len(fleet.duties.calls) == 1


async def test_a_primary_that_leaves_hands_over_without_a_loss(tmp_path):
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        caller = await fleet.caller()
        for number in range(5):
            await _ask_primary(caller, f"q{number}")
        leaving = fleet.group.databases["d1"]
        leaving.draining = True
        fleet.store.put("servers", "d1", leaving.entry("127.0.0.1"))
        await fleet.until(lambda: fleet.group.primary.name != "d1")
        await _ask_primary(caller, "last")
        written = [w[0] for c in fleet.group.primary.log for w in c.writes]
        assert written == ["q0", "q1", "q2", "q3", "q4", "last"]


async def test_reads_go_on_while_the_store_is_away(tmp_path):
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        caller = await fleet.caller()
        fleet.store.fault = StoreFault.SILENT
        for number in range(20):
            await trio.sleep(0.15)
            answer = await caller.ask(f"q{number}", "READ a")
            assert answer[0].startswith("COMPLETE"), answer


async def test_dropped_history_is_read_anew(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        fleet.store.put("op", "config", config(version=2))
        fleet.store.truncate_history()
        cfg = config(version=3)
        cfg["tenants"].append(
            {"name": "w3", "api_keys": ["key-w3"], "rate_per_s": 9, "burst": 9}
        )
        fleet.store.put("op", "config", cfg)
        greeting = []
        while greeting != ["READY I -"]:
            greeting = (await fleet.caller(key="key-w3")).greeting
        assert greeting == ["READY I -"]


async def test_entries_that_can_not_be_read_name_no_endpoint(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        fleet.store.put("servers", "junk", b"\xff\xfe")
        fleet.store.put("servers", "half", {"service": "g", "address": 7})
        caller = await fleet.caller()
        await _ask_primary(caller, "q1")


async def test_a_lost_answer_to_a_write_is_in_doubt_and_not_repeated(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        caller = await fleet.caller()
        await _ask_primary(caller, "q1")
        fleet.group.primary.answers_to_drop = 1
        answer = await caller.ask("q2", "WRITE a 2")
        assert answer[0].startswith("ERROR INDOUBT")
        ran = [run[0] for run in fleet.group.primary.statements]
        assert ran.count("q2") == 1


async def test_a_lost_answer_to_a_read_is_asked_for_elsewhere(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        caller = await fleet.caller(database="b")
        writer = await fleet.caller()
        await _ask_primary(writer, "q1")
        for database in fleet.group.databases.values():
            database.answers_to_drop = 1
        answer = await caller.ask("q2", "READ a")
        assert answer[0].startswith(("COMPLETE", "ERROR ABORTED")), answer
        for database in fleet.group.databases.values():
            database.answers_to_drop = 0


async def test_sigterm_answers_what_was_read_and_closes_idle_sessions(
    tmp_path,
):
    async with proxy_fleet(tmp_path, instances=2) as fleet:
        idle, busy = await fleet.caller(), await fleet.caller()
        await busy.ask("q1", "BEGIN")
        await busy.ask("q2", "WRITE a 1")
        fleet.signal("i1", signal.SIGTERM)
        assert await idle.answer() == []
        done = await busy.ask("q3", "COMMIT")
        assert done[0].startswith("COMPLETE")
        assert await fleet.wait_ended("i1") == 0
        events = [line["event"] for line in fleet.log("i1")]
        assert events[0] == "starting"
        assert events[-1] == "stopped"


def _config_with_few_connections():
    """Returns a configuration with too few connections for its workspaces."""
    cfg = config()
    cfg["services"][0]["max_conns"] = MAX_CONNECTIONS
    cfg["tenants"] += [
        {"name": f"x{n}", "api_keys": [], "rate_per_s": 9, "burst": 9}
        for n in range(30)
    ]
    return cfg


def _home_of(workspace, fleet, cfg):
    homes = HomeAssignment(
        dict.fromkeys(fleet.processes, InstanceResources("a")),
        max_connections=MAX_CONNECTIONS,
        workspaces=len(cfg["tenants"]),
    )
    return homes.candidates(workspace)[0]


async def test_a_frozen_home_keeps_no_relayed_caller_waiting(tmp_path):
    cfg = _config_with_few_connections()
    async with proxy_fleet(tmp_path, instances=4, cfg=cfg) as fleet:
        home = _home_of("w1", fleet, cfg)
        entry = next(n for n in fleet.processes if n != home)
        caller, idle = [await fleet.caller(instance=entry) for _ in range(2)]
        await _ask_primary(caller, "q1")
        fleet.signal(home, signal.SIGSTOP)
        with trio.fail_after(LOSS_DETECTION_SECONDS):
            answer = await caller.ask("q2", "READ 1a4")
            assert answer[0].startswith("ERROR ABORTED")
            assert answer[1].startswith("READY I")
            assert await idle.answer() == []
        found = explain_request("q2", fleet.log(entry))
        assert f"ran on {home}, which was lost (silent)" in found.cause
        again = await fleet.caller(instance=entry)
        assert again.greeting[0].startswith("READY")


async def test_homes_run_the_statements_of_other_instances_callers(tmp_path):
    cfg = _config_with_few_connections()
    async with proxy_fleet(tmp_path, instances=4, cfg=cfg) as fleet:
        for name in fleet.processes:
            caller = await fleet.caller(instance=name)
            await _ask_primary(caller, f"q-{name}")
        assert fleet.group.primary.max_open_connections <= MAX_CONNECTIONS
        written = [w[0] for c in fleet.group.primary.log for w in c.writes]
        assert sorted(written) == [f"q-{name}" for name in fleet.processes]


async def test_bad_input_is_refused_and_the_process_lives(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        for junk in (b"\r\n", b"HELLO\r\n", b"QUERY\r\n", b"START\r\n"):
            caller = await fleet.caller()
            await caller.send(junk)
            answer = await caller.answer()
            assert answer, junk
            assert answer[0].startswith("ERROR MALFORMED"), junk
        caller = await fleet.caller()
        answer = await caller.ask("q1", "DANCE now")
        assert answer == [
            "ERROR MALFORMED unknown statement",
            "READY I -",
        ]
        assert fleet.processes["i1"].poll() is None


async def test_callers_that_reset_relayed_sessions_end_no_process(tmp_path):
    cfg = _config_with_few_connections()
    async with proxy_fleet(tmp_path, instances=4, cfg=cfg) as fleet:
        callers = [await fleet.caller(instance=n) for n in fleet.processes]
        for number, caller in enumerate(callers):
            await _ask_primary(caller, f"q{number}")
        entries = set(fleet.processes)
        for name in fleet.processes:
            gone = await fleet.caller(instance=name)
            await gone.send(b"QUERY x READ a\r\n" * 50)
            gone.reset()
        again = [await fleet.caller(instance=n) for n in fleet.processes]
        for number, caller in enumerate(again):
            await _ask_primary(caller, f"r{number}")
        assert {n for n in entries if fleet.processes[n].poll() is None} == (
            entries
        )


async def test_who_is_cut_off_from_the_store_leaves_promotions_to_others(
    tmp_path,
):
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        caller = await fleet.caller(instance="i2")
        await _ask_primary(caller, "q1")
        await trio.sleep(fleet.group.lag * 2)
        # The instance that ranks first for the duty is refused by the store.
        fleet.store.refused_callers.add("i1")
        fleet.group.databases["d1"].crash()
        with trio.fail_after(PROMOTION_SECONDS):
            while fleet.group.primary.name == "d1":
                await caller.ask("q2", "READ a")
        assert fleet.duties.calls[0].holder != "i1"


async def test_a_promotion_that_takes_effect_late_loses_no_write(tmp_path):
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        # Each call takes longer than an instance waits for its effect. The
        # previous primary is back by then, and still leads.
        fleet.group.promotion_seconds.extend([4.5, 9.0, 9.0])
        callers = [await fleet.caller(instance=n) for n in fleet.processes]
        await _ask_primary(callers[0], "q0")
        await trio.sleep(fleet.group.lag * 2)
        old = fleet.group.databases["d1"]
        old.crash()
        await fleet.until(lambda: fleet.duties.calls, PROMOTION_SECONDS)
        old.recover()
        assert old.is_primary
        acknowledged = set()
        numbers = itertools.count()

        async def write_until(caller, stop):
            while not stop.is_set():
                name = f"w{next(numbers)}"
                answer = await caller.ask(name, f"WRITE a {name}")
                if answer[0].startswith("COMPLETE"):
                    acknowledged.add(name)

        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            for caller in callers:
                nursery.start_soon(write_until, caller, stop)
            await fleet.until(
                lambda: fleet.group.primary is not old, LATE_SECONDS
            )
            await trio.sleep(1)
            stop.set()
        assert not acknowledged & old.superseded_commits
        new = {w[0] for c in fleet.group.primary.log for w in c.writes}
        assert acknowledged <= new
        fences = [call.fence for call in fleet.duties.calls]
        assert fences == sorted(fences)


async def test_groups_whose_primaries_leave_together_do_not_wait_in_turn(
    tmp_path,
):
    groups = ["g", "h", "k", "m"]
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        await fleet.add_groups(groups[1:])
        fleet.group.lag = 0.0
        await fleet.until(
            lambda: all(
                fleet.store.row("lagoonstair", f"group/{name}")
                for name in groups
            )
        )
        for group in fleet.groups.values():
            group.primary.draining = True
            group.publish_entry(group.primary)
        with trio.fail_after(HANDOVER_SECONDS):
            while any(group.term == 1 for group in fleet.groups.values()):
                await trio.sleep(0.05)
        fences = [call.fence for call in fleet.duties.calls]
        assert fences == sorted(fences)
