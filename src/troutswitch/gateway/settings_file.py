"""Detects changes of the settings file by its content, whether or not a signal announces them."""

from collections.abc import Callable
from pathlib import Path

import structlog

from troutswitch.gateway.settings import GatewaySettings, GatewaySettingsError


class SettingsFile:
    """A settings file and the content that was last read from it.

    Args:
        path: path of the file.
        load: reads and validates the file; raises `GatewaySettingsError`.
        logger: logs an unusable file.
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
        """Returns the new settings if the file has changed and is valid, and None otherwise.

        A missing or invalid file is logged once; the caller keeps its current settings.
        """
        content = self._content()
        if content == self._last_content:
            return None
        self._last_content = content
        try:
            return self._load(self._path)
        except GatewaySettingsError as error:
            self._logger.error("settings unusable", reason=str(error))
        except Exception as error:  # the running daemon needs no file
            self._logger.error("settings unusable", reason=f"{type(error).__name__}: {error}")
        return None
