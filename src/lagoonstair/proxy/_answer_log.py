"""Counts and logs the answers to callers' statements."""

import random

from lagoonstair.platform import lines
from lagoonstair.proxy._conversation import CallerConnection
from lagoonstair.proxy._entry import statement_kind
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.statements import Begin, Failure, Result, Success

SUCCESS_LOG_RATIO = 1 / 64
"""Fraction of the successful answers that are logged."""


class AnswerLog:
    """Records the answers of an instance."""

    def __init__(self, fleet: Fleet, metrics: Metrics) -> None:
        self._fleet = fleet
        self._metrics = metrics

    def record(
        self,
        connection: CallerConnection,
        query: lines.Query,
        result: Result,
        seconds: float,
    ) -> None:
        """Counts a statement, and logs it if it failed or is sampled."""
        kind = statement_kind(query)
        assert connection.caller is not None
        match result:
            case Success():
                self._metrics.count("statements", outcome="done")
                code = "done"
                message = ""
            case Failure():
                code = result.code.value
                message = result.message
                self._metrics.count("statements", outcome=code)
        self._metrics.observe("statement", seconds, kind=kind)
        if code == "done" and (
            isinstance(query.statement, Begin)
            or random.random() > SUCCESS_LOG_RATIO
        ):
            return
        config = self._fleet.config
        route = (
            None if config is None else config.routes.get(connection.database)
        )
        workspace = (
            None
            if config is None
            else config.workspaces.get(connection.caller.workspace)
        )
        log_event(
            "statement answered",
            request=query.request_id,
            group="" if route is None else route.group,
            kind=kind,
            outcome=code,
            cause=message,
            database=connection.database,
            workspace=connection.caller.workspace,
            seconds=round(seconds, 4),
            state=connection.session.state.value,
            config_version=0 if config is None else config.version,
            rate=0.0 if workspace is None else workspace.rate,
        )
