"""Configuration values shared by several tests."""

from lagoonstair import config, keys

LOOKUP = config.Route(
    name="lookup",
    kind=config.RouteKind.READ,
    statements=("select price from catalogue where id = :id",),
    idempotent=True,
)
ORDER = config.Route(
    name="order",
    kind=config.RouteKind.WRITE,
    statements=("insert into orders values (:workspace, :id)",),
)
NEWS = config.Route(
    name="news",
    kind=config.RouteKind.READ,
    statements=("select text from news",),
    open=True,
)
SHOP = config.Template(
    name="shop",
    routes=("lookup", "order", "news"),
    max_age=2.0,
    rate=config.Param("rate"),
    burst=20.0,
)
KEYS = {
    name: keys.issue(lambda size, n=number: bytes([n]) * size)
    for number, name in enumerate(("kosice", "zilina", "operator"), start=1)
}


def workspace(name: str, rate: float = 10.0) -> config.Workspace:
    return config.Workspace(
        name=name, template="shop", group="g1", params={"rate": rate}
    )


def issue(name: str) -> config.IssueKey:
    key = KEYS[name]
    if name == "operator":
        return config.IssueKey(
            key.id, "", key.sha256, role=config.KeyRole.OPERATOR
        )
    return config.IssueKey(key.id, name, key.sha256)


BASE = config.Batch(
    (
        config.PutRoute(LOOKUP),
        config.PutRoute(ORDER),
        config.PutRoute(NEWS),
        config.PutTemplate(SHOP),
        config.PutWorkspace(workspace("kosice")),
        config.PutWorkspace(workspace("zilina")),
        *map(issue, KEYS),
    )
)


def sample() -> config.Configuration:
    """Returns a small configuration at version 1."""
    return config.Configuration().apply(BASE)
