"""Encoded sizes of messages, which are exact for the given content."""

import msgspec

from lagoonstair._types import Address, Position
from lagoonstair.groups import GroupView
from lagoonstair.ports import (
    EndpointStatus,
    ListedEndpoint,
    ListedGroup,
    ListedInstance,
    Listing,
    Role,
    TermStart,
)

MEMBERS = 3
"""Number of databases in a group, and of failure domains."""


def listed_instance(count: int) -> float:
    """Returns the bytes of instances in the platform's listing."""
    instances = tuple(
        ListedInstance(
            name=f"instance-{number:03}",
            failure_domain=f"domain-{number % MEMBERS}",
            peers=Address("10.120.130.140", 7300),
        )
        for number in range(count)
    )
    return _json_bytes(Listing(version=1, instances=instances, groups=()))


def listed_endpoint(count: int) -> float:
    """Returns the bytes of databases in the platform's listing.

    The databases are listed in groups of three.
    """
    groups = tuple(
        ListedGroup(
            name=f"group-{number:03}",
            members=tuple(_endpoint(number, member) for member in range(3)),
        )
        for number in range(count // MEMBERS)
    )
    return _json_bytes(Listing(version=1, instances=(), groups=groups))


def status_bytes(terms: int) -> float:
    """Returns the bytes of the status of an endpoint.

    Args:
        terms: The number of terms in the history of the endpoint's log.
    """
    status = EndpointStatus(
        name="group-001-a",
        role=Role.PRIMARY,
        term=terms,
        last=Position(terms, 12_345_678),
        history=tuple(
            TermStart(term, term * 10_000) for term in range(1, terms + 1)
        ),
        primary="group-001-a",
    )
    return _json_bytes(status)


def peer_view_bytes(count: int) -> float:
    """Returns the bytes of group views that instances exchange."""
    view = GroupView(
        watcher="instance-001",
        term=7,
        primary="group-001-a",
        silence=0.25,
        can_act=True,
    )
    return float(len(msgspec.msgpack.encode([view] * count)))


def _endpoint(group: int, member: int) -> ListedEndpoint:
    return ListedEndpoint(
        name=f"group-{group:03}-{member}",
        failure_domain=f"domain-{member}",
        address=Address("10.120.130.140", 5432),
        slots=5,
        connections=30,
    )


def _json_bytes(message: object) -> float:
    return float(len(msgspec.json.encode(message)))
