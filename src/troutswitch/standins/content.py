"""What a model-engine stand-in answers to a request: a function of its id and body alone.

An observer computes the same, so it can tell a whole answer to the right request from any
other bytes.
"""

import hashlib

EVENTS_LEAST = 3
EVENTS_SPREAD = 10
BODY_UNITS_MOST = 400
"""Units of 64 bytes in a plain answer: up to 25 KB, more than one read of a socket."""


def digest(data: bytes) -> str:
    """Returns a short digest of a body."""
    return hashlib.blake2b(data, digest_size=12).hexdigest()


def plain_answer(request_id: str, body: bytes) -> bytes:
    """Returns the whole body of a plain answer."""
    unit = hashlib.sha256(request_id.encode() + b"\n" + body).hexdigest()
    return (unit * (1 + int(unit[:4], 16) % BODY_UNITS_MOST)).encode()


def event_texts(request_id: str) -> list[str]:
    """Returns the data of all events of a stream, in order."""
    drawn = hashlib.sha256(request_id.encode()).digest()
    return [f"{request_id}-{n}" for n in range(1, EVENTS_LEAST + drawn[0] % EVENTS_SPREAD + 1)]


def event_bytes(request_id: str, after: int = 0) -> list[bytes]:
    """Returns the events of a stream after an id, as they go over the wire."""
    return [
        f"id: {number}\ndata: {text}\n\n".encode()
        for number, text in enumerate(event_texts(request_id), 1)
        if number > after
    ]
