"""Client of the append-only log service.

Protocol: `POST /streams/NAME` with an entry as the body answers
`{"offset": N}`; `GET /streams/NAME?offset=N&limit=M` answers CBOR
`[first offset, [entries], tail offset]`. Offset -1 requests the last entry.
"""

from typing import Annotated

import msgspec

from troutswitch.cbor_values import MalformedCbor, decode_cbor
from troutswitch.common import Address
from troutswitch.json_values import MalformedJson, decode_json
from troutswitch.standalone.runtime.http_client import HttpError, ThreadLocalConnections
from troutswitch.standalone.runtime.http_requests import CBOR_TYPE

LOG_TIMEOUT_SECONDS = 3.0

_Offset = Annotated[int, msgspec.Meta(ge=-1, le=2**63 - 1)]


class _Appended(msgspec.Struct):
    offset: _Offset


class LogUnavailable(Exception):
    """The log service did not answer; an append may still have taken effect."""


class LogClient:
    """Blocking calls to the log service."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pool = ThreadLocalConnections(LOG_TIMEOUT_SECONDS)

    def append(self, stream: str, payload: bytes) -> int:
        """Appends an entry and returns its offset.

        Raises:
            LogUnavailable: no answer, or a malformed one.
        """
        body = self._call("POST", f"/streams/{stream}", payload)
        try:
            return decode_json(body, _Appended).offset
        except MalformedJson as error:
            raise LogUnavailable(str(error)) from error

    def read(self, stream: str, offset: int, limit: int) -> tuple[int, tuple[bytes, ...], int]:
        """Returns the first offset, the entries starting there, and the tail offset.

        Raises:
            LogUnavailable: no answer, or a malformed one.
        """
        body = self._call("GET", f"/streams/{stream}?offset={offset}&limit={limit}", None)
        try:
            first, entries, tail = decode_cbor(body, tuple[_Offset, tuple[bytes, ...], _Offset])
        except MalformedCbor as error:
            raise LogUnavailable(str(error)) from error
        return first, entries, tail

    def _call(self, method: str, path: str, payload: bytes | None) -> bytes:
        try:
            status, body = self._pool.call(self._address, method, path, payload, CBOR_TYPE)
        except HttpError as error:
            raise LogUnavailable(str(error)) from error
        if status != 200:
            raise LogUnavailable(f"status {status}")
        return body
