"""Counters, gauges and timings, sent to statsd."""

import statsd

from lagoonstair.settings import StatsdSettings

MILLISECONDS_PER_SECOND = 1000.0
"""Factor from seconds to the milliseconds that statsd expects."""


class Metrics:
    """Sends metrics as UDP datagrams, or nothing if no server is configured.

    Sending never blocks the event loop: a datagram that the socket does not
    accept at once is dropped.
    """

    def __init__(self, client: statsd.StatsClient | None) -> None:
        """Uses a client, or sends nothing without one."""
        self._client = client

    @classmethod
    def from_settings(cls, settings: StatsdSettings | None) -> "Metrics":
        """Creates metrics that are sent as the settings say."""
        if settings is None:
            return cls(None)
        client = statsd.StatsClient(
            str(settings.host),
            settings.port,
            prefix=settings.prefix,
            ipv6=settings.host.version == 6,
        )
        client._sock.setblocking(False)
        return cls(client)

    def count(self, name: str, number: int = 1) -> None:
        """Adds a number to a counter."""
        if self._client is not None:
            self._client.incr(name, number)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Records a duration, given in seconds."""
        if self._client is not None:
            self._client.timing(name, seconds * MILLISECONDS_PER_SECOND)

    def close(self) -> None:
        """Closes the socket."""
        if self._client is not None:
            self._client.close()
