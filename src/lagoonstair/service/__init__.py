"""The daemon: caller and operator interfaces, request execution, shutdown."""

from lagoonstair.service._daemon import Daemon
from lagoonstair.service._main import main

__all__ = ["Daemon", "main"]
