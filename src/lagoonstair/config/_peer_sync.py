"""Configuration calls to other instances: push, fetch and ask."""

from collections.abc import Iterable
from random import Random
from typing import Any, Protocol, TypeVar

import trio

from lagoonstair._types import Address
from lagoonstair.config._messages import (
    ConfigAsk,
    ConfigFetch,
    ConfigPush,
    Delta,
    VersionReport,
)
from lagoonstair.config._model import Member
from lagoonstair.config._replica import LocalReplica
from lagoonstair.config._timing import SyncTiming
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.peers import PeerLostError, PeerNotSentError

MAX_CONCURRENT_CALLS = 64
"""Limit on concurrent calls to peers."""
MAX_PUSH_ATTEMPTS = 5
"""Attempts to push to a peer; after them its own poll reads the version."""
RELAY_COUNT = 2
"""Number of peers asked at once for their own proofs."""

AnswerT = TypeVar("AnswerT")


class PeerCaller(Protocol):
    """The part of ``PeerClient`` that is used here."""

    async def call(
        self, address: Address, message: Any, answer: type[AnswerT]
    ) -> AnswerT:
        """Calls a peer and returns its reply."""
        ...


class PeerSync:
    """Exchanges versions and freshness proofs with the other instances."""

    def __init__(
        self,
        replica: LocalReplica,
        caller: PeerCaller,
        own: Address,
        seeds: Iterable[Address],
        timing: SyncTiming,
        rng: Random,
    ) -> None:
        self._replica = replica
        self._caller = caller
        self._own = own
        self._seeds = tuple(seeds)
        self._timing = timing
        self._rng = rng
        self._calls = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)
        self._pushing: set[str] = set()

    def other_members(self) -> list[Member]:
        """Returns the joined members except this instance."""
        own_name = self._replica.core.member_id.name
        members = self._replica.core.log_state.configuration.members
        return [
            member for member in members.values() if member.name != own_name
        ]

    def _addresses(self) -> list[Address]:
        joined = [member.peers for member in self.other_members()]
        known = dict.fromkeys([*joined, *self._seeds])
        return [address for address in known if address != self._own]

    async def _call(
        self, address: Address, message: Any, answer: type[AnswerT]
    ) -> AnswerT | None:
        """Returns a peer's reply; ``None`` on an error or a timeout."""
        try:
            async with self._calls:
                with trio.fail_after(self._timing.call_timeout):
                    return await self._caller.call(address, message, answer)
        except (
            PeerLostError,
            PeerNotSentError,
            LagoonstairError,
            trio.TooSlowError,
        ):
            return None

    async def collect_reports(self) -> dict[str, VersionReport]:
        """Requests every other member's report; returns them by name."""
        reports: dict[str, VersionReport] = {}

        async def ask(member: Member) -> None:
            report = await self._call(member.peers, ConfigAsk(), VersionReport)
            if report is not None:
                self._replica.record_report(report)
                reports[member.name] = report

        async with trio.open_nursery() as nursery:
            for member in self.other_members():
                nursery.start_soon(ask, member)
        return reports

    async def request_relayed_proofs(self) -> None:
        """Asks ``RELAY_COUNT`` random peers for their own proofs."""
        addresses = self._addresses()
        count = min(RELAY_COUNT, len(addresses))
        async with trio.open_nursery() as nursery:
            for address in self._rng.sample(addresses, count):
                nursery.start_soon(self._request_relayed_proof, address)

    async def _request_relayed_proof(self, address: Address) -> None:
        asked_at = trio.current_time()
        report = await self._call(address, ConfigAsk(), VersionReport)
        if report is None:
            return
        self._replica.record_report(report)
        await self._catch_up(address, report)
        self._replica.add_relayed_proof(report, asked_at)

    async def request_majority_proof(self) -> None:
        """Asks all peers until a majority of the members gives a proof."""
        asked_at = trio.current_time()
        reports: list[VersionReport] = []
        async with trio.open_nursery() as nursery:

            async def ask(address: Address) -> None:
                report = await self._call(address, ConfigAsk(), VersionReport)
                if report is None:
                    return
                reports.append(report)
                self._replica.record_report(report)
                await self._catch_up(address, report)
                if self._replica.add_majority_proof(reports, asked_at):
                    nursery.cancel_scope.cancel()

            for address in self._addresses():
                nursery.start_soon(ask, address)
        # The only member of a configuration is a majority without any reply.
        self._replica.add_majority_proof(reports, asked_at)

    async def _catch_up(self, address: Address, report: VersionReport) -> None:
        version = self._replica.core.version
        if report.version <= version:
            return
        delta = await self._call(address, ConfigFetch(version), Delta)
        if delta is not None:
            self._replica.apply_delta(delta)

    async def push_to_all(self) -> None:
        """Pushes the version in force to every other member.

        Members that an earlier call is still pushing to are skipped.
        """
        async with trio.open_nursery() as nursery:
            for member in self.other_members():
                if member.name not in self._pushing:
                    nursery.start_soon(self._push_to, member)

    async def _push_to(self, member: Member) -> None:
        self._pushing.add(member.name)
        try:
            for attempt in range(MAX_PUSH_ATTEMPTS):
                if attempt:
                    await trio.sleep(self._delay(attempt))
                if await self._push_until_caught_up(member):
                    return
        finally:
            self._pushing.discard(member.name)

    def _delay(self, attempt: int) -> float:
        max_delay = self._timing.retry_delay * 2**attempt
        return self._rng.uniform(max_delay / 2, max_delay)

    async def _push_until_caught_up(self, member: Member) -> bool:
        """Pushes until the member has the version in force.

        Returns:
            Whether pushing is done: false if the member doesn't reply or
            doesn't advance, true also if another incarnation replies.
        """
        core = self._replica.core
        after = core.reported_version(member.id) or core.version - 1
        while core.reported_version(member.id) < core.version:
            delta = core.delta_after(after)
            report = await self._call(
                member.peers, ConfigPush(delta), VersionReport
            )
            if report is None:
                return False
            self._replica.record_report(report)
            if report.id != member.id:
                return True
            if report.version == after:
                return False
            after = report.version
        return True
