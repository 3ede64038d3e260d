"""Limits of the account, derived from the memory that the settings allow the process.

This module owns no state.
"""

from dataclasses import dataclass

MEBIBYTE = 1024 * 1024
BASELINE_BYTES = 64 * MEBIBYTE
"""Resident memory of a daemon without work: some 60 MB were observed."""
ACCOUNT_SHARE = 0.5
"""Share of the memory beyond the baseline that the account may hold. The rest is for what is not
counted: copies while bytes are joined, decoded or sent, stacks of up to 96 threads, and memory that
the allocator returns late."""
MIN_LIMIT_BYTES = 8 * MEBIBYTE
"""Lowest limit: the largest body of a request (4 MB) still fits, so that a daemon whose memory is
near its baseline refuses floods and not every large body."""
MAX_ANSWER_BYTES = 2 * MEBIBYTE
"""Highest bound on the unread part of one answer: twice the largest answers of the load, 1 MB."""
LARGE_ANSWERS_BYTES = 32 * MEBIBYTE
"""Bound on what all answers that are read from engines have beyond the usual size. Each of up to 96
threads may read one of the usual size, 1 MiB, besides."""
ANSWER_SHARE = 0.25
"""Bound on the unread part of one answer, as a share of the limit, so that no single reader fills a
small account."""


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Bounds in bytes; 0 means no bound.

    `account_bytes` bounds all entries together, `answer_bytes` the unread part of one answer.
    """

    account_bytes: int = 0
    answer_bytes: int = 0


def memory_limits(memory_bytes: int) -> MemoryLimits:
    """Returns the limits of a process that may use `memory_bytes`; 0 means no limit."""
    if memory_bytes <= 0:
        return MemoryLimits()
    share = int((memory_bytes - BASELINE_BYTES) * ACCOUNT_SHARE)
    account_bytes = max(MIN_LIMIT_BYTES, share)
    return MemoryLimits(account_bytes, min(MAX_ANSWER_BYTES, int(account_bytes * ANSWER_SHARE)))
