"""Calls to other instances: push, fetch and ask."""

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
"""Calls to peers that run at the same time."""
MAX_PUSH_ATTEMPTS = 5
"""How often a push is tried; later the peer's own poll brings it."""
RELAY_COUNT = 2
"""How many peers are asked for their own proof."""

AnswerT = TypeVar("AnswerT")


class PeerCaller(Protocol):
    """What is used of ``PeerClient``."""

    async def call(
        self, address: Address, message: Any, answer: type[AnswerT]
    ) -> AnswerT:
        """Calls a peer and returns its answer."""
        ...


class PeerSync:
    """The other instances, as this one reaches them."""

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
        """Returns the joined members but this instance."""
        member_id = self._replica.core.member_id.name
        members = self._replica.core.log_state.configuration.members
        return [
            member for member in members.values() if member.name != member_id
        ]

    def _addresses(self) -> list[Address]:
        joined = [member.peers for member in self.other_members()]
        known = dict.fromkeys([*joined, *self._seeds])
        return [address for address in known if address != self._own]

    async def _call(
        self, address: Address, message: Any, answer: type[AnswerT]
    ) -> AnswerT | None:
        """Returns a peer's answer, or ``None`` when there is none in time."""
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
        """Asks every other member; returns the answers by name."""
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
        """Asks a few peers for their own proofs."""
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
        """Asks all peers until a majority of the members has answered."""
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
        # An instance alone is a majority of itself.
        self._replica.add_majority_proof(reports, asked_at)

    async def _catch_up(self, address: Address, report: VersionReport) -> None:
        version = self._replica.core.version
        if report.version <= version:
            return
        delta = await self._call(address, ConfigFetch(version), Delta)
        if delta is not None:
            self._replica.apply_delta(delta)

    async def push_to_all(self) -> None:
        """Brings every other member up to the version in force here."""
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
        longest = self._timing.retry_delay * 2**attempt
        return self._rng.uniform(longest / 2, longest)

    async def _push_until_caught_up(self, member: Member) -> bool:
        """Pushes until the member is level; false when it does not answer."""
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
