"""Tests of the tool against a listener that gives scripted responses."""

import functools
import json

import msgspec
import pytest
import trio

from lagoonstair._types import Address
from lagoonstair.cli import Exit
from lagoonstair.cli._main import run
from lagoonstair.cli._target import resolve_operator_target
from lagoonstair.exceptions import ERROR_RESPONSES, ErrorKind
from lagoonstair.report import Recorder
from lagoonstair.wire import HttpResponse, HttpServer

SECRET = "ls_0123456789abcdef_operatorsecret"
IN_FORCE = {"version": 7, "in_force": True, "pending": []}
ISSUED = {**IN_FORCE, "id": "aa", "key": "ls_aa_fresh"}


def _json_response(data, status=200) -> HttpResponse:
    return HttpResponse(status=status, body=msgspec.json.encode(data))


def _error_response(kind: ErrorKind) -> HttpResponse:
    answer = ERROR_RESPONSES[kind]
    error = {"kind": kind.value, "message": "why", "retry": answer.retry}
    return _json_response(
        {"outcome": answer.outcome, "error": error}, answer.status
    )


class Listener:
    """A listener that gives scripted responses and records the requests."""

    def __init__(self) -> None:
        self.answers = []
        self.requests = []
        self.server = HttpServer(self._handle)
        self.address = Address("127.0.0.1", 0)

    async def _handle(self, req) -> HttpResponse:
        self.requests.append(req)
        return self.answers.pop(0)


@pytest.fixture
async def listener(nursery, monkeypatch):
    scripted = Listener()
    port = await nursery.start(scripted.server.serve, "127.0.0.1", 0)
    scripted.address = Address("127.0.0.1", port)
    monkeypatch.setenv("LAGOONSTAIR_OPERATOR_URL", f"http://{scripted.address}")
    monkeypatch.setenv("LAGOONSTAIR_OPERATOR_KEY", SECRET)
    monkeypatch.setenv("LAGOONSTAIR_CALLER_URL", f"http://{scripted.address}")
    monkeypatch.setenv("LAGOONSTAIR_CALLER_KEY", SECRET)
    return scripted


@pytest.fixture
async def closed_url():
    with trio.socket.socket() as sock:  # bound but not listening, so it refuses
        await sock.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{sock.getsockname()[1]}"


async def _run(*argv: str) -> int:
    return await trio.to_thread.run_sync(functools.partial(run, argv))


@pytest.mark.parametrize("extra", [[], ["--json"]])
async def test_issue_prints_the_new_key_and_never_the_operators_key(
    listener, capsys, extra
):
    listener.answers = [_json_response(ISSUED)]
    assert await _run("keys", "issue", "--workspace", "zlab", *extra) == 0
    shown = capsys.readouterr()
    assert "ls_aa_fresh" in shown.out
    assert SECRET not in shown.out + shown.err
    (req,) = listener.requests
    assert (req.method, req.target) == ("POST", "/v1/keys")
    assert req.headers["authorization"] == f"Bearer {SECRET}"
    assert json.loads(req.body) == {"workspace": "zlab"}


async def test_a_lost_response_is_retried_with_the_same_operation_id(listener):
    listener.answers = [
        HttpResponse(status=200, body=b"cut"),
        _error_response(ErrorKind.OUTCOME_UNKNOWN),
        _json_response(ISSUED),
    ]
    assert await _run("keys", "issue", "--workspace", "zlab") == 0
    ids = [req.headers["idempotency-key"] for req in listener.requests]
    assert len(ids) == 3
    assert len(set(ids)) == 1


async def test_an_unknown_outcome_prints_the_operation_id_to_repeat(
    listener, capsys
):
    listener.answers = [_error_response(ErrorKind.OUTCOME_UNKNOWN)] * 3
    assert await _run("keys", "withdraw", "aa") == Exit.UNKNOWN
    used = listener.requests[0].headers["idempotency-key"]
    assert used in capsys.readouterr().err
    listener.answers = [_json_response(IN_FORCE)]
    assert await _run("keys", "withdraw", "aa", "--operation-id", used) == 0
    assert listener.requests[-1].headers["idempotency-key"] == used


@pytest.mark.parametrize(
    ("kind", "code"),
    [
        (ErrorKind.CONFLICT, Exit.REFUSED),
        (ErrorKind.UNAUTHENTICATED, Exit.REFUSED),
        (ErrorKind.UNAVAILABLE, Exit.REFUSED),
        (ErrorKind.INTERNAL, Exit.UNKNOWN),
        (ErrorKind.OUTCOME_UNKNOWN, Exit.UNKNOWN),
    ],
)
@pytest.mark.parametrize("extra", [[], ["--json"]])
async def test_a_callers_request_is_never_retried(
    listener, capsys, kind, code, extra
):
    listener.answers = [_error_response(kind)]
    argv = ["request", "zlab", "order", "--params", '{"n": 1}', *extra]
    assert await _run(*argv) == code
    (req,) = listener.requests
    assert req.target == "/v1/workspaces/zlab/routes/order"
    assert json.loads(req.body) == {"params": {"n": 1}}
    shown = capsys.readouterr()
    assert kind.value in shown.out + shown.err
    assert SECRET not in shown.out + shown.err


