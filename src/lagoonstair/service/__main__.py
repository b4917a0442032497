"""Runs the daemon as ``python -m lagoonstair.service``."""

from lagoonstair.service import main

main()
