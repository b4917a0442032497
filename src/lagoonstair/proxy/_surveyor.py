"""Finds the logs that hold every acknowledged commit of a group."""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lagoonstair._types import Position
from lagoonstair.platform import lines
from lagoonstair.primacy import GroupRecord, LogSurvey
from lagoonstair.proxy._fleet import Fleet
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._metrics import Metrics
from lagoonstair.proxy._orders import EndpointCommands, led_terms
from lagoonstair.proxy._pool import EndpointPool

SURVEY_SECONDS = 1.5
"""Time limit (s) of a survey; the promoter then begins again, with what has
been registered meanwhile."""


class CompleteLogs(NamedTuple):
    """The result of a survey.

    Attributes:
        received: The end of the received log, by name, of each endpoint that
            holds every acknowledged commit and may be promoted.
        terms: The newest term that each endpoint knows.
        led_terms: The term of each endpoint that regards itself as primary.
    """

    received: dict[str, Position]
    terms: tuple[int, ...]
    led_terms: dict[str, int]


class LogSurveyor:
    """Surveys the logs of groups with synchronous replicas.

    A survey takes place after all instances have released the primary, which
    is what makes it valid: no further commit is acknowledged to any caller,
    not even one that the previous primary still accepts.
    """

    def __init__(
        self, fleet: Fleet, commands: EndpointCommands, metrics: Metrics
    ) -> None:
        self._fleet = fleet
        self._commands = commands
        self._metrics = metrics

    async def survey(
        self, group: str, record: GroupRecord, candidates: Iterable[str]
    ) -> CompleteLogs:
        """Waits until a candidate certainly holds every acknowledged commit.

        An endpoint that is about to leave is promoted only if no other one is
        known to hold all of them by the end of ``SURVEY_SECONDS``.

        Args:
            group: The name of the group.
            record: Its record; the primary in it is the previous one.
            candidates: The endpoints to choose from.

        Returns:
            The logs found; none if too few endpoints have answered.
        """
        names = set(candidates)
        statuses = await self._commands.follow_statuses(
            self._witnesses(group),
            lambda statuses: (
                not names.isdisjoint(
                    self._complete_logs(group, record, statuses)
                )
            ),
            SURVEY_SECONDS,
        )
        complete = self._complete_logs(group, record, statuses)
        if not complete:
            self._report_incomplete(group, record, statuses)
        chosen = {name: complete[name] for name in complete.keys() & names}
        terms = tuple(status.term for status in statuses.values())
        return CompleteLogs(
            chosen or self._registered(complete), terms, led_terms(statuses)
        )

    def _witnesses(self, group: str) -> list[EndpointPool]:
        """Returns the endpoints to ask, also those that are not registered.

        An endpoint that is cut off from the store still receives commits.
        """
        pools = [*self._fleet.group_pools(group)]
        names = {pool.endpoint.name for pool in pools}
        pools += [
            EndpointPool(
                departed.endpoint, 1, supervisor=self._fleet.supervisor
            )
            for departed in self._fleet.departures.of_group(group)
            if departed.endpoint.name not in names
        ]
        return pools

    def _complete_logs(
        self,
        group: str,
        record: GroupRecord,
        statuses: Mapping[str, lines.EndpointStatus],
    ) -> dict[str, Position]:
        """Returns the logs that hold every acknowledged commit, by name."""
        survey = self._log_survey(group, record, statuses)
        logs = dict(survey.received)
        if survey.previous is not None:
            logs[record.primary] = survey.previous
        required = survey.required_position()
        return {
            name: position
            for name, position in logs.items()
            if required is not None and position >= required
        }

    def _log_survey(
        self,
        group: str,
        record: GroupRecord,
        statuses: Mapping[str, lines.EndpointStatus],
    ) -> LogSurvey:
        registered = {
            pool.endpoint.name for pool in self._fleet.group_pools(group)
        }
        received = {
            name: status.received
            for name, status in statuses.items()
            if name != record.primary
        }
        departed_since = tuple(
            departed.since
            for departed in self._fleet.departures.of_group(group)
            if departed.endpoint.name != record.primary
            # Another process under the same name knows nothing of its log.
            and departed.endpoint.name not in received.keys() - registered
        )
        previous = statuses.get(record.primary)
        if previous is not None and not (
            previous.is_primary and previous.term >= record.term
        ):
            previous = None
        observed = self._fleet.latest_position(group)
        return LogSurvey(
            received=received,
            registered=len((registered - {record.primary}) | received.keys()),
            departed_since=departed_since,
            synchronous=max(1, self._fleet.synchronous_replicas.count(group)),
            previous=None if previous is None else previous.received,
            observed_at=-math.inf if observed is None else observed.asked_at,
            observed=None if observed is None else observed.position,
        )

    def _registered(self, logs: Mapping[str, Position]) -> dict[str, Position]:
        return {
            name: position
            for name, position in logs.items()
            if name in self._fleet.endpoints
            and not self._fleet.evacuation.is_evacuated(
                self._fleet.endpoints[name].failure_domain
            )
        }

    def _report_incomplete(
        self,
        group: str,
        record: GroupRecord,
        statuses: Mapping[str, lines.EndpointStatus],
    ) -> None:
        survey = self._log_survey(group, record, statuses)
        self._metrics.count("surveys_incomplete")
        log_event(
            "logs incomplete",
            group=group,
            answered=sorted(survey.received),
            registered=survey.registered,
            departed=len(survey.departed_since),
            quorum=survey.quorum,
            knows_previous=survey.previous is not None,
        )
