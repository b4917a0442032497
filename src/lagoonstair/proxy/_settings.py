"""The settings of one instance."""

import os
import pathlib

import msgspec

from lagoonstair._types import Address

SETTINGS_VARIABLE = "LAGOONSTAIR_SETTINGS"
"""Names the settings file; set by whoever starts the process."""


class SettingsError(Exception):
    """The settings can't be used; says which field and why."""


class Listen(msgspec.Struct, frozen=True, kw_only=True):
    """Where the instance listens, as ``IP:PORT``."""

    entry: str
    ready: str


class InstanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings file, in JSON.

    Attributes:
        instance: The instance's name; no other one has it.
        failure_domain: Where the instance runs.
        host: The IP number that other instances reach it by.
        listen: The addresses of callers and of the readiness check.
        peer_ports: First and last port that is free for calls between
            instances; the first carries them, the second the metrics.
        store: The address of the metadata store.
        duties: The address of the calls that one instance at a time makes.
        first_start: Whether the whole system starts for the first time.
        memory_mb: Memory that the process may use.
        processor_share: The part of a processor that the process may use.
        processor_speed: How fast that processor is; the usual ones are 1.
        max_descriptors: File descriptors that it may use.
        heartbeat_ms: How often endpoints write their entries.
        drain_ms: How long a leaving endpoint may still get work.
        grace_s: How long a stopping process may take.
        fence_required: Whether the platform checks fencing tokens.
        quota_window_s: The window in which rates are judged.
        quota_excess: The part by which a rate may be exceeded in it.
        quota_slack: Operations that may come on top in it.
    """

    instance: str
    failure_domain: str
    host: str
    listen: Listen
    peer_ports: tuple[int, int]
    store: str
    duties: str
    first_start: bool = False
    memory_mb: float = 300
    processor_share: float = 1.0
    processor_speed: float = 1.0
    max_descriptors: int = 1024
    heartbeat_ms: float = 1200
    drain_ms: float = 7000
    grace_s: float = 6
    fence_required: bool = False
    quota_window_s: float = 5
    quota_excess: float = 0
    quota_slack: float = 0

    @property
    def capacity(self) -> float:
        """What the process can do in a second, in seconds of a usual one."""
        return self.processor_share * self.processor_speed

    @property
    def peer_address(self) -> Address:
        """Where other instances call this one."""
        return Address(self.host, self.peer_ports[0])


def load_settings() -> InstanceSettings:
    """Reads the settings file that the environment names.

    Raises:
        SettingsError: There is none, or a field is missing or wrong.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    try:
        return parse_settings(pathlib.Path(path).read_bytes())
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from exc


def parse_settings(text: bytes) -> InstanceSettings:
    """Parses and checks settings.

    Raises:
        SettingsError: Names the field and what is wrong with it.
    """
    try:
        return msgspec.json.decode(text, type=InstanceSettings)
    except msgspec.MsgspecError as exc:
        raise SettingsError(str(exc)) from exc
