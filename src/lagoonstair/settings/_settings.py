"""The data classes of an instance's settings."""

import functools
import re
from typing import Annotated, Literal

from annotated_types import Ge, Gt, Le, MinLen
from pydantic import (
    AfterValidator,
    ConfigDict,
    IPvAnyAddress,
    model_validator,
)
from pydantic.dataclasses import dataclass

from lagoonstair._types import Address

MIN_SECRET_CHARACTERS = 16
"""Least number of characters in a secret."""

SHA256_HEX_CHARACTERS = 64
"""Hexadecimal digits in a SHA-256."""

STATSD_PREFIX = re.compile(r"[A-Za-z0-9_.-]*")
"""Text without the separators of a statsd datagram."""

settings_dataclass = functools.partial(
    dataclass,
    frozen=True,
    slots=True,
    kw_only=True,
    config=ConfigDict(extra="forbid", strict=True, hide_input_in_errors=True),
)


def _sha256_hex(value: str) -> str:
    digits = set("0123456789abcdef")
    if len(value) != SHA256_HEX_CHARACTERS or not set(value) <= digits:
        raise ValueError("expected 64 lower-case hexadecimal digits")
    return value


def _statsd_prefix(value: str) -> str:
    if not STATSD_PREFIX.fullmatch(value):
        raise ValueError("expected letters, digits, '_', '-' and '.'")
    return value


Name = Annotated[str, MinLen(1)]
Secret = Annotated[str, MinLen(MIN_SECRET_CHARACTERS)]
Seconds = Annotated[float, Gt(0), Le(3600)]
Port = Annotated[int, Ge(0), Le(65535)]
Sha256Hex = Annotated[str, AfterValidator(_sha256_hex)]


@settings_dataclass()
class Listener:
    """An address to listen on or to connect to.

    Attributes:
        host: An IP address.
        port: A TCP port; 0 lets the operating system choose one.
    """

    host: IPvAnyAddress
    port: Port

    @property
    def address(self) -> Address:
        """The host and port as an ``Address``."""
        return Address(str(self.host), self.port)


@settings_dataclass()
class CallerLimits:
    """Limits on callers' connections.

    Attributes:
        header_bytes: Largest request head, in bytes.
        body_bytes: Largest request body, in bytes.
        idle: Seconds after which an idle connection is closed.
        request: Seconds within which a request must arrive completely once it
            has begun.
        connections: Limit on callers' connections open at once.
    """

    header_bytes: Annotated[int, Ge(1024)] = 16 * 1024
    body_bytes: Annotated[int, Ge(1)] = 1024 * 1024
    idle: Seconds = 300.0
    request: Seconds = 10.0
    connections: Annotated[int, Ge(1)] = 4096


@settings_dataclass()
class Timing:
    """Intervals and timeouts, in seconds.

    Attributes:
        request_deadline: Timeout of a request as a whole.
        freshness_bound: How long a freshness proof of the configuration is
            valid.
        config_poll: Interval between reads of the configuration log's head.
        listing_poll: Interval between reads of the platform's listing.
        probe_interval: Interval between an owner's probes of its groups.
        probe_timeout: Timeout of one probe.
        drain_limit: How long a shutdown waits for work in progress.
        transaction_idle: How long an open transaction may stay idle.
        owner_suspect: How long an unreachable owner is skipped.
    """

    request_deadline: Seconds = 10.0
    freshness_bound: Seconds = 5.0
    config_poll: Seconds = 1.5
    listing_poll: Seconds = 2.0
    probe_interval: Seconds = 0.25
    probe_timeout: Seconds = 1.0
    drain_limit: Seconds = 30.0
    transaction_idle: Seconds = 30.0
    owner_suspect: Seconds = 1.0

    @model_validator(mode="after")
    def _check_polls(self) -> "Timing":
        if self.freshness_bound < 2 * self.config_poll:
            raise ValueError(
                "freshness_bound must be at least twice config_poll"
            )
        return self


@settings_dataclass()
class StatsdSettings:
    """The statsd server that receives the metrics.

    Attributes:
        host: The IP address of the server.
        port: The UDP port of the server.
        prefix: The prefix of each metric's name.
    """

    host: IPvAnyAddress
    port: Port = 8125
    prefix: Annotated[str, AfterValidator(_statsd_prefix)] = "lagoonstair"


@settings_dataclass()
class LogSettings:
    """Logging settings.

    Attributes:
        level: The least severe level that is logged.
        json_lines: Whether each line is a JSON object.
    """

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    json_lines: bool = False


@settings_dataclass()
class Settings:
    """The settings of one instance.

    Attributes:
        name: The instance's name, unique in the fleet.
        failure_domain: The failure domain of the instance.
        callers: The address on which it listens for callers.
        operators: The address on which it listens for operators.
        peers: The address on which it listens for other instances.
        platform: The address of the platform.
        peer_secret: The secret by which instances authenticate each other.
        session_secrets: The secrets of session tokens, oldest first; the last
            one signs, all are accepted.
        operator_keys_sha256: The SHA-256 of each operator key, in hexadecimal
            digits.
        seeds: Peers to ask if the platform is unreachable at startup.
        limits: Limits on callers' connections.
        timing: Intervals and timeouts.
        statsd: The statsd server; without it no metrics are sent.
        log: Logging settings.
    """

    name: Name
    failure_domain: Name
    callers: Listener
    operators: Listener
    peers: Listener
    platform: Listener
    peer_secret: Secret
    session_secrets: Annotated[list[Secret], MinLen(1)]
    operator_keys_sha256: Annotated[list[Sha256Hex], MinLen(1)]
    seeds: tuple[Listener, ...] = ()
    limits: CallerLimits = CallerLimits()
    timing: Timing = Timing()
    statsd: StatsdSettings | None = None
    log: LogSettings = LogSettings()
