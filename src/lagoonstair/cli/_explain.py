"""Explains the outcome of a request from the logs of the instances."""

import contextlib
import itertools
import json as json_codec
import pathlib
import sys
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple, TextIO

import msgspec

from lagoonstair.cli._command import Output
from lagoonstair.cli._exits import Exit

LOOKBACK_SECONDS = 15.0
"""Greatest age, in seconds, of a state change that may explain a request.

The age is measured to the request's last log line. A promotion that is taken
over twice takes less than this.
"""

RELATED_EVENT_KEYS = {
    "configuration in force": "version",
    "configuration unreadable": "cause",
    "limit changed": "workspace",
    "workspace throttled": "workspace",
    "primary record changed": "group",
    "promotion begins": "group",
    "primary released": "group",
    "primary not released": "group",
    "promotion sent": "group",
    "promotion put off": "group",
    "promotion without candidates": "group",
    "promoted endpoint may be replaced": "group",
    "recorded primary does not lead": "group",
    "endpoint gone": "group",
    "endpoint limit lowered": "endpoint",
    "failure domain evacuated": "domain",
    "failure domain returned": "domain",
    "answer malformed": "endpoint",
    "answer unexpected": "endpoint",
    "endpoint cold": "group",
    "cold endpoint refused": "group",
    "home regions unknown": "config_version",
    "home regions disjoint": "workspace",
    "store lost": "",
    "store regained": "",
    "instance lost": "",
    "instance regained": "",
    "home without primary": "group",
    "instance isolated": "",
    "instance in contact": "",
    "home lost": "",
    "ready": "",
    "draining": "",
}
"""Events that may explain a request, with the field that relates them to it.

If the request's log line has the field, its value must be the same as in the
event, except for ``version``. An event without a field relates to requests
that the same instance answered.
"""

INSTANCE_LOCAL_EVENTS = frozenset(
    {
        "store lost",
        "store regained",
        "home lost",
        "instance isolated",
        "instance in contact",
        "ready",
        "draining",
    }
)
"""Events that concern only requests which the same instance answered."""

Event = dict[str, Any]
"""One log event, decoded from JSON."""


class Explanation(NamedTuple):
    """Why a request had its outcome.

    Attributes:
        request: The request's id.
        lines: The log events of the request, in order of time.
        beliefs: Earlier events in which instances changed their view of the
            fleet and which may explain the outcome, in order of time.
        cause: The cause, in a sentence.
    """

    request: str
    lines: tuple[Event, ...]
    beliefs: tuple[Event, ...]
    cause: str


def read_events(streams: Iterable[TextIO]) -> Iterator[Event]:
    """Reads log events, and skips lines that hold none.

    A line holds an event if the text from its first ``{`` on is a JSON object
    with the fields ``event`` and ``time``.

    Args:
        streams: The logs.

    Yields:
        The events in the order of the logs.
    """
    for line in itertools.chain.from_iterable(streams):
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(event, dict) and "event" in event and "time" in event:
            yield event


def explain_request(request: str, events: Iterable[Event]) -> Explanation:
    """Finds the log events of a request and the cause of its outcome.

    Args:
        request: The request's id.
        events: The log events of all instances, in any order.
    """
    ordered = sorted(events, key=lambda event: float(event["time"]))
    lines = tuple(e for e in ordered if e.get("request") == request)
    if not lines:
        names = sorted({str(event.get("instance")) for event in ordered})
        cause = (
            "no instance logged the request: it succeeded and was not "
            f"sampled, or an instance's log is missing; read: {names}"
        )
        return Explanation(request, (), (), cause)
    last = lines[-1]
    beliefs = tuple(e for e in ordered if _is_related(e, last))
    return Explanation(request, lines, beliefs, _find_cause(lines, beliefs))


