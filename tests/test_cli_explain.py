"""Three kinds of failed request, from their ids to their causes."""

import io
import json

import trio

from lagoonstair.cli import Exit
from lagoonstair.cli._explain import explain_request, read_events
from lagoonstair.cli._main import run
from proxy_fleet import config, proxy_fleet

BACKOFF_SECONDS = 0.02
"""Between two tries of a caller; a quarter of the lines that may be logged."""


def _events(fleet):
    return [event for name in fleet.processes for event in fleet.log(name)]


async def _explain(fleet, request):
    """Explains a request once its line is written, just after its answer."""
    await fleet.until(
        lambda: any(
            event.get("request") == request
            and event["event"] == "statement answered"
            for event in _events(fleet)
        )
    )
    return explain_request(request, _events(fleet))


async def _ask_until(caller, word, text, *, prefix):
    """Asks until an answer has a word; returns the request's id."""
    for number in range(10_000):
        request = f"{prefix}{number}"
        answer = await caller.ask(request, text)
        if word in answer[0]:
            return request
    raise AssertionError(f"no answer with {word}")


async def test_refused_below_the_rate_leads_to_the_lowered_limit(tmp_path):
    async with proxy_fleet(tmp_path, instances=2) as fleet:
        caller = await fleet.caller()
        await _ask_until(caller, "COMPLETE", "WRITE a 1", prefix="w")
        cfg = config(version=2)
        cfg["tenants"][0].update(rate_per_s=2, burst=2)
        fleet.store.put("op", "config", cfg)
        request = await _ask_until(caller, "BUSY", "READ a", prefix="r")
        found = await _explain(fleet, request)
        assert "limit had been set to 2 a second" in found.cause


async def test_an_unknown_commit_leads_to_the_lost_answer(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        caller = await fleet.caller()
        await _ask_until(caller, "COMPLETE", "WRITE a 1", prefix="w")
        fleet.group.primary.answers_to_drop = 1
        await caller.ask("lost", "WRITE a 2")
        found = await _explain(fleet, "lost")
        assert [line["event"] for line in found.lines] == [
            "statement unanswered",
            "statement answered",
        ]
        assert "d1 did not answer and no promotion" in found.cause


async def test_a_refusal_without_a_primary_leads_to_its_replacement(tmp_path):
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        # No write can wait for a promotion that takes as long as this.
        fleet.group.promote_seconds = 2.0
        caller = await fleet.caller()
        await _ask_until(caller, "COMPLETE", "WRITE a 1", prefix="w")
        fleet.group.databases["d1"].crash()
        causes = []
        for number in range(10_000):
            request = f"x{number}"
            answer = await caller.ask(request, "WRITE a 2")
            if "COMPLETE" in answer[0]:
                break
            causes.append((await _explain(fleet, request)).cause)
            # A caller that asks without a pause is refused more often than
            # an instance may log.
            await trio.sleep(BACKOFF_SECONDS)
        assert any("was being replaced (failing)" in cause for cause in causes)


def test_a_request_without_a_line_names_the_instances_that_were_read():
    log = io.StringIO(
        'noise\n{"time": 1, "event": "ready", "instance": "i1"}\n{"x": 1}\n'
    )
    found = explain_request("q", read_events([log]))
    assert found.lines == ()
    assert "['i1']" in found.cause


def test_the_command_reads_files(tmp_path, capsys):
    line = {
        "time": 1.0,
        "event": "statement answered",
        "instance": "i1",
        "request": "q1",
        "outcome": "congested",
        "cause": "full",
    }
    path = tmp_path / "i1.log"
    path.write_text(json.dumps(line) + "\n", encoding="utf-8")
    assert run(["explain", "q1", str(path)]) == Exit.DONE
    assert "no connection left" in capsys.readouterr().out
    assert run(["explain", "q1", str(path), "--json"]) == Exit.DONE
    assert json.loads(capsys.readouterr().out)["request"] == "q1"
    assert run(["explain", "q2", str(path)]) == Exit.ATTENTION
    assert run(["explain", "q2", str(tmp_path / "none")]) == Exit.USAGE
