"""Checks of texts and numbers that other processes send over HTTP.

Callers, engines and the store choose these values. A check here is stricter than Python's own
conversions, which accept digits of any script and any number of them.
"""

import math
import re
from enum import StrEnum

MAX_DIGITS = 18
"""Longest number that is read; it fits 64 bits."""
MAX_SECONDS = 86_400.0
"""Upper bound of a time that a caller or an engine states."""
MAX_EVENT_ID_CHARACTERS = 128
"""Longest id of an event. It is kept with each part of an item's output, and sent in a header."""

_DIGITS = re.compile(rf"[0-9]{{1,{MAX_DIGITS}}}")
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_VISIBLE = re.compile(r"[\x21-\x7e]+")


class Framing(StrEnum):
    """How the end of an answer is marked (RFC 9112, section 6)."""

    LENGTH = "length"
    CHUNKED = "chunked"
    NO_BODY = "no body"
    CLOSE = "close"
    """Neither a length nor chunks: the body ends with the connection."""
    MALFORMED = "malformed"
    """Lengths or codings that are invalid, unknown or contradict each other."""


def parse_number(text: str, maximum: int = 10**MAX_DIGITS - 1) -> int | None:
    """Returns a number written in ASCII digits; None if it is none or exceeds `maximum`."""
    if not _DIGITS.fullmatch(text):
        return None
    number = int(text)
    return number if number <= maximum else None


def parse_decimal(text: str, maximum: float) -> float | None:
    """Returns a number, bounded by 0 and `maximum`; None if the text is no number."""
    try:
        number = float(text)
    except ValueError:
        return None
    return None if math.isnan(number) else min(max(0.0, number), maximum)


def is_event_id(text: str) -> bool:
    """Returns whether a text may be an event's id: visible ASCII, a number of bounded length."""
    if len(text) > MAX_EVENT_ID_CHARACTERS or not _VISIBLE.fullmatch(text):
        return False
    return not text.isdigit() or parse_number(text) is not None


def is_header_name(text: str) -> bool:
    """Returns whether a text may be a header's name (RFC 9110, section 5.1)."""
    return _TOKEN.fullmatch(text) is not None


def is_header_value(text: str) -> bool:
    """Returns whether a text may be a header's value (RFC 9110, section 5.5)."""
    return _HEADER_VALUE.fullmatch(text) is not None


def is_request_id(text: str) -> bool:
    """Returns whether a text may be a request's id: a header's value without outer white space."""
    return bool(text) and is_header_value(text) and text == text.strip()


def is_request_target(text: str) -> bool:
    """Returns whether a text may be the target of a request: visible ASCII from a slash on."""
    return text.startswith("/") and _VISIBLE.fullmatch(text) is not None