def _is_related(event: Event, last: Event) -> bool:
    """Tells whether an event may explain the request's last log event."""
    age = float(last["time"]) - float(event["time"])
    shared_field = RELATED_EVENT_KEYS.get(event["event"])
    if shared_field is None or not 0 <= age <= LOOKBACK_SECONDS:
        return False
    if event["event"] in INSTANCE_LOCAL_EVENTS or not shared_field:
        return bool(event.get("instance") == last.get("instance"))
    return (
        shared_field not in last
        or event.get(shared_field) == last[shared_field]
        or shared_field == "version"
    )


def _find_cause(lines: tuple[Event, ...], beliefs: tuple[Event, ...]) -> str:
    """Describes the cause of the outcome in the request's last event.

    The texts that are looked for in its ``cause`` are parts of the messages
    that instances log.
    """
    last = lines[-1]
    logged_cause = str(last.get("cause", ""))
    outcome = last.get("outcome")
    unanswered = [e for e in lines if e["event"] == "statement unanswered"]
    unexpected = [e for e in lines if e["event"] == "answer unexpected"]
    if unexpected:
        return _explain_unexpected_answer(unexpected[-1], outcome)
    from_home = [e for e in lines if e["event"].startswith("home answer ")]
    if from_home:
        return _explain_bad_home_answer(from_home)
    if "over its rate" in logged_cause:
        return _explain_rate_limit(last, beliefs)
    if "is evacuated" in logged_cause:
        return _explain_evacuation(last, beliefs)
    if "may be out of date" in logged_cause:
        return (
            "the instance could not prove that it knew the rate shares of the "
            "other instances"
        )
    if "has just started" in logged_cause:
        return (
            "only an endpoint that had just started could run it, and its "
            "start-up rate was used up"
        )
    if "in the home regions" in logged_cause:
        return (
            "no endpoint in the home regions of its route and workspace could "
            "run it; see their configuration and where the group's primary is"
        )
    if (
        "no primary can be used" in logged_cause
        or "being replaced" in logged_cause
    ):
        return _explain_missing_primary(last, beliefs)
    if "home" in last:
        return _explain_home_loss(last, beliefs)
    if outcome == "in_doubt":
        where = unanswered[-1]["endpoint"] if unanswered else "the endpoint"
        lost = _find_latest(beliefs, "promotion begins")
        if lost is not None:
            return (
                f"{where} did not answer, and its group's primary was being "
                f"replaced ({lost.get('cause')}): ask the database for the id"
            )
        return (
            f"{where} did not answer and no promotion was under way: the "
            "answer was lost, and the statement most likely took effect"
        )
    if outcome == "done":
        return "the request succeeded"
    if outcome == "congested":
        return "the endpoint had no connection left"
    if outcome == "lagging":
        return (
            "no replica had reached the position, and the primary was not used"
        )
    return f"{outcome}: {logged_cause}"


def _explain_bad_home_answer(events: list[Event]) -> str:
    """Describes why a home's answer did not reach the caller whole."""
    peer = events[0].get("peer")
    refused = [e for e in events if e["event"] == "home answer refused"]
    reason = (
        f"sent data that is no answer to it ({refused[0].get('cause')})"
        if refused
        else "was lost in the middle of its answer"
    )
    return f"its home {peer} {reason}, so the session was ended"


def _explain_rate_limit(last: Event, beliefs: tuple[Event, ...]) -> str:
    """Describes why a request was refused for its workspace's rate."""
    changed = _find_latest(beliefs, "limit changed")
    if changed is not None:
        age = float(last["time"]) - float(changed["time"])
        return (
            f"the workspace's limit had been set to {changed['rate']:g} a "
            f"second {age:.1f} s before, and was reached"
        )
    if _find_latest(beliefs, "instance lost") is not None:
        return (
            "the instance's share of the rate was used up, and it could not "
            "borrow: another instance did not answer"
        )
    rate = float(last.get("rate", 0.0))
    return f"the workspace's rate of {rate:g} a second was reached"


