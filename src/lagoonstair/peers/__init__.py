"""Authenticated remote calls between instances."""

from lagoonstair.peers._client import (
    PeerClient,
    PeerLostError,
    PeerNotSentError,
)
from lagoonstair.peers._messages import Ping
from lagoonstair.peers._server import HandlerRegistry, PeerContext, PeerServer

__all__ = [
    "HandlerRegistry",
    "PeerClient",
    "PeerContext",
    "PeerLostError",
    "PeerNotSentError",
    "PeerServer",
    "Ping",
]
