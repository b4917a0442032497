"""Pure decisions on the seats of the voters.

A voter that stops usually returns within seconds, under its own name. It
therefore keeps its seat: its row only says once all proofs that counted it have
expired. From then on any instance may give up the seat on its behalf, until the
next process under its name clears that mark. No majority is needed for it, so
stopped voters never block the rest for good.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from lagoonstair.primacy._primacy import CLOCK_MARGIN, PROOF_SECONDS

RETURN_SECONDS = 8.0
"""Time (s) for which the seat of a stopped voter is kept although a majority
responds: the rest of a grace period of 6 s, the restart and the registration.
"""


class Seat(NamedTuple):
    """A seat in the line of voters.

    Attributes:
        name: The instance that holds it.
        place: Its place in the line, in seconds on the store's clock.
    """

    name: str
    place: float


def seats_to_give_up(
    line: Sequence[str],
    *,
    present: Collection[str],
    stood_down: Mapping[str, float],
    voter_count: int,
) -> tuple[str, ...]:
    """Returns the instances whose seats are to be given up now.

    These are stopped voters that stay away, and those whose seat passes to the
    next instance in line. Without a responding majority there are as few more
    as it takes for the responding voters to be one; none if there are too few
    for that, because each of them counts again when it returns.

    Args:
        line: The instances with a seat, in the order of their places.
        present: The voters that respond.
        stood_down: For how long, in seconds, a voter has been known to be
            stopped without any proof that counts it, by name.
        voter_count: Number of seats whose holders vote.

    Returns:
        The names, of which each is in ``stood_down``.
    """
    away = sorted(
        (name for name in line if name in stood_down),
        key=lambda name: -stood_down[name],
    )
    spare = len(line) - voter_count
    given_up = [
        name
        for index, name in enumerate(away)
        if stood_down[name] > RETURN_SECONDS or index < spare
    ]
    others = [name for name in away if name not in given_up]
    for number in range(len(others) + 1):
        candidates = [*given_up, *others[:number]]
        rest = [name for name in line if name not in candidates]
        if _is_served(rest[:voter_count], present):
            return tuple(candidates)
    return tuple(given_up)


def _is_served(voters: Sequence[str], present: Collection[str]) -> bool:
    """Returns whether a majority responds, or the first seat can be taken."""
    responding = sum(name in present for name in voters)
    return not voters or responding * 2 > len(voters)


class AdditionWait:
    """The wait before a voter is added to the known ones.

    Voters are added one at a time. A proof that holds may come from the voters
    before the last addition until a majority has known of it for longer than a
    proof holds. Stopped voters that give up their seats don't prolong the
    wait: no proof counts them. The removal of a silent voter does.
    """

    def __init__(self) -> None:
        self._version = 0
        self._seats: frozenset[Seat] | None = None
        self._known_since: float | None = None

    def reset(self) -> None:
        """Begins the wait again at the next call."""
        self._seats = None

    def is_over(
        self,
        seats: frozenset[Seat],
        *,
        members: Collection[str],
        version: int,
        is_known: Callable[[int], bool],
        now: float,
    ) -> bool:
        """Returns whether a voter may be added.

        Args:
            seats: The seats of the present voters.
            members: The names of all registered instances.
            version: The store version of the set of registered instances.
            is_known: Returns whether a majority of the voters knows the set
                of instances as of a version.
            now: The current time, in seconds.
        """
        if self._seats is None or self._is_changed(seats, members):
            self._version = version
            self._known_since = None
            self._seats = seats
        if not is_known(self._version):
            self._known_since = None
            return False
        if self._known_since is None:
            self._known_since = now
        return now - self._known_since > PROOF_SECONDS * CLOCK_MARGIN

    def _is_changed(
        self, seats: frozenset[Seat], members: Collection[str]
    ) -> bool:
        """Returns whether a voter was added or a silent one removed."""
        known = self._seats or frozenset()
        is_added = not seats <= known
        return is_added or any(
            seat.name not in members for seat in known - seats
        )