def _explain_unexpected_answer(event: Event, outcome: str | None) -> str:
    """Describes an answer that the request's statement can't have led to."""
    return (
        f"{event.get('endpoint')} sent an answer that the statement can't have "
        f"led to ({event.get('cause')}) on the connection where it waited for "
        f"its own; outcome: {outcome or 'not sampled'}"
    )


def _explain_home_loss(last: Event, beliefs: tuple[Event, ...]) -> str:
    """Describes how a request's session lost its home instance."""
    home = last["home"]
    lost = _find_latest(beliefs, "home lost")
    reason = f" ({lost['cause']})" if lost and lost.get("peer") == home else ""
    waited = float(last.get("seconds", 0.0))
    return (
        f"the session ran on {home}, which was lost{reason} {waited:.1f} s "
        "after the statement was forwarded"
    )


def _explain_evacuation(last: Event, beliefs: tuple[Event, ...]) -> str:
    """Describes why a request found only endpoints that are evacuated."""
    evacuated = _find_latest(beliefs, "failure domain evacuated")
    if evacuated is None:
        return (
            "the endpoint that the request needed is in an evacuated failure "
            "domain, and none elsewhere could replace it"
        )
    age = float(last["time"]) - float(evacuated["time"])
    return (
        f"the failure domain {evacuated.get('domain')} was evacuated, since "
        f"{age:.1f} s, and no endpoint elsewhere could serve the request"
    )


def _explain_missing_primary(last: Event, beliefs: tuple[Event, ...]) -> str:
    """Describes why a request found no usable primary."""
    promotion = _find_latest(beliefs, "promotion begins")
    if promotion is not None:
        age = float(last["time"]) - float(promotion["time"])
        return (
            f"the primary {promotion.get('primary')} was being replaced "
            f"({promotion.get('cause')}), since {age:.1f} s"
        )
    if _find_latest(beliefs, "promotion put off") is not None:
        return "the primary was to be replaced, but the store was unreachable"
    if _find_latest(beliefs, "store lost") is not None:
        return "the instance reached neither the store nor a majority of voters"
    return "the primary did not answer, and its replacement had not begun"


def _find_latest(beliefs: tuple[Event, ...], name: str) -> Event | None:
    """Returns the last event with the given name, if there is one."""
    matches = [event for event in beliefs if event["event"] == name]
    return matches[-1] if matches else None


def explain(request: str, *logs: str, json: bool = False) -> Exit:
    """Explains the outcome of a request from the logs of the instances.

    Args:
        request: The request's id.
        logs: Files with the logs of all instances; without any, standard
            input is read.
        json: Write JSON, for programs.
    """
    with contextlib.ExitStack() as stack:
        try:
            streams: list[TextIO] = [
                stack.enter_context(pathlib.Path(path).open(encoding="utf-8"))
                for path in logs
            ]
        except OSError as exc:
            print(f"{exc.filename}: {exc.strerror}", file=sys.stderr)
            return Exit.USAGE
        explanation = explain_request(
            request, read_events(streams or [sys.stdin])
        )
    output = _format_explanation(explanation)
    print(json_codec.dumps(output.data) if json else output.text)
    return output.exit


def _format_explanation(explanation: Explanation) -> Output:
    """Formats an explanation; ``>`` marks the request's own events."""
    parts = [
        *(f"  {_format_event(event)}" for event in explanation.beliefs),
        *(f"> {_format_event(event)}" for event in explanation.lines),
        f"cause: {explanation.cause}",
    ]
    code = Exit.DONE if explanation.lines else Exit.ATTENTION
    return Output(explanation._asdict(), "\n".join(parts), code)


def _format_event(event: Event) -> str:
    """Formats an event as one line, without the fields common to all events."""
    shown = {
        name: value
        for name, value in event.items()
        if name not in ("time", "level", "event", "instance", "at", "request")
    }
    fields = " ".join(f"{name}={value}" for name, value in shown.items())
    return (
        f"{event['time']:.3f} {event.get('instance')} {event['event']} {fields}"
    )
