"""Tests of the tool against the operator API of an instance."""

import functools
import json

import pytest
import trio

from lagoonstair import keys
from lagoonstair._types import Address
from lagoonstair.cli import Exit
from lagoonstair.cli._main import run
from lagoonstair.config import ConfigSync, OperatorApi
from lagoonstair.peers import HandlerRegistry, PeerClient
from lagoonstair.standins.platform import (
    HttpPlatform,
    PlatformConfig,
    PlatformStandin,
)
from lagoonstair.wire import HttpServer

SECRET = "ls_0123456789abcdef_operatorsecret"
DOCUMENT = {
    "routes": {"lookup": {"kind": "read", "statements": ["SELECT 1"]}},
    "templates": {"shop": {"routes": ["lookup"], "rate": 5, "burst": 9}},
    "workspaces": {"zlab": {"template": "shop", "group": "g1"}},
}


@pytest.fixture
async def tool(nursery, monkeypatch, capsys):
    standin = PlatformStandin.from_config(PlatformConfig())
    port = await nursery.start(standin.serve, "127.0.0.1", 0)
    sync = ConfigSync(
        name="i1",
        incarnation="1",
        failure_domain="a",
        peers=Address("127.0.0.1", 1),
        platform=HttpPlatform(Address("127.0.0.1", port), "i1"),
        caller=PeerClient("i1", b"secret", nursery),
        registry=HandlerRegistry(),
    )
    await nursery.start(sync.run)
    await sync.wait_fresh()
    api = OperatorApi(sync, operator_keys_sha256=[keys.hash_secret(SECRET)])
    port = await nursery.start(HttpServer(api.handle).serve, "127.0.0.1", 0)
    monkeypatch.setenv("LAGOONSTAIR_OPERATOR_URL", f"127.0.0.1:{port}")
    monkeypatch.setenv("LAGOONSTAIR_OPERATOR_KEY", SECRET)

    async def call(*argv):
        command = functools.partial(run, [*argv, "--json"])
        code = await trio.to_thread.run_sync(command)
        return code, json.loads(capsys.readouterr().out)

    return call


async def test_applying_a_document_and_issuing_and_withdrawing_a_key(
    tool, tmp_path
):
    file = tmp_path / "shops.json"
    file.write_text(json.dumps(DOCUMENT))
    code, checked = await tool("apply", str(file), "--check")
    assert (code, checked["checked_only"]) == (Exit.DONE, True)
    assert len(checked["changes"]) == 3
    code, applied = await tool("apply", str(file))
    assert (code, applied["in_force"]) == (Exit.DONE, True)
    code, issued = await tool("keys", "issue", "--workspace", "zlab")
    assert code == Exit.DONE
    code, listed = await tool("keys", "list", "--workspace", "zlab")
    assert [key["id"] for key in listed["keys"]] == [issued["id"]]
    assert issued["key"] not in json.dumps(listed)
    code, _ = await tool("keys", "withdraw", issued["id"])
    assert code == Exit.DONE
    code, listed = await tool("keys", "list")
    assert listed["keys"] == []
    code, shown = await tool("config", "show")
    assert (code, shown["version"]) == (Exit.DONE, issued["version"] + 1)


async def test_invalid_conflicting_and_missing_items_are_refused(
    tool, tmp_path
):
    file = tmp_path / "item.json"
    file.write_text('{"routes": [], "rate": -1, "burst": 9}')
    code, shown = await tool("templates", "check", "shop", str(file))
    assert (code, shown["error"]["kind"]) == (Exit.REFUSED, "bad_request")
    assert "rate" in shown["error"]["message"]
    code, shown = await tool("templates", "get", "none")
    assert (code, shown["error"]["kind"]) == (Exit.REFUSED, "not_found")
    file.write_text('{"routes": [], "rate": 1, "burst": 9}')
    code, put = await tool("templates", "put", "shop", str(file))
    assert code == Exit.DONE
    file.write_text('{"routes": [], "rate": 2, "burst": 9}')
    stale = str(put["version"] - 1)
    argv = ["templates", "put", "shop", str(file), "--if-version", stale]
    code, shown = await tool(*argv)
    assert (code, shown["error"]["kind"]) == (Exit.REFUSED, "conflict")


async def test_a_wrong_operator_key_is_refused(tool, monkeypatch):
    other = f"ls_{'0' * 16}_{'0' * 64}"
    monkeypatch.setenv("LAGOONSTAIR_OPERATOR_KEY", other)
    code, shown = await tool("keys", "list")
    assert (code, shown["error"]["kind"]) == (Exit.REFUSED, "unauthenticated")
