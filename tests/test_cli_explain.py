"""Tests that explain finds the cause of three kinds of failed request."""

import io
import json

import pytest
import trio

from lagoonstair.cli import Exit
from lagoonstair.cli._explain import explain_request, read_events
from lagoonstair.cli._main import run
from proxy_fleet import config, proxy_fleet

BACKOFF_SECONDS = 0.02
"""Pause of a caller between two requests, in seconds.

At this pace an instance logs a quarter of the lines that it may.
"""


def _events(fleet):
    return [event for name in fleet.processes for event in fleet.log(name)]


async def _explain(fleet, request):
    """Explains a request once its last event, after the response, is logged."""
    await fleet.until(
        lambda: any(
            event.get("request") == request
            and event["event"] == "statement answered"
            for event in _events(fleet)
        )
    )
    return explain_request(request, _events(fleet))


async def _send_until(caller, word, text, *, prefix):
    """Sends requests until a response has a word; returns the request's id."""
    for number in range(10_000):
        request = f"{prefix}{number}"
        answer = await caller.ask(request, text)
        if word in answer[0]:
            return request
    raise AssertionError(f"no answer with {word}")


async def test_a_refusal_is_explained_by_the_lowered_limit(tmp_path):
    async with proxy_fleet(tmp_path, instances=2) as fleet:
        caller = await fleet.caller()
        await _send_until(caller, "COMPLETE", "WRITE a 1", prefix="w")
        cfg = config(version=2)
        cfg["tenants"][0].update(rate_per_s=2, burst=2)
        fleet.store.put("op", "config", cfg)
        request = await _send_until(caller, "BUSY", "READ a", prefix="r")
        explanation = await _explain(fleet, request)
        assert "limit had been set to 2 a second" in explanation.cause


async def test_an_unknown_commit_is_explained_by_the_lost_response(tmp_path):
    async with proxy_fleet(tmp_path) as fleet:
        caller = await fleet.caller()
        await _send_until(caller, "COMPLETE", "WRITE a 1", prefix="w")
        fleet.group.primary.answers_to_drop = 1
        await caller.ask("lost", "WRITE a 2")
        explanation = await _explain(fleet, "lost")
        assert [line["event"] for line in explanation.lines] == [
            "statement unanswered",
            "statement answered",
        ]
        assert "d1 did not answer and no promotion" in explanation.cause


async def test_a_refusal_without_a_primary_is_explained_by_its_replacement(
    tmp_path,
):
    async with proxy_fleet(tmp_path, instances=3) as fleet:
        # A write can't wait for a promotion that takes this long (seconds).
        fleet.group.promote_seconds = 2.0
        caller = await fleet.caller()
        await _send_until(caller, "COMPLETE", "WRITE a 1", prefix="w")
        fleet.group.databases["d1"].crash()
        causes = []
        for number in range(10_000):
            request = f"x{number}"
            answer = await caller.ask(request, "WRITE a 2")
            if "COMPLETE" in answer[0]:
                break
            causes.append((await _explain(fleet, request)).cause)
            # Without a pause, the caller would be refused more often than an
            # instance may log.
            await trio.sleep(BACKOFF_SECONDS)
        assert any("was being replaced (failing)" in cause for cause in causes)


def test_a_request_that_is_not_logged_names_the_instances_that_were_read():
    log = io.StringIO(
        'noise\n{"time": 1, "event": "ready", "instance": "i1"}\n{"x": 1}\n'
    )
    explanation = explain_request("q", read_events([log]))
    assert explanation.lines == ()
    assert "['i1']" in explanation.cause


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


@pytest.mark.parametrize(
    ("event", "words"),
    [
        ("home answer refused", "no answer to it (unasked answer)"),
        ("home answer cut off", "in the middle of its answer"),
    ],
)
def test_a_request_whose_home_gave_no_whole_answer_is_explained(event, words):
    fields = {
        "time": 1.0,
        "event": event,
        "instance": "i1",
        "request": "q2",
        "peer": "i2",
        "cause": "unasked answer",
    }
    log = io.StringIO(json.dumps(fields) + "\n")
    cause = explain_request("q2", read_events([log])).cause
    assert "its home i2" in cause
    assert words in cause
