"""Whether other watchers' views stop a promotion."""

from collections.abc import Collection, Sequence

from lagoonstair.groups._messages import GroupView


def should_defer_to_connected(
    *,
    term: int,
    silence: float,
    views: Collection[GroupView],
    margin: float,
) -> bool:
    """Whether another watcher reaches a primary that this one does not.

    Silences are durations, so that no two clocks are compared.

    Args:
        term: The greatest term that this watcher knows.
        silence: Seconds for which this watcher has been without a primary.
        views: The other watchers' views.
        margin: By how many seconds another watcher's silence must be shorter;
            covers its probe interval.
    """
    return any(
        bool(v.primary) and v.term >= term and v.silence < silence - margin
        for v in views
    )


def should_defer_to_ranked(
    *, watcher: str, ranking: Sequence[str], views: Collection[GroupView]
) -> bool:
    """Whether a better ranked watcher can act and is left to do so.

    Args:
        watcher: This watcher's instance.
        ranking: The group's watchers, the active one first.
        views: The views of those that answered.
    """
    if watcher not in ranking:
        return any(v.can_act for v in views)
    better = set(ranking[: ranking.index(watcher)])
    return any(v.can_act and v.watcher in better for v in views)
