"""Entry point of the daemon: ``python -m lagoonstair.service``."""

from lagoonstair.service import main

main()
