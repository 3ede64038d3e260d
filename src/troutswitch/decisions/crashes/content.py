"""Keys under which crashes count: of contents, of paths of items, and of shared parts of prompts.

All daemons compute the same keys, so that a request's attempts at all of them share one. The key of
an item begins with that of its path, so that daemons without the item can relate the two.

The id of an attempt and the caller's address are not part of the key: whether a request crashes an
engine depends only on what the engine reads.
"""

import hashlib
from functools import lru_cache

from troutswitch.decisions.forwarding.types import PromptShape

KEY_BYTES = 8
"""Length of a key: two requests of one day hardly ever share a key of 8 bytes."""


def _digest(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def content_key(host: str, method: str, url: str, body: bytes) -> str:
    """Returns a request's key, 16 hexadecimal digits; `url` is the path with its query."""
    return _digest(host.encode(), method.encode(), url.encode(), body)


PATH_PREFIX = "path:"
"""Begins the keys of paths and of items, which therefore differ from those of requests."""
ITEM_SEPARATOR = ":"
"""Between the key of a path and the digest of an item's body, in the key of the item."""


def path_key(host: str, tenant: str, path: str) -> str:
    """Returns the common key of the items with a path that a tenant submits, in any job."""
    return PATH_PREFIX + _digest(host.encode(), tenant.encode(), path.encode())


def item_key(path: str, body: bytes) -> str:
    """Returns the key of an item; `path` is the key of its path."""
    return f"{path}{ITEM_SEPARATOR}{_digest(body)}"


def path_of_item(key: str) -> str:
    """Returns the key of an item's path; empty if the key is not that of an item."""
    if not key.startswith(PATH_PREFIX):
        return ""
    path, separator, _ = key.removeprefix(PATH_PREFIX).partition(ITEM_SEPARATOR)
    return PATH_PREFIX + path if separator else ""


PART_PREFIX = "part:"
"""Begins the keys of parts, which therefore differ from those of contents."""
PART_KEYS_REMEMBERED = 8192


@lru_cache(maxsize=PART_KEYS_REMEMBERED)
def part_key(part_id: str) -> str:
    """Returns the key of a part of prompts."""
    digest = hashlib.blake2b(part_id.encode("utf-8", "surrogateescape"), digest_size=KEY_BYTES)
    return PART_PREFIX + digest.hexdigest()


def part_keys(prompt: PromptShape) -> tuple[str, ...]:
    """Returns the keys of a prompt's shared parts; the last part belongs to one request alone."""
    return tuple(part_key(part.part_id) for part in prompt.parts[:-1])


def is_part_key(key: str) -> bool:
    """Returns whether a key is that of a part."""
    return key.startswith(PART_PREFIX)
