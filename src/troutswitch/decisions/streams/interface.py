"""Interface between the code that forwards requests and the origins of streams.

`origins.OriginSearches` implements it. `now` is by this process's clock, in seconds.
"""

from typing import Protocol

from troutswitch.decisions.streams.origin_records import ONE_VERSION, Located


class Origins(Protocol):
    """Which software version began which stream."""

    def on_begun(
        self,
        now: float,
        request_id: str,
        service: str,
        version: str,
        attempt: int,
        *,
        is_only_service: bool = True,
    ) -> None:
        """Records that an engine of a version began the answer to an attempt of a request."""
        ...

    def locate(
        self,
        now: float,
        token: int,
        resumed_id: str,
        service: str,
        *,
        is_only_service: bool = True,
    ) -> Located | None:
        """Returns where a resumed stream may continue; None if that is decided later.

        Args:
            now: this process's clock, in seconds.
            token: the request that resumes the stream.
            resumed_id: id of the request that brought its first event, or empty if unknown.
            service: the service chosen for the request.
            is_only_service: whether its route has no other one.
        """
        ...

    def withdraw(self, token: int) -> None:
        """Ends the search of a request that has ended."""
        ...


class NoOrigins:
    """Implementation for a daemon whose engines run one version for as long as it serves."""

    def on_begun(
        self,
        now: float,
        request_id: str,
        service: str,
        version: str,
        attempt: int,
        *,
        is_only_service: bool = True,
    ) -> None:
        """Does nothing."""

    def locate(
        self,
        now: float,
        token: int,
        resumed_id: str,
        service: str,
        *,
        is_only_service: bool = True,
    ) -> Located | None:
        """Returns that any engine may continue the stream."""
        return Located(token, ONE_VERSION)

    def withdraw(self, token: int) -> None:
        """Does nothing."""


NO_ORIGINS: Origins = NoOrigins()
"""Implementation without a record."""
