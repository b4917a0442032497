"""The daemon: caller and operator interfaces, request execution, shutdown.

It serves callers over HTTP with JSON. The program for callers that use the line
protocol is ``lagoonstair.proxy``.
"""

from lagoonstair.service._daemon import Daemon
from lagoonstair.service._main import main

__all__ = ["Daemon", "main"]
