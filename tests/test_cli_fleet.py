"""Tests of the tool against seven running instances."""

import functools
import json

import pytest
import trio

from lagoonstair.cli import Exit
from lagoonstair.cli._main import run
from lagoonstair.demo._fleet import OPERATOR_KEY
from process_fleet import process_fleet

ZVOLEN = "zlab-zvolen"


@pytest.fixture
def tool(monkeypatch, capsys):
    monkeypatch.setenv("LAGOONSTAIR_OPERATOR_KEY", OPERATOR_KEY)

    async def call(*argv):
        command = functools.partial(run, [*argv, "--json"])
        code = await trio.to_thread.run_sync(command)
        return code, json.loads(capsys.readouterr().out)

    return call


async def _send_order(tool, fleet, instance, number):
    """Sends a numbered order to an instance."""
    params = {
        "order_no": f"Z-{number}",
        "run_mm": 6000,
        "brackets": 12,
        "sheets": 3,
    }
    return await tool(
        "request",
        ZVOLEN,
        "order-request",
        "--caller",
        str(fleet.callers[instance]),
        "--params",
        json.dumps(params),
        "--request-id",
        f"order-{number}",
    )


async def test_operating_seven_instances(tool, tmp_path, monkeypatch):
    async with process_fleet(tmp_path, groups=1) as fleet:
        monkeypatch.setenv(
            "LAGOONSTAIR_OPERATOR_URL",
            ",".join(map(str, fleet.operators.values())),
        )
        key = await fleet.apply_samples(ZVOLEN)
        monkeypatch.setenv("LAGOONSTAIR_CALLER_KEY", key)
        for number, instance in enumerate(fleet.instances):
            code, answer = await _send_order(tool, fleet, instance, number)
            assert (code, answer["outcome"]) == (Exit.DONE, "answered")

        _, report = await tool("report")
        assert (len(report["answered"]), report["silent"]) == (7, {})
        (workspace,) = report["workspaces"]
        assert workspace["workspace"] == ZVOLEN
        assert workspace["answered"] == 7

        code, status = await tool("status")
        assert (code, len(status["instances"])) == (Exit.DONE, 7)

        address = str(fleet.operators["i6"])
        code, _ = await tool("drain", address)
        assert code == Exit.DONE
        assert await fleet.instances["i6"].wait() == 0
        fleet.instances["i7"].kill()
        await fleet.instances["i7"].wait()

        code, report = await tool("report")
        assert code == Exit.ATTENTION
        assert len(report["answered"]) == 5
        stopped = {str(fleet.operators[name]) for name in ("i6", "i7")}
        assert stopped <= report["silent"].keys()
        assert report["workspaces"][0]["answered"] == 5

        code, _ = await tool("keys", "withdraw", key.split("_")[1])
        assert code == Exit.DONE
        code, answer = await _send_order(tool, fleet, "i1", 99)
        assert code == Exit.REFUSED
        assert answer["error"]["kind"] == "unauthenticated"
