"""Gossip between instances: proofs, group reports and store updates."""

import functools
import itertools
import random
from collections.abc import Callable, Sequence

import msgspec
import trio

from lagoonstair._types import Address
from lagoonstair.exceptions import LagoonstairError
from lagoonstair.gossip import VoterView, choose_voter
from lagoonstair.peers import HandlerRegistry as Handlers
from lagoonstair.peers import (
    PeerClient,
    PeerContext,
    PeerLostError,
    PeerNotSentError,
    Ping,
)
from lagoonstair.primacy import GroupReport
from lagoonstair.proxy._distance import DistanceMeter
from lagoonstair.proxy._fleet import Fleet, epochs_of
from lagoonstair.proxy._log import log_event
from lagoonstair.proxy._registry import Registry
from lagoonstair.proxy._tables import KnownVersions, Tables, Update

ROUND_PERIOD_SECONDS = 0.45
"""Interval (s) between regular rounds. While all rounds are answered, a proof
relayed by another instance is up to two rounds old, one until the sender
relays it and one until the next round here. That is about half of the time for
which it holds."""

URGENT_PERIOD_SECONDS = 0.05
"""Interval (s) between rounds while a promotion waits for the peers'
reports."""

SWEEP_PERIOD_SECONDS = 2.0
"""Interval (s) between sweeps, which ask the instances that are not voters."""

CALL_TIMEOUT_SECONDS = 0.4
"""Time (s) after which a peer's answer counts as missed in this round."""

RECONNECT_SECONDS = 0.02
"""Delay (s) before a call is retried on a new connection, while the broken one
is being closed."""

CONTACT_SECONDS = 10.0
"""Time (s) within which an instance must have had answers from a majority of
the voters. An instance without such a majority, such as one that has just
started, asks all voters in each round; otherwise a non-voter asks one of
them."""

CONTACT_RENEWAL_SECONDS = 7.0
"""Age (s) of the contact with a majority from which on a non-voter in one of
several regions also asks voters of the others. Until ``CONTACT_SECONDS`` this
leaves six rounds."""

ALIVE_SECONDS = 1.3
"""Greatest age (s) of an answered request for which an instance counts as
alive. Up to two of three rounds may be lost."""

LOST_ROUNDS = 4
"""Consecutive missed rounds after which a peer is logged as lost."""


class Ask(msgspec.Struct, frozen=True, array_like=True):
    """Request for an instance's reports; the fields go by position.

    Attributes:
        suspected_groups: Groups whose primary the sender cannot reach.
        promotions: Groups for which the sender runs a promotion, each with
            the promotion's epoch.
        known_versions: The versions that the sender already knows; ``None``
            if it wants no update, because another instance sends it one.
    """

    suspected_groups: tuple[str, ...]
    promotions: tuple[tuple[str, int], ...]
    known_versions: KnownVersions | None


class GossipReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to an ``Ask``; the fields go by position.

    Attributes:
        members_version: Store version at which the sender knows the
            instances.
        proof_age: The age in seconds of the sender's proof that its knowledge
            is current.
        group_reports: The sender's report on each group.
        update: The store data that the requester lacks.
        stands_down: Whether no proof may count the sender; ``None`` from
            builds that do not know resignations.
        seat_held_for: For how long, in seconds, the sender's seat certainly is
            not given up, if it stands down.
    """

    members_version: int
    proof_age: float
    group_reports: tuple[GroupReport, ...]
    update: Update
    stands_down: bool | None = None
    seat_held_for: float = 0.0


class Gossip:
    """Exchanges reports with other instances in periodic rounds.

    The voters ask each other. Every other instance asks one voter a round, so
    that the cost grows linearly with the number of instances.

    Attributes:
        replies: The last reply of each instance, by name.
        probe_requested_at: When a peer last requested a probe of a group's
            primary, by group, in seconds.
        urgent_groups: Groups whose promotion needs frequent rounds to all
            instances.
    """

    def __init__(
        self,
        fleet: Fleet,
        registry: Registry,
        tables: Tables,
        peers: PeerClient,
        handlers: Handlers,
        distances: DistanceMeter | None = None,
    ) -> None:
        """Registers the handler of ``Ask``.

        Args:
            fleet: The state of this instance.
            registry: The registered instances.
            tables: The local store data.
            peers: The client for calls to other instances.
            handlers: The registry of handlers for messages of instances.
            distances: The distances to other regions; ``None`` in a single
                one.
        """
        self._distances = distances
        self._fleet = fleet
        self._registry = registry
        self._tables = tables
        self._peers = peers
        self._missed_rounds: dict[str, int] = {}
        self._silent_since: dict[str, float] = {}
        self._lacking_data: set[str] = set()
        self._wake = trio.Event()
        self._round_numbers = itertools.count()
        self.replies: dict[str, GossipReply] = {}
        self.probe_requested_at: dict[str, float] = {}
        self.urgent_groups: set[str] = set()
        handlers.register(Ask, self._answer)

    async def run(self) -> None:
        """Runs regular rounds and sweeps until cancelled."""
        async with trio.open_nursery() as nursery:
            for task, select_targets, period in (
                ("gossip", self._round_targets, ROUND_PERIOD_SECONDS),
                ("sweep", self._sweep_targets, SWEEP_PERIOD_SECONDS),
            ):
                run = functools.partial(
                    self._run_rounds, select_targets, period
                )
                nursery.start_soon(self._fleet.supervisor.run, task, run)

    def start_urgent_rounds(self, group: str) -> None:
        """Starts frequent rounds to all instances on behalf of a group."""
        self.urgent_groups.add(group)
        self._start_round()

    def stop_urgent_rounds(self, group: str) -> None:
        """Ends the frequent rounds on behalf of a group."""
        self.urgent_groups.discard(group)

    def missed_rounds(self, name: str) -> int:
        """Returns the consecutive rounds that an instance has not answered."""
        return self._missed_rounds.get(name, 0)

    def silent_seconds(self, name: str) -> float:
        """Returns for how long an instance has left rounds unanswered.

        Args:
            name: The name of the instance.

        Returns:
            The seconds since the first of its consecutive missed rounds; 0 if
            it answered the last one.
        """
        now = trio.current_time()
        return now - self._silent_since.get(name, now)

    async def reaches(self, name: str) -> bool:
        """Checks whether an instance answers a call now.

        A broken connection does not show that the instance is down, so the
        call is retried on a new one. A refused connection does show it.
        """
        member = self._registry.members.get(name)
        if member is None:
            return False
        with trio.move_on_after(CALL_TIMEOUT_SECONDS):
            while True:
                try:
                    await self._peers.call(member.address, Ping(), type(None))
                except PeerLostError:
                    await trio.sleep(RECONNECT_SECONDS)
                except (LagoonstairError, PeerNotSentError) as exc:
                    log_event("peer check failed", peer=name, cause=str(exc))
                    return False
                else:
                    return True
        return False

    def all_can_resign(self) -> bool:
        """Returns whether no build that answered lacks resignations."""
        return all(
            reply.stands_down is not None for reply in self.replies.values()
        )

    def peer_reports(self, group: str, within: float) -> dict[str, GroupReport]:
        """Returns the peers' recent reports on a group, by peer name.

        Args:
            group: The name of the group.
            within: Greatest age in seconds of the peer's answer, counted from
                its request.
        """
        now = trio.current_time()
        return {
            name: report
            for name, reply in self.replies.items()
            if now - self._tables.last_asked_at.get(name, 0.0) <= within
            for report in reply.group_reports
            if report.group == group
        }

    def _round_targets(self) -> list[str]:
        """Returns the names of the instances to ask in a regular round."""
        if self.urgent_groups:
            return [*self._registry.members]
        voters = self._registry.voters()
        now = trio.current_time()
        in_contact = self._fleet.primacy.has_majority(now, CONTACT_SECONDS)
        if (
            self._fleet.name in voters
            or not in_contact
            or self._registry.seeks_voters(self._fleet.name)
        ):
            return [*voters]
        name = choose_voter(
            [self._voter_view(name) for name in voters],
            next(self._round_numbers),
            renews_contact=not self._fleet.primacy.has_majority(
                now, CONTACT_RENEWAL_SECONDS
            ),
        )
        return [] if name is None else [name]

    def _voter_view(self, name: str) -> VoterView:
        domain = self._registry.members[name].failure_domain
        return VoterView(
            name=name,
            is_same_domain=domain == self._fleet.failure_domain,
            is_far=self._distances is not None
            and self._distances.is_far(domain),
            missed_rounds=self.missed_rounds(name),
            is_behind=self._tables.config_age.is_peer_behind(name),
            asked_at=self._tables.last_asked_at.get(name, 0.0),
        )

    def _sweep_targets(self) -> list[str]:
        """Returns the names of the instances to ask in a sweep.

        Sweeps detect non-voters that are gone. An instance runs them only if
        its name sorts before those of all responsive voters.
        """
        voters = self._registry.voters()
        alive = self._fleet.primacy.responsive_voters(
            trio.current_time(), SWEEP_PERIOD_SECONDS
        )
        if self._fleet.name != min(alive | {self._fleet.name}):
            return []
        return [name for name in self._registry.members if name not in voters]

    async def _run_rounds(
        self, select_targets: Callable[[], list[str]], period: float
    ) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                targets = [
                    name
                    for name in select_targets()
                    if name != self._fleet.name
                ]
                source = self._choose_update_source(targets)
                for name in targets:
                    member = self._registry.members.get(name)
                    wants_update = self._tables.is_complete or name == source
                    if member is not None:
                        nursery.start_soon(
                            self._ask_peer, name, member.address, wants_update
                        )
                pause = URGENT_PERIOD_SECONDS if self.urgent_groups else period
                with trio.move_on_after(pause):
                    await self._wake.wait()

    def _start_round(self) -> None:
        """Ends the pause before the next round and the next sweep."""
        event, self._wake = self._wake, trio.Event()
        event.set()

    def _choose_update_source(self, targets: Sequence[str]) -> str | None:
        """Chooses the instance that sends a newly started one the store data.

        Updates from all of them would saturate its network link, and after a
        power failure all instances start at once. Instances in the same
        failure domain are preferred. One that had no data itself, as it has
        just started too, is asked again only after all others.

        Args:
            targets: The instances to be asked in this round.
        """
        if not targets:
            return None
        targets = [
            name for name in targets if name not in self._lacking_data
        ] or targets
        same_domain = [
            name
            for name in targets
            if self._registry.members[name].failure_domain
            == self._fleet.failure_domain
            and not self._missed_rounds.get(name)
        ]
        return random.choice(same_domain or list(targets))

    async def _ask_peer(
        self, name: str, address: Address, wants_update: bool
    ) -> None:
        """Asks a peer; its answer costs nothing but itself."""
        with self._fleet.supervisor.contain("peer", peer=name):
            await self._ask(name, address, wants_update)

    async def _ask(
        self, name: str, address: Address, wants_update: bool
    ) -> None:
        asked_at = trio.current_time()
        reply = None
        ask = Ask(
            self._suspected_groups(),
            tuple(self._fleet.primacy.own_promotions().items()),
            self._tables.known_versions() if wants_update else None,
        )
        with trio.move_on_after(CALL_TIMEOUT_SECONDS):
            try:
                reply = await self._peers.call(address, ask, GossipReply)
            except (LagoonstairError, PeerLostError, PeerNotSentError):
                # Counted below as a missed round, like a timeout.
                reply = None
        if reply is None:
            missed = self._missed_rounds.get(name, 0) + 1
            self._missed_rounds[name] = missed
            self._silent_since.setdefault(name, asked_at)
            if missed == LOST_ROUNDS:
                log_event("instance lost", peer=name)
            return
        self._silent_since.pop(name, None)
        if self._missed_rounds.pop(name, 0) >= LOST_ROUNDS:
            log_event("instance regained", peer=name)
        self.replies[name] = reply
        self._note_round_trip(name, trio.current_time() - asked_at)
        was_complete = self._tables.is_complete
        self._tables.apply_update(name, reply.update, asked_at)
        if ask.known_versions is not None and was_complete:
            self._tables.confirmed_by.add(name)
        elif (
            ask.known_versions is not None
            and not self._tables.is_complete
            and name not in self._lacking_data
        ):
            self._lacking_data.add(name)
            self._start_round()
        elif self._tables.is_complete and not was_complete:
            self._start_round()
        self._fleet.primacy.note_report(
            name,
            asked_at,
            members_version=reply.members_version,
            epochs=epochs_of(reply.group_reports),
            proof_age=reply.proof_age,
            stands_down=bool(reply.stands_down),
            seat_held_for=reply.seat_held_for,
        )
        self._fleet.apply_group_reports(reply.group_reports, asked_at)

    def _note_round_trip(self, name: str, seconds: float) -> None:
        member = self._registry.members.get(name)
        if member is not None and self._distances is not None:
            self._distances.record(member.failure_domain, seconds)

    async def _answer(self, ask: Ask, ctx: PeerContext) -> GossipReply:
        now = trio.current_time()
        for group in ask.suspected_groups:
            self.probe_requested_at[group] = now
        primacy = self._fleet.primacy
        for group, epoch in ask.promotions:
            primacy.note_promotion(group, epoch)
        age = min(now - primacy.proved_at(now), 1e6)
        return GossipReply(
            members_version=primacy.members_version,
            proof_age=round(age, 4),
            group_reports=tuple(self._fleet.group_reports()),
            update=self._tables.update_for(ask.known_versions),
            stands_down=primacy.stands_down,
            seat_held_for=max(0.0, primacy.seat_held_until - now),
        )

    def _suspected_groups(self) -> tuple[str, ...]:
        now = trio.current_time()
        records = self._fleet.primacy.records
        pools = self._fleet.pools
        return tuple(
            group
            for group, record in records.items()
            if record.primary in pools
            and pools[record.primary].unreachable_seconds(now) > 0
        )
