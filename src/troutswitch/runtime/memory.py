"""Keeps the resident memory of a process with many threads small."""

import ctypes
import gc

M_ARENA_MAX = -8
"""Parameter of `mallopt` (glibc, malloc.h) for the number of arenas."""
MAX_ARENAS = 2


def limit_allocator_arenas() -> bool:
    """Limits the C library's allocator to few arenas; call before threads start.

    By default it keeps an arena for each of up to eight threads a core, which a relay
    with hundreds of threads fills with free memory.

    Returns:
        Whether the C library took the setting; another one than glibc may not.
    """
    try:
        return bool(ctypes.CDLL(None).mallopt(M_ARENA_MAX, MAX_ARENAS))
    except (OSError, AttributeError):
        return False


def freeze_startup_objects() -> None:
    """Takes what the start left alive out of later garbage collections."""
    gc.collect()
    gc.freeze()
