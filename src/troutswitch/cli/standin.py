"""Command `standin`: runs the platform and engines as processes, for tests and trials."""

import signal
import threading
import time
from pathlib import Path

import click

from troutswitch.common import Address
from troutswitch.platform.store_service import StoreService
from troutswitch.standalone.decisions.events import Machine
from troutswitch.standalone.machine_list.client import MachineListClient
from troutswitch.standalone.standins.engine import EngineStandin
from troutswitch.standalone.standins.engine_model import EngineSpec
from troutswitch.standalone.standins.platform import PlatformStandin
from troutswitch.standins.model_engine import ModelEngine
from troutswitch.standins.pace import Pace

MAX_REGISTER_ATTEMPTS = 50
"""Maximum attempts to register while the platform starts."""
KV_TOKENS_PER_SLOT = 5000
REGISTER_RETRY_SECONDS = 0.1


def parse_address(text: str) -> Address:
    """Parses an address from the command line.

    Raises:
        click.UsageError: The address is malformed.
    """
    try:
        return Address.parse(text)
    except ValueError as error:
        raise click.UsageError(f"address: {error}") from error


def wait_for_signal() -> None:
    """Waits for SIGTERM or SIGINT."""
    stop_requested = threading.Event()
    signal.signal(signal.SIGTERM, lambda number, frame: stop_requested.set())
    signal.signal(signal.SIGINT, lambda number, frame: stop_requested.set())
    stop_requested.wait()


@click.group()
def standin() -> None:
    """Run a stand-in for an external system on loopback."""


@standin.command()
@click.option("--address", default="127.0.0.1:7000", show_default=True)
@click.option("--list-lag", default=1.0, show_default=True, help="Seconds.")
def platform(address: str, list_lag: float) -> None:
    """Run the platform: log service and machine list."""
    server = PlatformStandin(parse_address(address), list_lag)
    server.start()
    click.echo(f"platform on {server.address}", err=True)
    wait_for_signal()
    server.stop()


@standin.command()
@click.option("--address", default="127.0.0.1:7100", show_default=True)
@click.option("--name", required=True)
@click.option("--zone", required=True)
@click.option("--service", required=True)
@click.option("--platform", "platform_address", default="127.0.0.1:7000", show_default=True)
@click.option("--slots", default=EngineSpec.slots, show_default=True)
def engine(
    address: str, name: str, zone: str, service: str, platform_address: str, slots: int
) -> None:
    """Run one engine and register it on the machine list."""
    spec = EngineSpec(slots=slots, kv_tokens=slots * KV_TOKENS_PER_SLOT)
    server = EngineStandin(parse_address(address), name, service, spec)
    server.start()
    machine = Machine(name, "engine", server.address, zone, service, server.incarnation)
    register(parse_address(platform_address), machine)
    click.echo(f"engine {name} on {server.address}", err=True)
    wait_for_signal()
    server.stop()


@standin.command()
@click.option("--address", default="127.0.0.1:7000", show_default=True)
def store(address: str) -> None:
    """Run the store of the users' platform."""
    service = StoreService(parse_address(address))
    click.echo(f"store on {service.address}", err=True)
    wait_for_signal()


@standin.command()
@click.option("--address", default="127.0.0.1:7100", show_default=True)
@click.option("--id", "engine_id", required=True, help="Id of this incarnation of the engine.")
@click.option("--journal", type=click.Path(path_type=Path), required=True)
@click.option(
    "--seed",
    default=0,
    show_default=True,
    help="Seed of the random faults and of the pace.",
)
@click.option("--pace", default=0, help="Own speed in percent of the usual time; 0 reports none.")
@click.option("--slots", default=0, help="Slots that are reported with a pace.")
def server(address: str, engine_id: str, journal: Path, seed: int, pace: int, slots: int) -> None:
    """Run an engine of the users' protocol that records its requests in a journal."""
    own_pace = Pace(pace, seed) if pace > 0 else None
    model_engine = ModelEngine(parse_address(address), engine_id, journal, seed, own_pace, slots)
    click.echo(f"engine {engine_id} on {model_engine.address}", err=True)
    wait_for_signal()


@standin.command()
@click.argument("name")
@click.option("--zone", required=True)
@click.option("--peers-address", required=True)
@click.option("--platform", "platform_address", default="127.0.0.1:7000", show_default=True)
def announce(name: str, zone: str, peers_address: str, platform_address: str) -> None:
    """Register a daemon on the stand-in's machine list, as the platform does in production."""
    machine = Machine(name, "daemon", parse_address(peers_address), zone)
    register(parse_address(platform_address), machine)


def register(platform_address: Address, machine: Machine) -> None:
    """Registers a machine, retrying while the platform starts.

    Raises:
        click.ClickException: The platform does not answer.
    """
    client = MachineListClient(platform_address)
    for _ in range(MAX_REGISTER_ATTEMPTS):
        if client.register(machine):
            return
        time.sleep(REGISTER_RETRY_SECONDS)
    raise click.ClickException(f"the platform at {platform_address} does not answer")
