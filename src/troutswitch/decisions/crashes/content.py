"""Names a request by its content, so that its tries at any daemon have one name.

Each try has an id of its own, which is no part of the name, nor is the caller's address: what an
engine makes of a request depends on what it reads.
"""

import hashlib

KEY_BYTES = 8
"""Bytes of a key: enough that two requests of one day hardly ever share one."""


def content_key(host: str, method: str, url: str, body: bytes) -> str:
    """Returns a request's key, 16 hexadecimal digits; `url` is the path with its query."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (host.encode(), method.encode(), url.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
