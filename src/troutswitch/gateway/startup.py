"""Waits at the start of a daemon for what may be missing for a moment: its settings and its ports.

The settings file may be about to be written, and the previous process may still hold the ports.
Both waits are bounded, and a signal that requests a stop ends them.
"""

import errno
import socket
from collections.abc import Callable, Iterator
from pathlib import Path

from troutswitch.clock import steady_seconds
from troutswitch.gateway.settings import GatewaySettings, GatewaySettingsError
from troutswitch.gateway.signals import Signals

SETTINGS_SECONDS = 2.0
"""Longest wait for usable settings: a file is replaced within moments."""
POLL_SECONDS = 0.05
TRANSIENT_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})
"""Errors of a bind that end by themselves: another process holds the port, or the machine's address
is not up yet."""


class StopRequested(Exception):
    """A signal requested a stop before the daemon was started."""


def load_settings(
    path: Path, load: Callable[[Path], GatewaySettings], signals: Signals
) -> GatewaySettings:
    """Loads the settings, for at most `SETTINGS_SECONDS` until they are usable.

    Raises:
        GatewaySettingsError: they were unusable for that long.
        StopRequested: a stop was requested meanwhile.
    """
    deadline = steady_seconds() + SETTINGS_SECONDS
    while True:
        try:
            return load(path)
        except GatewaySettingsError:
            if steady_seconds() >= deadline:
                raise
        _pause(signals)


def wait_for_ports(settings: GatewaySettings, signals: Signals) -> None:
    """Waits until the daemon's ports are free, for as long as a previous process may take to end.

    Raises:
        OSError: a port can't be bound.
        StopRequested: a stop was requested meanwhile.
    """
    deadline = steady_seconds() + settings.bounds.grace
    while True:
        try:
            _bind_all(settings)
            return
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or steady_seconds() >= deadline:
                raise
        _pause(signals)


def _pause(signals: Signals) -> None:
    signals.wait(POLL_SECONDS)
    if signals.is_stop_requested:
        raise StopRequested


def _bind_all(settings: GatewaySettings) -> None:
    """Binds each of the daemon's ports for a moment."""
    for kind, address in _addresses(settings):
        with socket.socket(socket.AF_INET, kind) as bound:
            if kind is socket.SOCK_STREAM:
                bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound.bind(address)


def _addresses(settings: GatewaySettings) -> Iterator[tuple[socket.SocketKind, tuple[str, int]]]:
    first, last = settings.peer_ports
    yield socket.SOCK_DGRAM, (settings.peer_host, first)
    if last > first:
        yield socket.SOCK_STREAM, (settings.peer_host, last)
    for address in (settings.callers, settings.readiness):
        if address is not None:
            yield socket.SOCK_STREAM, (address.host, address.port)
