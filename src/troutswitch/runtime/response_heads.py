"""Checks the head of an HTTP response, and reads how its body is framed (RFC 9112, section 6).

The parser of `http.client` drops the lines after a malformed one, uses the first of several
lengths, prefers chunks to a length, and reads a body of an unknown length up to the end of the
connection. `runtime/line_reader.py` refuses heads that are cut.
"""

import http.client
import re
from http import HTTPStatus

from troutswitch.wire_values import Framing, is_header_name, is_header_value, parse_number

BODILESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
"""Statuses of responses that never have a body (RFC 9110, section 6.4.1)."""
HTTP_1_1 = 11
"""The version of HTTP from which on bodies are chunked, as `http.client` writes it."""
_STATUS_LINE = re.compile(r"HTTP/[0-9]\.[0-9] [0-9]{3}")
"""A status line, which stands inside another line only if the head before it was cut."""


class MalformedHead(http.client.HTTPException):
    """The head of a response is malformed, or has two heads in one."""


def check_head(response: http.client.HTTPResponse) -> None:
    """Checks that a head is one, and that its headers can be forwarded; folded lines can't.

    Raises:
        MalformedHead: a line is malformed.
    """
    headers = response.getheaders()
    values = [response.reason, *(value for _, value in headers)]
    if any(_STATUS_LINE.search(value) for value in values):
        raise MalformedHead("a line of the head has a status line inside")
    if response.msg.defects:
        raise MalformedHead("a line of the head is no header")
    if not all(is_header_name(name) and is_header_value(value) for name, value in headers):
        raise MalformedHead("a header is malformed")


def read_framing(response: http.client.HTTPResponse, method: str) -> tuple[Framing, int]:
    """Returns how the end of a response to a request of a method is marked, and its length."""
    lengths = response.msg.get_all("Content-Length", [])
    codings = response.msg.get_all("Transfer-Encoding", [])
    if response.status == HTTPStatus.NO_CONTENT and codings:  # allowed with HEAD and 304 alone
        return Framing.MALFORMED, 0
    if response.status in BODILESS_STATUSES or method == "HEAD":
        return Framing.NO_BODY, 0
    if codings:
        codes = [coding.strip().lower() for coding in codings]
        is_chunked = codes == ["chunked"] and response.version >= HTTP_1_1
        return (Framing.CHUNKED if is_chunked and not lengths else Framing.MALFORMED), 0
    if not lengths:
        return Framing.CLOSE, 0
    length = parse_number(lengths[0].strip()) if len(lengths) == 1 else None
    return (Framing.MALFORMED, 0) if length is None else (Framing.LENGTH, length)
