"""Client of the store of model weights.

Protocol: `GET /weights/NAME` answers the weights, or 429 with `Retry-After`
(seconds) while the store's rate is used up.
"""

import json

from troutswitch.common import Address
from troutswitch.runtime.http import ConnectionPool, HttpError

WEIGHTS_TIMEOUT_SECONDS = 30.0
DEFAULT_RETRY_SECONDS = 1.0


class WeightStoreClient:
    """Blocking reads of model weights, as engines make them."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pool = ConnectionPool(WEIGHTS_TIMEOUT_SECONDS)

    def fetch(self, name: str) -> bytes | float:
        """Returns the weights, or the seconds to wait before asking again."""
        try:
            status, body = self._pool.call(self._address, "GET", f"/weights/{name}")
        except HttpError:
            return DEFAULT_RETRY_SECONDS
        if status == 200:
            return body
        try:
            return float(json.loads(body).get("retry_after", DEFAULT_RETRY_SECONDS))
        except (ValueError, AttributeError):
            return DEFAULT_RETRY_SECONDS
