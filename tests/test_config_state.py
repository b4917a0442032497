"""Checks the effect of changes and the faults listed for invalid input."""

import pytest

from config_samples import KEYS, LOOKUP, SHOP, issue, sample, workspace
from lagoonstair import config
from lagoonstair.config._parse import decode, encode, parse_value
from lagoonstair.exceptions import ErrorKind, LagoonstairError


def test_policy_fills_the_parameters_in():
    policy = sample().policy("kosice", "lookup")
    assert (policy.rate, policy.burst, policy.max_age) == (10, 20, 2)
    assert policy.statements == LOOKUP.statements
    assert policy.group == "g1"


def test_batch_is_atomic():
    before = sample()
    batch = config.Batch(
        (
            config.PutWorkspace(workspace("kosice", 99.0)),
            config.RemoveRoute("lookup"),
        )
    )
    with pytest.raises(config.InvalidInputError) as caught:
        before.apply(batch)
    assert [fault.path for fault in caught.value.faults] == [
        "templates.shop.routes.0"
    ]
    assert before.policy("kosice", "lookup").rate == 10


@pytest.mark.parametrize(
    ("change", "paths"),
    [
        (
            config.PutWorkspace(workspace("kosice", 0.0)),
            ["workspaces.kosice.params.rate"],
        ),
        (
            config.PutWorkspace(workspace("kosice", 1e9)),
            ["workspaces.kosice.params.rate"],
        ),
        (
            config.PutWorkspace(
                config.Workspace(
                    name="b", template="shop", group="g", params={"rte": 1}
                )
            ),
            ["workspaces.b.params.rate", "workspaces.b.params.rte"],
        ),
        (
            config.PutWorkspace(
                config.Workspace(name="b", template="none", group="g")
            ),
            ["workspaces.b.template"],
        ),
        (config.RemoveTemplate("shop"), ["workspaces.kosice.template"]),
        (config.RemoveRoute("none"), ["routes.none"]),
        (config.WithdrawKey("0" * 16), [f"keys.{'0' * 16}"]),
        (issue("kosice"), [f"keys.{KEYS['kosice'].id}"]),
    ],
)
def test_fault_names_its_place_and_nothing_changes(change, paths):
    cfg = sample()
    with pytest.raises(config.InvalidInputError) as caught:
        cfg.apply(change)
    found = [fault.path for fault in caught.value.faults]
    assert found[: len(paths)] == paths
    assert cfg == sample()


@pytest.mark.parametrize(
    ("field", "value", "path"),
    [
        ("rate", 0, "t.rate"),
        ("rate", -1, "t.rate"),
        ("rate", float("inf"), "t.rate"),
        ("rate", float("nan"), "t.rate"),
        ("rate", 1e7, "t.rate"),
        ("rate", True, "t.rate"),
        ("rate", "5", "t.rate"),
        ("rate", {"param": 5}, "t.rate.param"),
        ("rate", {}, "t.rate.param"),
        ("burst", 0.5, "t.burst"),
        ("max_age", -1, "t.max_age"),
        ("routes", ["a", 5], "t.routes.1"),
        ("name", "Not a name", "t.name"),
        ("colour", "red", "t.colour"),
        ("objectives", {"served": 1}, "t.objectives.served"),
    ],
)
def test_bad_field_is_named(field, value, path):
    good = {"name": "a", "routes": ["lookup"], "rate": 1, "burst": 1}
    parse_value(config.Template, good, "t")
    with pytest.raises(config.InvalidInputError) as caught:
        parse_value(config.Template, {**good, field: value}, "t")
    assert [fault.path for fault in caught.value.faults] == [path]
    assert caught.value.kind is ErrorKind.BAD_REQUEST


def test_every_fault_is_named_at_once():
    with pytest.raises(config.InvalidInputError) as caught:
        parse_value(config.Template, {"rate": 0, "colour": 1}, "t")
    paths = {fault.path for fault in caught.value.faults}
    assert paths >= {"t.name", "t.routes", "t.rate", "t.burst", "t.colour"}


def test_values_survive_encoding():
    content = encode(config.Template, SHOP)
    assert decode(config.Template, content) == SHOP


def test_removed_workspace_loses_its_keys():
    cfg = sample().apply(config.RemoveWorkspace("kosice"))
    assert not cfg.key_is_live(KEYS["kosice"].id)
    assert cfg.key_is_live(KEYS["zilina"].id)


def test_withdrawn_key_is_refused_and_never_issued_again():
    cfg = sample().apply(config.WithdrawKey(KEYS["kosice"].id))
    with pytest.raises(LagoonstairError) as caught:
        cfg.authenticate(KEYS["kosice"].text)
    assert caught.value.kind is ErrorKind.UNAUTHENTICATED
    with pytest.raises(config.InvalidInputError):
        cfg.apply(issue("kosice"))


def test_old_incarnation_cannot_remove_the_new_one():
    member = config.Member(
        name="a", incarnation="2", failure_domain="f", peers=("127.0.0.1", 1)
    )
    cfg = sample().apply(config.MemberJoined(member))
    assert cfg.apply(config.MemberLeft("a", "1")).members == cfg.members
    assert not cfg.apply(config.MemberLeft("a", "2")).members
