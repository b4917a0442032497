"""Checks the workspaces for which a request with a key is authorized."""

import pytest

from config_samples import KEYS, LOOKUP, sample
from lagoonstair import config
from lagoonstair.exceptions import ErrorKind, LagoonstairError

OK = None
UNAUTHENTICATED = ErrorKind.UNAUTHENTICATED
FORBIDDEN = ErrorKind.FORBIDDEN
NOT_FOUND = ErrorKind.NOT_FOUND
BAD_REQUEST = ErrorKind.BAD_REQUEST

OWN = KEYS["kosice"].text
OTHER = KEYS["zilina"].text
OPERATOR = KEYS["operator"].text
UNKNOWN = f"ls_{'e' * 16}_{'e' * 64}"
FORGED = OWN[:-1] + ("0" if OWN[-1] != "0" else "1")
MIXED = f"ls_{KEYS['kosice'].id}_{OTHER[-64:]}"


def _decide(cfg, workspace, route, key):
    try:
        config.authorize(cfg, workspace, route, key)
    except LagoonstairError as exc:
        return exc.kind
    return OK


@pytest.mark.parametrize(
    ("workspace", "route", "key", "kind"),
    [
        ("kosice", "lookup", OWN, OK),
        ("kosice", "order", OWN, OK),
        ("kosice", "news", OWN, OK),
        ("kosice", "news", None, OK),
        ("kosice", "news", OTHER, OK),
        ("kosice", "news", "nonsense", OK),
        ("kosice", "lookup", None, UNAUTHENTICATED),
        ("kosice", "lookup", UNKNOWN, UNAUTHENTICATED),
        ("kosice", "lookup", FORGED, UNAUTHENTICATED),
        ("kosice", "lookup", MIXED, UNAUTHENTICATED),
        ("kosice", "lookup", "", BAD_REQUEST),
        ("kosice", "lookup", OWN + " ", BAD_REQUEST),
        ("kosice", "lookup", OTHER, FORBIDDEN),
        ("kosice", "order", OTHER, FORBIDDEN),
        ("kosice", "lookup", OPERATOR, FORBIDDEN),
        ("", "lookup", OPERATOR, FORBIDDEN),
        ("kosice", "none", OWN, NOT_FOUND),
        ("kosice", "none", OTHER, FORBIDDEN),
        ("kosice", "none", None, UNAUTHENTICATED),
        ("none", "lookup", OWN, FORBIDDEN),
        ("none", "lookup", None, UNAUTHENTICATED),
        ("none", "news", None, UNAUTHENTICATED),
    ],
)
def test_request_runs_only_for_the_workspace_of_its_key(
    workspace, route, key, kind
):
    assert _decide(sample(), workspace, route, key) is kind


def test_grant_names_the_workspace_of_the_key():
    grant = config.authorize(sample(), "kosice", "order", OWN)
    assert grant.policy.workspace == "kosice"
    assert grant.key_id == KEYS["kosice"].id


def test_open_route_grants_nothing_by_the_key():
    grant = config.authorize(sample(), "kosice", "news", OTHER)
    assert grant.key_id is None


CLOSED_NEWS = config.PutRoute(
    config.Route(name="news", kind=config.RouteKind.READ, statements=("x",))
)
NARROW = config.PutTemplate(
    config.Template(
        name="shop", routes=("news",), rate=config.Param("rate"), burst=1.0
    )
)


@pytest.mark.parametrize(
    ("route", "key", "change", "holds"),
    [
        ("order", OWN, config.PutRoute(LOOKUP), True),
        ("order", OWN, config.WithdrawKey(KEYS["zilina"].id), True),
        ("order", OWN, config.WithdrawKey(KEYS["kosice"].id), False),
        ("order", OWN, config.RemoveWorkspace("kosice"), False),
        ("order", OWN, NARROW, False),
        ("news", None, CLOSED_NEWS, False),
        ("news", None, config.WithdrawKey(KEYS["kosice"].id), True),
    ],
)
def test_queued_request_runs_only_while_its_grant_holds(
    route, key, change, holds
):
    cfg = sample()
    grant = config.authorize(cfg, "kosice", route, key)
    assert config.is_grant_valid(cfg, grant)
    assert config.is_grant_valid(cfg.apply(change), grant) is holds
