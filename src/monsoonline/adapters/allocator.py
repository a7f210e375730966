"""Settings of the C library's allocator for a process with many threads."""

import ctypes
import logging

__all__ = ["return_large_blocks"]

# Parameters of mallopt.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# Blocks from this size have pages of their own, which are returned when freed.
LARGE_BLOCK_BYTES = 128 << 10
# Free memory at the end of the heap from which it is returned.
TRIM_BYTES = 1 << 20
MAX_ARENAS = 2

logger = logging.getLogger(__name__)


def return_large_blocks():
    """Let freed message bodies be returned to the system at once.

    By default the allocator keeps blocks up to the largest one that was ever freed,
    separately for each group of threads, which holds twice the memory in use.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        logger.debug("the C library has no mallopt")
        return
    mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    mallopt(M_TRIM_THRESHOLD, TRIM_BYTES)
    mallopt(M_ARENA_MAX, MAX_ARENAS)
