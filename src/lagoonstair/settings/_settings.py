"""The shape of an instance's settings."""

import functools
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
SHA256_HEX_CHARACTERS = 64

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


Name = Annotated[str, MinLen(1)]
Secret = Annotated[str, MinLen(MIN_SECRET_CHARACTERS)]
Seconds = Annotated[float, Gt(0), Le(3600)]
Port = Annotated[int, Ge(0), Le(65535)]
Sha256Hex = Annotated[str, AfterValidator(_sha256_hex)]


@settings_dataclass()
class Listener:
    """An address to listen on or to connect to.

    Attributes:
        host: An IP number.
        port: A TCP port; 0 lets the system choose one.
    """

    host: IPvAnyAddress
    port: Port

    @property
    def address(self) -> Address:
        """The same as a plain address."""
        return Address(str(self.host), self.port)


@settings_dataclass()
class CallerLimits:
    """Bounds on what one caller's connection may use.

    Attributes:
        header_bytes: The largest request head, in bytes.
        body_bytes: The largest request body, in bytes.
        idle: Seconds after which a silent connection is closed.
        request: Seconds within which a begun request must arrive whole.
        connections: How many callers' connections may be open at once.
    """

    header_bytes: Annotated[int, Ge(1024)] = 16 * 1024
    body_bytes: Annotated[int, Ge(1)] = 1024 * 1024
    idle: Seconds = 300.0
    request: Seconds = 10.0
    connections: Annotated[int, Ge(1)] = 4096


@settings_dataclass()
class Timing:
    """Times, in seconds.

    Attributes:
        request_deadline: How long a request may take in all.
        freshness_bound: How long a proof of the configuration holds.
        config_poll: How often the head of the configuration is read.
        listing_poll: How often the platform's list is read.
        probe_interval: How often an owner probes its groups.
        probe_timeout: How long one probe may take.
        drain_limit: How long a shutdown waits for started work.
        transaction_idle: How long an open transaction may be silent.
        owner_suspect: How long an unreachable owner is passed over.
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
    """Where metrics go.

    Attributes:
        host: The IP number of the statsd server.
        port: Its UDP port.
        prefix: Put before each metric's name.
    """

    host: IPvAnyAddress
    port: Port = 8125
    prefix: str = "lagoonstair"


@settings_dataclass()
class LogSettings:
    """How the daemon logs.

    Attributes:
        level: The least severe level that is written.
        json_lines: Whether each line is a JSON object.
    """

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    json_lines: bool = False


@settings_dataclass()
class Settings:
    """The settings of one instance.

    Attributes:
        name: The instance's name, unique in the fleet.
        failure_domain: The failure domain it runs in.
        callers: Where callers connect.
        operators: Where operators connect.
        peers: Where other instances connect.
        platform: Where the platform answers.
        peer_secret: The secret that instances share.
        session_secrets: Secrets that sign session tokens, oldest first; the
            last one signs, all are accepted.
        operator_keys_sha256: Digests of operators' keys.
        seeds: Peers to ask when the platform is out of reach at boot.
        limits: Bounds on callers' connections.
        timing: Times.
        statsd: Where metrics go; none are sent without it.
        log: How the daemon logs.
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
