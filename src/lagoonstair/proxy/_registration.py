"""The rows with which an instance registers."""

import secrets
from collections.abc import Mapping

import msgspec

from lagoonstair.proxy._registry_rows import (
    FOUNDING_KEY,
    MEMBER_PREFIX,
    Era,
    Founding,
    Member,
    RowValue,
    all_can_resign,
    era_key,
)
from lagoonstair.proxy._settings import InstanceSettings

SECRET_BYTES = 16
"""Length (bytes) of the secret that the instances share."""

FOUNDING_WINDOW_SECONDS = 15.0
"""Time (s) after the founding within which newly registered instances hold
their shares at once. Until then, the system does not serve yet or has only just
started to."""


def registration_rows(
    settings: InstanceSettings,
    *,
    members: Mapping[str, Member],
    founding: Founding | None,
    era: int,
    now: float,
) -> dict[str, RowValue]:
    """Returns the rows that are missing for an instance to be registered.

    Args:
        settings: The settings of the instance.
        members: The registered instances, by name.
        founding: The founding row; ``None`` at the system's first start.
        era: The number of the store's present history.
        now: The current time in seconds on the store's clock.

    Returns:
        The rows by key; none if it is registered as it runs now.
    """
    missing: dict[str, RowValue] = {}
    if founding is None:
        secret = secrets.token_hex(SECRET_BYTES)
        missing[FOUNDING_KEY] = Founding(secret=secret, at=now)
        missing[era_key(era)] = Era(at=now)
    is_founder = founding is None or now - founding.at < FOUNDING_WINDOW_SECONDS
    known = members.get(settings.instance)
    current = _member(settings, known, now)
    if known is None and not is_founder:
        current = msgspec.structs.replace(
            current, resigned=all_can_resign(members)
        )
    if current != known:
        missing[MEMBER_PREFIX + settings.instance] = current
    return missing


def _member(
    settings: InstanceSettings, known: Member | None, now: float
) -> Member:
    """Returns the row of an instance that starts, without any mark to stop."""
    if known is not None and known.address == settings.peer_address:
        return msgspec.structs.replace(
            known,
            capacity=settings.capacity,
            stops=False,
            stood_down=False,
            can_resign=True,
            gives_up=True,
        )
    return Member(
        host=settings.host,
        port=settings.peer_ports[0],
        failure_domain=settings.failure_domain,
        since=now,
        capacity=settings.capacity,
        # A new address changes no majority.
        seated=0.0 if known is None else known.place,
        resigned=known is not None and known.resigned,
        can_resign=True,
        gives_up=True,
    )
