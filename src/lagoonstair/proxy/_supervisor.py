"""Containment of unexpected exceptions within the task that raised them."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import trio

from lagoonstair._faults import describe_exception
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics

FIRST_RESTART_SECONDS = 0.1
"""Delay (s) before a failed task starts again; it doubles with each failure."""

MAX_RESTART_SECONDS = 2.0
"""Upper bound (s) on that delay."""

STABLE_SECONDS = 10.0
"""Running time (s) after which a task's next failure counts as its first."""


class Supervisor:
    """Keeps a failure from ending anything but the work that failed.

    Only exceptions that nobody expects get here. Each is logged and counted,
    so that none goes unnoticed.

    Attributes:
        metrics: The metrics that it counts in.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def report(self, task: str, exc: BaseException, **fields: Any) -> None:
        """Logs and counts an unexpected exception.

        Args:
            task: What failed; a label of the metric.
            exc: The exception.
            **fields: What the work was for, such as an endpoint or a group.
        """
        self.metrics.count("task_failures", task=task)
        fault = describe_exception(exc)
        log_event("task failed", task=task, fault=fault, **fields)

    @contextmanager
    def contain(self, task: str, **fields: Any) -> Iterator[None]:
        """Reports an unexpected exception of the block instead of raising it.

        Args:
            task: What the block does; a label of the metric.
            **fields: What it is for, such as an endpoint or a group.
        """
        try:
            yield
        except* Exception as exc:
            self.report(task, exc, **fields)

    async def run(
        self, task: str, serve: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs a task, and starts it again after a backoff when it fails.

        Args:
            task: The task's name; a label of the metric.
            serve: Runs the task; must leave its state usable when it raises.
        """
        delay = FIRST_RESTART_SECONDS
        while True:
            started_at = trio.current_time()
            with self.contain(task):
                await serve()
                return
            if trio.current_time() - started_at > STABLE_SECONDS:
                delay = FIRST_RESTART_SECONDS
            await trio.sleep(delay)
            delay = min(MAX_RESTART_SECONDS, delay * 2)
