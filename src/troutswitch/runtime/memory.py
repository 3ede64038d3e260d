"""Reduces the resident memory of a process with many threads."""

import ctypes
import gc

M_ARENA_MAX = -8
"""Parameter of `mallopt` (glibc, malloc.h) that limits the number of arenas."""
MAX_ARENAS = 2


def limit_allocator_arenas() -> bool:
    """Limits the number of arenas of the C library's allocator; call it before threads start.

    By default glibc creates up to eight arenas per core. A relay with hundreds of threads would
    fill all of them with freed memory.

    Returns:
        Whether the C library accepted the setting; a library other than glibc may not.
    """
    try:
        return bool(ctypes.CDLL(None).mallopt(M_ARENA_MAX, MAX_ARENAS))
    except (OSError, AttributeError):
        return False


def freeze_startup_objects() -> None:
    """Excludes the objects that are alive after startup from later garbage collections."""
    gc.collect()
    gc.freeze()
