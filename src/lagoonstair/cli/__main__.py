"""Entry point of ``python -m lagoonstair.cli``."""

from lagoonstair.cli import main

if __name__ == "__main__":
    main()
