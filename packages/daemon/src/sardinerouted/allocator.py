"""Settings of the C library's memory allocator."""

import ctypes

from sardineroute_core import logs

# Parameter number in glibc's malloc.h.
_M_MMAP_THRESHOLD = -3
_THRESHOLD_BYTES = 262_144

_log = logs.get_logger("daemon")


def return_large_blocks() -> None:
    """Makes the allocator return large blocks to the kernel once they are free.

    By default glibc raises its threshold for such blocks with each one that is
    freed. Large requests, read on many threads, then leave free memory in the
    arenas of all these threads. Without glibc nothing changes.
    """
    try:
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, _THRESHOLD_BYTES)
    except (OSError, AttributeError) as error:
        _log.info("The allocator has no such setting.", why=str(error))
