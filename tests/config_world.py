"""Simulates several cores with a store and a network in logical time.

The caller chooses the faults of the store and the network.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from config_samples import BASE
from lagoonstair import config
from lagoonstair._types import Address
from lagoonstair.config._core import ReplicaCore
from lagoonstair.config._log import Entry, LogState

BOUND = 5.0


class Served(NamedTuple):
    run: config.MemberId
    version: int
    keys: frozenset[str]
    at: float


class Accepted(NamedTuple):
    version: int
    at: float


class HistoryError(AssertionError):
    """A history violates a guarantee of the configuration."""


@dataclass
class Checker:
    """Checks the versions that instances served against the accepted ones.

    Attributes:
        states: The configuration at each version of the log.
        accepted: The accepted versions, with the time of each.
    """

    states: list[config.Configuration]
    accepted: list[Accepted] = field(default_factory=list)
    _last: dict[config.MemberId, int] = field(default_factory=dict)

    def accept(self, event: Accepted) -> None:
        if event.version >= len(self.states):
            raise HistoryError(f"{event} is not durable")
        self.accepted.append(event)

    def serve(self, event: Served) -> None:
        if event.version < self._last.get(event.run, 0):
            raise HistoryError(f"{event} reverts to an older version")
        self._last[event.run] = event.version
        if event.version >= len(self.states):
            raise HistoryError(f"{event} was never committed")
        if event.keys != frozenset(self.states[event.version].keys):
            raise HistoryError(f"{event} is not complete")
        for version, at in self.accepted:
            if event.at > at + BOUND and event.version < version:
                raise HistoryError(f"{event} is older than {version}")
            self._check_withdrawn(event, version, at)

    def _check_withdrawn(self, event, version, at):
        before = frozenset(self.states[version - 1].keys)
        withdrawn = before - frozenset(self.states[version].keys)
        if event.at > at + BOUND and withdrawn & event.keys:
            raise HistoryError(f"{event} has a withdrawn key")


class Ask:
    """A request to all instances, with the reports received so far."""

    def __init__(self, asker, asked_at):
        self.asker = asker
        self.asked_at = asked_at
        self.reports = []


class World:
    """Simulated cores, the log in the store, and messages between cores."""

    def __init__(self, size):
        self.now = 100.0
        self.cores = {}
        self.paused = set()
        self.down = set()
        self.cut = set()
        self._runs = 0
        self._accepted = 0
        base = Entry(version=1, operation_id="0", accepted=0, change=BASE)
        self.log = [base]
        self.log_state = LogState().append(base)
        self.checker = Checker([LogState().configuration])
        self.checker.states.append(self.log_state.configuration)
        for number in range(size):
            self.restart(number)
        for number in range(size):
            self.push(size - 1, number)

    def is_connected(self, one, other):
        reachable = not {one, other} & self.paused
        return reachable and frozenset((one, other)) not in self.cut

    def partition(self, side):
        self.cut = {
            frozenset((one, other))
            for one in side
            for other in self.cores
            if other not in side
        }

    def restart(self, number):
        self._runs += 1
        member_id = config.MemberId(f"i{number}", f"run{self._runs}")
        self.cores[number] = ReplicaCore(member_id, bound=BOUND, now=self.now)
        self.paused.discard(number)
        self.join(number)

    def join(self, number):
        member_id = self.cores[number].member_id
        member = config.Member(
            name=member_id.name,
            incarnation=member_id.incarnation,
            failure_domain="f",
            peers=Address("10.0.0.1", number),
        )
        return self.commit(number, config.MemberJoined(member))

    def commit(self, number, change, *, answer_lost=False):
        """Commits a change; returns the version, or None if it can't."""
        if number in self.down or number in self.paused:
            return None
        core = self.cores[number]
        core.apply_entries(self.log)
        entry = Entry(
            version=len(self.log) + 1,
            operation_id=str(len(self.log)),
            accepted=core.accepted,
            change=change,
        )
        self.log.append(entry)
        self.log_state = self.log_state.append(entry)
        self.checker.states.append(self.log_state.configuration)
        if not answer_lost:
            core.apply_entries([entry])
        return entry.version

    def read_store(self, number):
        """Returns the reader, the head and the time of the read, or None."""
        if number in self.down or number in self.paused:
            return None
        return number, len(self.log), self.now

    def deliver_head(self, read):
        number, head, asked_at = read
        if number not in self.paused:
            core = self.cores[number]
            core.apply_entries(self.log[:head])
            core.add_store_proof(head, asked_at)

    def push(self, sender, receiver, *, answer_lost=False):
        if sender == receiver or not self.is_connected(sender, receiver):
            return
        source, target = self.cores[sender], self.cores[receiver]
        while source.version > target.version:
            target.apply_delta(source.delta_after(target.version))
        if not answer_lost:
            source.record_report(target.version_report(self.now))

    def answer(self, ask, number, *, fetch=True, relay=False):
        """Delivers an instance's report to the asker of a request."""
        asker = self._number_of(ask.asker)
        if asker in (None, number) or not self.is_connected(asker, number):
            return
        peer = self.cores[number]
        report = peer.version_report(self.now)
        ask.asker.record_report(report)
        if fetch and report.version > ask.asker.version:
            ask.asker.apply_delta(peer.delta_after(ask.asker.version))
        ask.reports.append(report)
        if relay:
            ask.asker.add_relayed_proof(report, ask.asked_at)

    def conclude(self, ask):
        if self._number_of(ask.asker) is not None:
            ask.asker.add_majority_proof(ask.reports, ask.asked_at, self.now)

    def _number_of(self, core):
        return next((n for n, c in self.cores.items() if c is core), None)

    def advance(self, seconds):
        while seconds > 0:
            step = min(seconds, 0.5)
            seconds -= step
            self.now += step
            for number, core in self.cores.items():
                if number not in self.paused:
                    core.tick(self.now)

    def check(self):
        """Checks newly accepted versions and what each instance serves."""
        accepted = max(core.accepted for core in self.cores.values())
        if accepted > self._accepted:
            self._accepted = accepted
            self.checker.accept(Accepted(accepted, self.now))
        for number, core in self.cores.items():
            if number not in self.paused and core.is_fresh(self.now):
                cfg = core.log_state.configuration
                keys = frozenset(cfg.keys)
                event = Served(core.member_id, cfg.version, keys, self.now)
                self.checker.serve(event)
