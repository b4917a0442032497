"""The daemon: callers' front, owners, operators, and the shutdown."""

from lagoonstair.service._daemon import Daemon
from lagoonstair.service._main import main

__all__ = ["Daemon", "main"]
