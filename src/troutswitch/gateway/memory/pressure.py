"""Rule: what is refused, and whose connection is closed, when the account is nearly full?

Inputs: the bytes held, the limit, the size and kind of what is new; for each caller with an unread
answer, how long it has taken nothing, the age of its oldest unread byte, and its unread bytes.

The rule: the more has already been done for a request, the more of the limit it may use. Jobs are
refused first, then large bodies, then all bodies. Answers may use the whole limit; beyond it the
slowest readers are closed, in this order:

1. those that have taken nothing for longest, in steps of `IDLE_STEP_SECONDS`;
2. in the same step, online answers before reads of jobs: an online answer that is not read for a
   second is late anyway, but a job's result is useful until the client's own time limit;
3. then the one whose oldest unread byte is oldest, then the one with most unread bytes.

Why: a refused body has cost nothing, and its caller may try again. An answer has used an engine.

This module is pure: it owns no state, and has no clock, thread or socket.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

JOB_SHARE = 0.5
"""Share of the limit up to which jobs are accepted. Items stay for seconds, up to 18 s until they
are due, and must leave room for the bodies of online requests."""
LARGE_BODY_SHARE = 0.7
"""Share of the limit up to which large bodies are accepted, so that a flood of them leaves room for
the usual requests."""
SMALL_BODY_SHARE = 0.85
"""Share of the limit up to which any body is accepted; the rest is for answers to requests that
already run."""
SMALL_BODY_BYTES = 64 * 1024
"""Largest body that counts as small: 96 requests in progress with such bodies take 6 MB."""
RELIEF_SHARE = 0.8
"""Share of the limit to which closing readers brings the account down. Below `SMALL_BODY_SHARE`, so
that usual requests are accepted again at once."""
MIN_LAG_SECONDS = 0.5
"""Age of its oldest unread byte from which a reader may be closed. Other answers wait for room
meanwhile, and an engine may be left unread for about a second."""
IDLE_STEP_SECONDS = 1.0
"""Readers whose idle times are in the same step are equally slow."""
MIN_BODY_BYTES_PER_SECOND = 256 * 1024
"""Lowest mean rate at which a body may arrive: the largest one, 4 MB, then takes 16 s, and a job is
due in 18 s."""


class Kind(Enum):
    """Kind of an entry of the account; the values are labels of metrics."""

    BODIES = "bodies"
    """Bodies of requests, from their heads on until the request ends."""
    ANSWERS = "answers"
    """Answers to online requests that their callers have not read yet."""
    ITEMS = "items"
    """Items, bodies and results of batch jobs."""
    JOB_READS = "job_reads"
    """Answers to calls about jobs that their callers have not read yet."""


@dataclass(frozen=True, slots=True)
class Reader:
    """A caller with an unread answer. `number` identifies it within the process."""

    number: int
    idle_seconds: float
    """How long the caller has taken no byte."""
    lag_seconds: float
    """Age of the oldest unread byte."""
    unread_bytes: int
    is_job_read: bool
    request_id: str = ""


def fits(kind: Kind, size: int, held: int, limit: int) -> bool:
    """Returns whether `size` more bytes of a kind fit beside the bytes held; always without limit.

    Args:
        held: bytes that the account holds.
        limit: limit of the account; 0 means no limit.
    """
    return limit <= 0 or held + size <= limit * _share(kind, size)


def counted(observed: int, limit: int) -> int:
    """Returns how much of what owners count themselves takes room: at most the share of jobs.

    Stored records of jobs can be neither refused nor closed. If they took more, a daemon that owns
    large jobs would refuse all online requests, and that would free nothing.
    """
    return min(observed, int(limit * JOB_SHARE)) if limit > 0 else observed


def _share(kind: Kind, size: int) -> float:
    if kind is Kind.ITEMS:
        return JOB_SHARE
    if kind is Kind.BODIES:
        return SMALL_BODY_SHARE if size <= SMALL_BODY_BYTES else LARGE_BODY_SHARE
    return 1.0


def excess(held: int, limit: int) -> int:
    """Returns how many bytes closed readers must free."""
    return max(0, held - int(limit * RELIEF_SHARE))


def readers_to_close(readers: Iterable[Reader], bytes_to_free: int) -> list[Reader]:
    """Returns the slowest readers whose unread bytes free enough, or all that may be closed."""
    chosen: list[Reader] = []
    slow = (reader for reader in readers if reader.lag_seconds >= MIN_LAG_SECONDS)
    for reader in sorted(slow, key=_order):
        if bytes_to_free <= 0:
            break
        chosen.append(reader)
        bytes_to_free -= reader.unread_bytes
    return chosen


def _order(reader: Reader) -> tuple[int, bool, float, int]:
    step = int(reader.idle_seconds / IDLE_STEP_SECONDS)
    return (-step, reader.is_job_read, -reader.lag_seconds, -reader.unread_bytes)


def is_body_overdue(age: float, received: int, header_seconds: float) -> bool:
    """Returns whether a body arrives too slowly to keep its reservation.

    Args:
        age: seconds since its head was complete.
        received: bytes of it that have arrived.
        header_seconds: the configuration's time limit for a head, which any body has too.
    """
    return age > header_seconds + received / MIN_BODY_BYTES_PER_SECOND


def is_reader_overdue(idle_seconds: float, time_limit: float) -> bool:
    """Returns whether a caller has taken nothing for as long as its request was to take."""
    return idle_seconds > time_limit
