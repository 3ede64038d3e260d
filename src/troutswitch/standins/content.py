"""Content of a model-engine stand-in's answers: a function of the request's id and body alone.

A test computes the same content, so it can verify that an answer is complete and belongs to the
request.
"""

import hashlib

MIN_EVENTS = 3
EVENT_COUNT_CHOICES = 10
MAX_BODY_UNITS = 400
"""Maximum units of 64 bytes in a plain answer: up to 25 KB, which takes several socket reads."""


LARGE_ANSWER_PREFIX = b"this request has a large answer "
"""Prefix of the body of a request whose plain answer has `LARGE_ANSWER_UNITS`."""
LARGE_ANSWER_UNITS = 16_384
"""Units of 64 bytes of a large answer: 1 MiB, like the largest answers of the load."""


LONG_ITEM_PREFIX = b"this item has a long output "
"""Prefix of the body of a batch item with a long output, which names the runs that wrote it."""
LONG_ITEM_EVENTS = 24


def digest(data: bytes) -> str:
    """Returns a short digest of a body."""
    return hashlib.blake2b(data, digest_size=12).hexdigest()


def plain_answer(request_id: str, body: bytes) -> bytes:
    """Returns the complete body of a plain answer."""
    unit = hashlib.sha256(request_id.encode() + b"\n" + body).hexdigest()
    if body.startswith(LARGE_ANSWER_PREFIX):
        return unit.encode() * LARGE_ANSWER_UNITS
    return (unit * (1 + int(unit[:4], 16) % MAX_BODY_UNITS)).encode()


def event_texts(request_id: str) -> list[str]:
    """Returns the data fields of all events of a stream, in order."""
    drawn = hashlib.sha256(request_id.encode()).digest()
    return [f"{request_id}-{n}" for n in range(1, MIN_EVENTS + drawn[0] % EVENT_COUNT_CHOICES + 1)]


def event_bytes(request_id: str, after: int = 0) -> list[bytes]:
    """Returns the encoded events of a stream whose ids are above `after`."""
    return [
        f"id: {number}\ndata: {text}\n\n".encode()
        for number, text in enumerate(event_texts(request_id), 1)
        if number > after
    ]


def long_item_events(request_id: str, engine_id: str, run: int, after: int) -> list[bytes]:
    """Returns the encoded events of a long item after `after`, as one run of an engine writes them.

    The data of an event is the item, the event's number, the engine and the run.
    """
    return [
        f"id: {number}\ndata: {request_id} {number} {engine_id} {run}\n\n".encode()
        for number in range(after + 1, LONG_ITEM_EVENTS + 1)
    ]
