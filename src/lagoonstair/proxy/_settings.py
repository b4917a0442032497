"""Settings of one instance, read from a JSON file."""

import os
import pathlib
from typing import Annotated

import msgspec

from lagoonstair._types import Address
from lagoonstair.features import Features
from lagoonstair.platform.contracts import calls_for_overload_control
from lagoonstair.platform.decoding import UnreadableError, decode_json
from lagoonstair.platform.discovery import (
    MAX_PORT,
    parse_address,
    parse_host,
)

SETTINGS_VARIABLE = "LAGOONSTAIR_SETTINGS"
"""Environment variable with the path of the settings file."""


Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
"""A TCP port."""

InstanceName = Annotated[str, msgspec.Meta(pattern=r"\A[ -~\xa0-\xff]+\Z")]
"""A name that an HTTP header can carry."""


class SettingsError(Exception):
    """The settings are missing or invalid; the message names the field."""


class Listen(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses on which the instance listens, as ``IP:PORT``.

    Attributes:
        entry: The address for callers.
        ready: The address of the readiness check.
    """

    entry: str
    ready: str

    def __post_init__(self) -> None:
        for address in (self.entry, self.ready):
            parse_address(address)


class InstanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the settings file, in JSON.

    Attributes:
        instance: The instance's name, unique in the system.
        failure_domain: The failure domain in which the instance runs.
        host: The IP address at which other instances reach this one.
        listen: The addresses for callers and for the readiness check.
        peer_ports: First and last port reserved for the instance. The first
            port serves calls between instances, the second the metrics,
            the third the sessions that other instances relay, and the fourth,
            where callers are shed, those of them that are run although the
            primary is out of reach.
        store: The address of the metadata store, as ``IP:PORT``.
        duties: The address, as ``IP:PORT``, of the platform calls that only
            one instance at a time may make.
        first_start: Whether the whole system starts for the first time.
        memory_mb: Memory limit of the process, in megabytes.
        processor_share: The fraction of a processor that the process may use.
        processor_speed: The speed of that processor relative to the reference
            processor, whose speed is 1.
        max_descriptors: Limit on the open file descriptors of the process.
        heartbeat_ms: Interval in milliseconds at which endpoints write their
            discovery entries.
        drain_ms: Time in milliseconds for which a leaving endpoint still
            accepts work.
        grace_s: Time in seconds within which a stopping process must exit.
        config_ms: Time in milliseconds from the acknowledgement of a
            configuration until it must be in force.
        fence_required: Whether the platform checks fencing tokens.
        quota_window_s: Window in seconds over which rates are measured.
        quota_excess: The fraction by which a rate may be exceeded within the
            window.
        quota_slack: Operations allowed within the window in addition to that
            fraction.
        regions: The region of each failure domain.
        contracts: The platform's names of the parts of its rules that are in
            force.
        evacuate_ms: Time in milliseconds from the acknowledgement of a failure
            domain's evacuation until no request may reach its endpoints;
            ``None`` if domains can't be evacuated.
        cold_excess: Factor by which an endpoint that has just started may
            exceed its start-up rate; ``None`` without such a limit.
        cold_slack: Requests in any second that are tolerated beyond that;
            ``None`` without such a limit.
    """

    instance: InstanceName
    failure_domain: str
    host: str
    listen: Listen
    peer_ports: tuple[Port, Port]
    store: str
    duties: str
    first_start: bool = False
    memory_mb: float = 300
    processor_share: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    processor_speed: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    max_descriptors: int = 1024
    heartbeat_ms: float = 1200
    drain_ms: float = 7000
    grace_s: float = 6
    config_ms: Annotated[float, msgspec.Meta(gt=0)] = 3000
    fence_required: bool = False
    quota_window_s: float = 5
    quota_excess: float = 0
    quota_slack: float = 0
    regions: dict[str, str] = {}
    contracts: tuple[str, ...] = ()
    evacuate_ms: Annotated[float, msgspec.Meta(gt=0)] | None = None
    cold_excess: Annotated[float, msgspec.Meta(ge=0)] | None = None
    cold_slack: Annotated[float, msgspec.Meta(ge=0)] | None = None

    def __post_init__(self) -> None:
        parse_host(self.host)
        for address in (self.store, self.duties):
            parse_address(address)

    @property
    def capacity(self) -> float:
        """Processor time per second, in seconds of the reference processor."""
        return self.processor_share * self.processor_speed

    @property
    def features(self) -> Features:
        """The optional features that the settings call for."""
        return Features.from_settings(
            evacuate_ms=self.evacuate_ms,
            cold_excess=self.cold_excess,
            cold_slack=self.cold_slack,
            regions=self.regions,
            overload_control=calls_for_overload_control(self.contracts),
        )

    @property
    def peer_address(self) -> Address:
        """Address at which other instances call this one."""
        return Address(self.host, self.peer_ports[0])


def load_settings() -> InstanceSettings:
    """Reads the settings file named by ``SETTINGS_VARIABLE``.

    Raises:
        SettingsError: The variable is not set, the file cannot be read, or a
            field is missing or invalid.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    try:
        return parse_settings(pathlib.Path(path).read_bytes())
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from exc


def parse_settings(text: bytes) -> InstanceSettings:
    """Parses and validates settings from JSON.

    Raises:
        SettingsError: A field is missing or invalid; the message names it.
    """
    try:
        return decode_json(text, InstanceSettings)
    except UnreadableError as exc:
        raise SettingsError(str(exc)) from exc
