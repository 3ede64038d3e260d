"""Detects that the settings file changed, with a signal or without one.

It owns the content last read; it relies on the given function to decode and check it.
"""

from collections.abc import Callable
from pathlib import Path

import structlog

from troutswitch.gateway.settings import GatewaySettings, GatewaySettingsError


class SettingsFile:
    """The settings file as it was last read.

    Args:
        path: the file.
        load: reads and checks it; raises `GatewaySettingsError`.
        logger: logs a file that cannot be used.
    """

    def __init__(
        self,
        path: Path,
        load: Callable[[Path], GatewaySettings],
        logger: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self._path = path
        self._load = load
        self._logger = logger
        self._last_content = self._content()

    def _content(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError:
            return None

    def reload_if_changed(self) -> GatewaySettings | None:
        """Returns the settings if the file changed and is valid, else None.

        A file that is missing or wrong is logged once, and leaves the settings as they are.
        """
        content = self._content()
        if content == self._last_content:
            return None
        self._last_content = content
        try:
            return self._load(self._path)
        except GatewaySettingsError as error:
            self._logger.error("settings unusable", reason=str(error))
            return None
