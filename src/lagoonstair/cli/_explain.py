"""Tells from the instances' logs why a request ended as it did."""

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
"""How far back a belief is looked for; a promotion that is taken over twice
takes less."""

RELATED_EVENT_KEYS = {
    "configuration in force": "version",
    "configuration unreadable": "cause",
    "limit changed": "workspace",
    "primary record changed": "group",
    "promotion begins": "group",
    "primary released": "group",
    "primary not released": "group",
    "promotion sent": "group",
    "promotion put off": "group",
    "promotion without candidates": "group",
    "endpoint gone": "group",
    "store lost": "",
    "store regained": "",
    "instance lost": "",
    "instance regained": "",
    "home lost": "",
    "ready": "",
    "draining": "",
}
"""Events that a request may depend on, with the field that ties them to it."""

INSTANCE_LOCAL_EVENTS = frozenset(
    {"store lost", "store regained", "home lost", "ready", "draining"}
)
"""Events that count only on the instance that answered."""

Event = dict[str, Any]


class Explanation(NamedTuple):
    """Why a request ended as it did.

    Attributes:
        request: The request's id.
        lines: What instances logged of it, in order of time.
        beliefs: What they had come to believe before, in order of time.
        cause: The cause, in a sentence.
    """

    request: str
    lines: tuple[Event, ...]
    beliefs: tuple[Event, ...]
    cause: str


def read_events(streams: Iterable[TextIO]) -> Iterator[Event]:
    """Reads events; what is no JSON object on a line of its own is skipped."""
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
    """Finds the path and the cause of a request.

    Args:
        request: The request's id.
        events: What all instances have logged, in any order.
    """
    ordered = sorted(events, key=lambda event: float(event["time"]))
    lines = tuple(e for e in ordered if e.get("request") == request)
    if not lines:
        names = sorted({str(event.get("instance")) for event in ordered})
        cause = (
            "no instance logged it: it was answered without an error and not "
            f"sampled, or an instance's log is missing; read: {names}"
        )
        return Explanation(request, (), (), cause)
    last = lines[-1]
    beliefs = tuple(e for e in ordered if _is_related(e, last))
    return Explanation(request, lines, beliefs, _find_cause(lines, beliefs))


def _is_related(event: Event, last: Event) -> bool:
    age = float(last["time"]) - float(event["time"])
    tie = RELATED_EVENT_KEYS.get(event["event"])
    if tie is None or not 0 <= age <= LOOKBACK_SECONDS:
        return False
    if event["event"] in INSTANCE_LOCAL_EVENTS or not tie:
        return bool(event.get("instance") == last.get("instance"))
    return tie not in last or event.get(tie) == last[tie] or tie == "version"


def _find_cause(lines: tuple[Event, ...], beliefs: tuple[Event, ...]) -> str:
    last = lines[-1]
    said = str(last.get("cause", ""))
    outcome = last.get("outcome")
    unanswered = [e for e in lines if e["event"] == "statement unanswered"]
    if "over its rate" in said:
        return _explain_rate_limit(last, beliefs)
    if "may be out of date" in said:
        return "the instance had no proof that it knew the others' shares"
    if "no primary can be used" in said or "being replaced" in said:
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
        return "it was answered without an error"
    if outcome == "congested":
        return "the endpoint had no connection left"
    if outcome == "lagging":
        return "no replica held the position, and the primary was not in use"
    return f"{outcome}: {said}"


def _explain_rate_limit(last: Event, beliefs: tuple[Event, ...]) -> str:
    changed = _find_latest(beliefs, "limit changed")
    if changed is not None:
        age = float(last["time"]) - float(changed["time"])
        return (
            f"the workspace's limit had been set to {changed['rate']:g} a "
            f"second {age:.1f} s before, and was reached"
        )
    if _find_latest(beliefs, "instance lost") is not None:
        return (
            "the instance's share was spent, and it could not borrow: another "
            "instance did not answer"
        )
    rate = float(last.get("rate", 0.0))
    return f"the workspace's rate of {rate:g} a second was reached"


def _explain_home_loss(last: Event, beliefs: tuple[Event, ...]) -> str:
    home = last["home"]
    lost = _find_latest(beliefs, "home lost")
    how = f" ({lost['cause']})" if lost and lost.get("peer") == home else ""
    waited = float(last.get("seconds", 0.0))
    return (
        f"the session ran on {home}, which was lost{how} {waited:.1f} s after "
        "the statement was passed on"
    )


def _explain_missing_primary(last: Event, beliefs: tuple[Event, ...]) -> str:
    begun = _find_latest(beliefs, "promotion begins")
    if begun is not None:
        age = float(last["time"]) - float(begun["time"])
        return (
            f"the primary {begun.get('primary')} was being replaced "
            f"({begun.get('cause')}), since {age:.1f} s"
        )
    if _find_latest(beliefs, "promotion put off") is not None:
        return "the primary was to be replaced, but the store was out of reach"
    if _find_latest(beliefs, "store lost") is not None:
        return "the instance could neither reach the store nor most voters"
    return "the primary did not answer, and its replacement had not begun"


def _find_latest(beliefs: tuple[Event, ...], name: str) -> Event | None:
    found = [event for event in beliefs if event["event"] == name]
    return found[-1] if found else None


def explain(request: str, *logs: str, json: bool = False) -> Exit:
    """Tells from the instances' logs why a request ended as it did.

    Args:
        request: The request's id.
        logs: Files with the logs of all instances; standard input without
            any.
        json: Write JSON, for a program to read.
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
        found = explain_request(request, read_events(streams or [sys.stdin]))
    output = _format_explanation(found)
    print(json_codec.dumps(output.data) if json else output.text)
    return output.exit


def _format_explanation(found: Explanation) -> Output:
    parts = [
        *(f"  {_format_event(event)}" for event in found.beliefs),
        *(f"> {_format_event(event)}" for event in found.lines),
        f"cause: {found.cause}",
    ]
    code = Exit.DONE if found.lines else Exit.ATTENTION
    return Output(found._asdict(), "\n".join(parts), code)


def _format_event(event: Event) -> str:
    shown = {
        name: value
        for name, value in event.items()
        if name not in ("time", "level", "event", "instance", "at", "request")
    }
    rest = " ".join(f"{name}={value}" for name, value in shown.items())
    return (
        f"{event['time']:.3f} {event.get('instance')} {event['event']} {rest}"
    )