async def test_a_durable_change_not_in_force_has_its_own_exit_code(
    listener, tmp_path, capsys
):
    file = tmp_path / "shop.json"
    file.write_text("{}")
    waiting = {"version": 7, "in_force": False, "pending": ["i3"]}
    listener.answers = [_json_response(waiting, status=202)]
    argv = ["templates", "put", "shop", str(file), "--if-version", "6"]
    assert await _run(*argv) == Exit.NOT_IN_FORCE
    assert "i3" in capsys.readouterr().out
    assert listener.requests[0].headers["if-match"] == "6"


async def test_check_changes_nothing(listener, tmp_path, capsys):
    file = tmp_path / "shops.json"
    file.write_text('{"routes": {}}')
    answer = {**IN_FORCE, "checked_only": True, "changes": ["+ routes.a"]}
    listener.answers = [_json_response(answer)]
    assert await _run("apply", str(file), "--check") == 0
    assert listener.requests[0].target == "/v1/apply?check=1"
    assert "+ routes.a" in capsys.readouterr().out


USAGE_ERRORS = [
    ["keys", "withdraw", SECRET],
    ["keys", "issue"],
    ["keys", "issue", "--workspace", "a", "--for-operator"],
    ["apply", "/no/such/file"],
    ["request", "a", "b", "--params", "[1]"],
    ["request", "a", "b", "--params", "{"],
    ["status", "--operator", "ftp://x"],
    ["status", "--operator", "http://127.0.0.1:99999"],
    ["status", "--key-file", "/no/such/file"],
    ["status", "--profile", "/dev/null"],
]


@pytest.mark.parametrize("argv", USAGE_ERRORS)
async def test_invalid_usage_sends_nothing(listener, capsys, argv):
    assert await _run(*argv) == Exit.USAGE
    assert listener.requests == []
    shown = capsys.readouterr()
    assert SECRET not in shown.out + shown.err


async def test_an_unreachable_address_is_skipped(listener, closed_url):
    listener.answers = [_json_response({"version": 7, "keys": []})]
    argv = ["keys", "list", "--operator"]
    assert await _run(*argv, f"{closed_url},http://{listener.address}") == 0
    assert await _run(*argv, closed_url) == Exit.UNREACHABLE


async def test_report_names_every_instance_without_counts(
    listener, closed_url, tmp_path, capsys
):
    recorder = Recorder()
    recorder.record("zlab", None, 0.01, now=0.0)
    instances = {"instances": [{"name": name} for name in ("i1", "i2")]}
    listener.answers = [
        _json_response(recorder.measurements("i1", 0.0)),
        _json_response(instances),
    ]
    page = tmp_path / "burn.html"
    urls = f"http://{listener.address},{closed_url}"
    argv = ["report", "--operator", urls, "--html", str(page)]
    assert await _run(*argv) == Exit.ATTENTION
    text = capsys.readouterr().out
    for shown in (text, page.read_text()):
        assert closed_url.removeprefix("http://") in shown
        assert "i2 (joined" in shown
        assert "zlab" in shown


async def test_config_show_reports_an_outdated_instance(listener, capsys):
    row = {"name": "i1", "answered": True, "version": 6, "proof_age": 0.5}
    answer = {
        "version": 7,
        "accepted": 7,
        "last_change_seconds": 1.25,
        "waiting_for": None,
        "instances": [row],
    }
    listener.answers = [_json_response(answer)]
    assert await _run("config", "show") == Exit.ATTENTION
    assert "1.250 s" in capsys.readouterr().out


def test_config_check_lists_every_error(tmp_path, capsys):
    file = tmp_path / "i1.json"
    file.write_text('{"name": "i1", "surplus": 1}')
    assert run(["config", "check", str(file)]) == Exit.USAGE
    shown = capsys.readouterr().err
    assert "surplus" in shown
    assert "failure_domain" in shown


def test_options_override_the_environment_which_overrides_the_profile(tmp_path):
    file = tmp_path / "profile.json"
    file.write_text(
        '{"operator_urls": ["http://127.0.0.1:1"], "operator_key": "f"}'
    )
    key_file = tmp_path / "key"
    key_file.write_text("option\n")
    env = {
        "LAGOONSTAIR_OPERATOR_URL": "127.0.0.1:2,127.0.0.1:3",
        "LAGOONSTAIR_OPERATOR_KEY": "e",
    }
    found = [
        resolve_operator_target("127.0.0.1:4", str(key_file), str(file), env),
        resolve_operator_target("", "", str(file), env),
        resolve_operator_target("", "", str(file), {}),
    ]
    assert [
        ([addr.port for addr in target.addresses], target.key)
        for target in found
    ] == [([4], "option"), ([2, 3], "e"), ([1], "f")]
    assert "option" not in repr(found[0])
