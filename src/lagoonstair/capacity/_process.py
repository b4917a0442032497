"""Resource usage of this process, as the operating system reports it."""

import gc
import os
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
"""Size in bytes of a memory page."""


def resident_bytes() -> int:
    """Returns the resident memory in bytes, after a garbage collection.

    Raises:
        OSError: ``/proc/self/statm`` can't be read.
    """
    gc.collect()
    fields = Path("/proc/self/statm").read_text(encoding="ascii").split()
    return int(fields[1]) * PAGE_BYTES
