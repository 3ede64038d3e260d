"""Computes a key from a request's content, so that its attempts at all daemons share one key.

The id of an attempt and the caller's address are not part of the key: whether a request crashes an
engine depends only on what the engine reads.
"""

import hashlib

KEY_BYTES = 8
"""Length of a key: two requests of one day hardly ever share a key of 8 bytes."""


def content_key(host: str, method: str, url: str, body: bytes) -> str:
    """Returns a request's key, 16 hexadecimal digits; `url` is the path with its query."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (host.encode(), method.encode(), url.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
