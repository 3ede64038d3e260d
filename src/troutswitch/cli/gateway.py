"""Command `gateway`: runs one daemon on the users' platform.

The slow imports are inside the command. `python -m troutswitch.gateway` blocks signals before them,
so that none ends the process at startup.
"""

import os

import click

from troutswitch.gateway.settings import GatewaySettingsError

SETTINGS_POLL_SECONDS = 1.0
"""Interval at which the settings file is checked for changes, besides reload signals."""
LOG_DRAIN_SECONDS = 0.3
"""Longest wait for the last log lines to be written."""


@click.command()
def gateway() -> None:
    """Run one daemon on the platform until SIGTERM, which drains and stops it."""
    from troutswitch.gateway.logging import configure_line_logging
    from troutswitch.gateway.policies import POLICIES_VARIABLE, read_policies
    from troutswitch.gateway.process import GatewayProcess
    from troutswitch.gateway.settings_file import SettingsFile
    from troutswitch.gateway.signals import Signals
    from troutswitch.gateway.startup import StopRequested, load_settings, wait_for_ports
    from troutswitch.platform.settings import load_gateway_settings, settings_path
    from troutswitch.runtime.memory import freeze_startup_objects, limit_allocator_arenas

    signals = Signals()
    try:
        path = settings_path()
        settings = load_settings(path, load_gateway_settings, signals)
        policies = read_policies(os.environ.get(POLICIES_VARIABLE, ""))
        wait_for_ports(settings, signals)
    except GatewaySettingsError as error:
        raise click.UsageError(str(error)) from error
    except OSError as error:
        raise click.UsageError(f"listeners: {error}") from error
    except StopRequested:
        os._exit(0)
    limit_allocator_arenas()
    logger, writer = configure_line_logging(settings.name)
    try:
        process = GatewayProcess(settings, logger, policies)
    except OSError as error:
        raise click.UsageError(f"listeners: {error}") from error
    settings_file = SettingsFile(path, load_gateway_settings, logger)
    process.start()
    freeze_startup_objects()
    while not (signals.is_stop_requested or process.is_broken):
        signals.wait(SETTINGS_POLL_SECONDS)
        if signals.take_reload():
            logger.info("settings reload requested")
        changed = settings_file.reload_if_changed()
        if changed is not None:
            process.reload(changed)
    if process.failure is None:
        process.drain()
    if process.failure is not None:
        process.finish_without_loop()
    process.stop()
    writer.drain(LOG_DRAIN_SECONDS)
    os._exit(1 if process.is_broken else 0)
