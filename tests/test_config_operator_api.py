"""Checks the operator API's requests on configuration and keys."""

import json

import pytest

from config_fakes import Fleet
from config_samples import BASE, KEYS
from lagoonstair import config, keys
from lagoonstair.wire import HttpRequest

ROOT = "the operator key of the settings"
ROUTE = {"kind": "read", "statements": ["select 1"]}


@pytest.fixture
async def call(nursery):
    fleet = Fleet(nursery, 1)
    await fleet.start_all()
    await fleet.syncs[0].submit(BASE)
    api = config.OperatorApi(
        fleet.syncs[0],
        operator_keys_sha256=[keys.hash_secret(ROOT)],
        random_bytes=lambda size: b"\x7f" * size,
    )

    async def send(method, target, body=None, *, key=ROOT, **headers):
        named = {n.replace("_", "-"): v for n, v in headers.items()}
        if key is not None:
            named["authorization"] = f"Bearer {key}"
        content = b"" if body is None else json.dumps(body).encode()
        req = HttpRequest(
            method=method,
            target=target,
            headers=named,
            body=content,
            connection=1,
        )
        resp = await api.handle(req)
        return resp and (resp.status, json.loads(resp.body))

    return send


async def test_item_is_put_shown_and_removed(call, autojump_clock):
    status, put = await call("PUT", "/v1/routes/extra", ROUTE)
    assert (status, put["in_force"], put["pending"]) == (200, True, [])
    status, shown = await call("GET", "/v1/routes/extra")
    assert shown["changed"] == put["version"]
    assert shown["item"]["statements"] == ["select 1"]
    status, _ = await call("DELETE", "/v1/routes/extra")
    assert status == 200
    status, _ = await call("GET", "/v1/routes/extra")
    assert status == 404


async def test_shown_configuration_can_be_applied_again(call, autojump_clock):
    _, shown = await call("GET", "/v1/config")
    document = {s: shown[s] for s in ("routes", "templates", "workspaces")}
    status, answer = await call("POST", "/v1/apply", document)
    assert (status, answer["changes"]) == (200, [])


async def test_check_changes_nothing(call, autojump_clock):
    body = {"workspaces": {"kosice": None}, "routes": {"extra": ROUTE}}
    status, answer = await call("POST", "/v1/apply?check=1", body)
    assert (status, answer["checked_only"]) == (200, True)
    assert answer["changes"] == ["routes/extra", "workspaces/kosice"]
    _, shown = await call("GET", "/v1/config")
    assert "kosice" in shown["workspaces"]


async def test_every_fault_of_a_document_is_named(call, autojump_clock):
    body = {
        "routes": {"a": {"kind": "raed", "statements": []}, "b": 5},
        "templates": {"t": {"routes": [], "rate": 0, "burst": 1}},
        "keys": {},
    }
    status, answer = await call("POST", "/v1/apply", body)
    paths = {fault["path"] for fault in answer["error"]["faults"]}
    assert status == 400
    assert paths == {
        "keys",
        "routes.a.kind",
        "routes.a.statements",
        "routes.b",
        "templates.t.rate",
    }


async def test_key_is_shown_once_and_lives_until_withdrawn(
    call, autojump_clock
):
    issue = {"workspace": "kosice"}
    status, issued = await call("POST", "/v1/keys", issue, idempotency_key="op")
    assert status == 200
    status, again = await call("POST", "/v1/keys", issue, idempotency_key="op")
    assert status == 409
    assert issued["id"] in again["error"]["message"]
    _, listed = await call("GET", "/v1/keys?workspace=kosice")
    assert issued["id"] in [key["id"] for key in listed["keys"]]
    assert "sha256" not in json.dumps(listed)
    status, _ = await call("DELETE", f"/v1/keys/{issued['id']}")
    assert status == 200
    _, listed = await call("GET", "/v1/keys?workspace=kosice")
    assert issued["id"] not in [key["id"] for key in listed["keys"]]


async def test_old_version_is_told_what_changed(call, autojump_clock):
    _, before = await call("GET", "/v1/config")
    await call("PUT", "/v1/routes/extra", ROUTE)
    status, answer = await call(
        "PUT", "/v1/routes/extra", ROUTE, if_match=str(before["version"])
    )
    assert (status, answer["error"]["kind"]) == (409, "conflict")
    assert "routes/extra changed at version" in answer["error"]["message"]


async def test_instances_show_their_versions(call, autojump_clock):
    _, shown = await call("GET", "/v1/config")
    _, answer = await call("GET", "/v1/instances")
    assert [i["version"] for i in answer["instances"]] == [shown["version"]]


@pytest.mark.parametrize(
    ("key", "status"),
    [
        (None, 401),
        ("nonsense", 400),
        (KEYS["kosice"].text, 403),
        (KEYS["operator"].text, 200),
        (KEYS["operator"].text[:-1] + "f", 401),
        (ROOT, 200),
    ],
)
async def test_only_operators_may_ask(call, autojump_clock, key, status):
    got, answer = await call("GET", "/v1/config", key=key)
    assert got == status
    assert status == 200 or (key or "none") not in json.dumps(answer)


@pytest.mark.parametrize(
    ("method", "target", "headers", "path"),
    [
        ("PATCH", "/v1/routes/lookup", {}, "method"),
        ("PUT", "/v1/routes/Bad%20name", {}, "routes.Bad name.name"),
        ("PUT", "/v1/routes/a", {"if_match": "x"}, "If-Match"),
        ("PUT", "/v1/routes/a", {"idempotency_key": ""}, "Idempotency-Key"),
    ],
)
async def test_bad_request_names_the_place(
    call, autojump_clock, method, target, headers, path
):
    status, answer = await call(method, target, ROUTE, **headers)
    assert status == 400
    assert [f["path"] for f in answer["error"]["faults"]] == [path]


@pytest.mark.parametrize(
    "target",
    ["/", "/v1", "/v1/run", "/v1/routes", "/v1/routes/a/b", "/metrics"],
)
async def test_other_paths_are_left_to_others(call, autojump_clock, target):
    assert await call("GET", target) is None
