"""Rules by which a watcher defers a promotion to another watcher."""

from collections.abc import Collection, Sequence

from lagoonstair.groups._messages import GroupView


def should_defer_to_connected(
    *,
    term: int,
    silence: float,
    views: Collection[GroupView],
    margin: float,
) -> bool:
    """Returns whether another watcher reaches a primary that this one doesn't.

    Silences are compared as durations because the clocks of two instances
    can't be compared.

    Args:
        term: The highest term that this watcher knows.
        silence: The number of seconds for which this watcher has had no
            contact to a primary.
        views: The views of the other watchers.
        margin: The number of seconds by which another watcher's silence must
            be shorter; it covers that watcher's probe interval.
    """
    return any(
        bool(v.primary) and v.term >= term and v.silence < silence - margin
        for v in views
    )


def should_defer_to_ranked(
    *, watcher: str, ranking: Sequence[str], views: Collection[GroupView]
) -> bool:
    """Returns whether a higher-ranked watcher can perform the promotion.

    Args:
        watcher: The name of this watcher's instance.
        ranking: The names of the group's watchers, the owner first.
        views: The views of the watchers that answered.
    """
    if watcher not in ranking:
        return any(v.can_act for v in views)
    higher_ranked = set(ranking[: ranking.index(watcher)])
    return any(v.can_act and v.watcher in higher_ranked for v in views)
