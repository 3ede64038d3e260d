"""Command `ctl`: configuration, jobs and fleet status through a daemon's operator interface."""

import getpass
import json
import time
import uuid
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click
import msgspec

from troutswitch.cli.standin import parse_address
from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.json_values import MalformedJson, decode_json
from troutswitch.standalone.decisions.configuration.declarations import (
    DeclarationError,
    changes_between,
    read_declarations,
)
from troutswitch.standalone.decisions.configuration.tree import ConfigurationTree, scope_of_path
from troutswitch.standalone.log_service.records import ConfigurationChange
from troutswitch.standalone.runtime.http_client import HttpError, ThreadLocalConnections
from troutswitch.toml_values import MalformedToml, decode_toml

CALL_TIMEOUT_SECONDS = 40.0
WAIT_POLL_SECONDS = 0.2


class _Error(msgspec.Struct):
    message: str = ""


class _Refusal(msgspec.Struct):
    error: _Error = msgspec.field(default_factory=_Error)


class OperatorClient:
    """Makes blocking calls to a daemon's operator interface."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pool = ThreadLocalConnections(CALL_TIMEOUT_SECONDS)

    def call(self, method: str, path: str, body: object = None) -> Any:
        """Makes a call and returns the JSON answer.

        Raises:
            click.ClickException: The daemon does not answer or refuses the call.
        """
        data = None if body is None else json.dumps(body).encode()
        try:
            status, answer = self._pool.call(self._address, method, path, data)
        except HttpError as error:
            raise click.ClickException(f"daemon at {self._address}: {error}") from error
        try:
            if status != 200:
                error_text = decode_json(answer, _Refusal).error.message or f"status {status}"
                raise click.ClickException(f"daemon at {self._address}: {error_text}")
            return decode_json(answer, object)
        except MalformedJson as error:
            text = f"daemon at {self._address}: status {status}, {error}"
            raise click.ClickException(text) from error


@click.group()
@click.option("--daemon", "address", default="127.0.0.1:8002", show_default=True)
@click.pass_context
def ctl(context: click.Context, address: str) -> None:
    """Operate the fleet through any of its daemons."""
    context.obj = OperatorClient(parse_address(address))


@ctl.command()
@click.option("--json", "as_json", is_flag=True)
@click.pass_obj
def fleet(client: OperatorClient, as_json: bool) -> None:
    """Show the fleet as this daemon sees it."""
    status = client.call("GET", "/status")
    if as_json:
        click.echo(json.dumps(status))
        return
    click.echo(
        f"daemon {status['daemon']} zone {status['zone']} ready {status['is_ready']} "
        f"configuration {status['configuration_version']}"
    )
    for member in status["members"]:
        click.echo(f"  member {member['name']:<24} {member['state']:<8} {member['zone']}")
    for engine in status["engines"]:
        leaving = " leaving" if engine["is_leaving"] else ""
        click.echo(
            f"  engine {engine['name']:<24} online {engine['online']:>3} batch "
            f"{engine['batch']:>3} of {engine['slots']:>3} steward {engine['steward']}{leaving}"
        )
    for shard in status["shards"]:
        click.echo(
            f"  shard {shard['shard']:>5} owner {shard['owner'] or '-':<36} "
            f"epoch {shard['epoch']} open jobs {shard['open_jobs']}"
        )


@ctl.group()
def jobs() -> None:
    """Show and cancel batch jobs."""


def _show_job(view: dict[str, Any]) -> None:
    done = f"{view['completed']} completed, {view['failed']} failed of {view['total']}"
    click.echo(f"{view['job_id']}  {view['status']}  {view['service']}  {done}")


@jobs.command(name="show")
@click.argument("job_id")
@click.option("--tenant", default="anonymous", show_default=True)
@click.pass_obj
def show_job(client: OperatorClient, job_id: str, tenant: str) -> None:
    """Show a job's state."""
    _show_job(client.call("GET", f"/jobs/{quote(job_id)}?tenant={quote(tenant)}"))


@jobs.command(name="cancel")
@click.argument("job_id")
@click.option("--tenant", default="anonymous", show_default=True)
@click.pass_obj
def cancel_job(client: OperatorClient, job_id: str, tenant: str) -> None:
    """Cancel a job."""
    _show_job(client.call("POST", f"/jobs/{quote(job_id)}/cancel?tenant={quote(tenant)}"))


@ctl.group()
def config() -> None:
    """Plan, apply and read the configuration."""


def _build_tree(answer: Any) -> ConfigurationTree:
    tree = ConfigurationTree()
    for path, key, value in answer["overrides"]:
        tree.apply(ConfigurationChange(path, key, value))
    return tree


def _plan(client: OperatorClient, directory: str) -> tuple[int, list[ConfigurationChange]]:
    try:
        declared = read_declarations(Path(directory))
    except DeclarationError as error:
        raise click.UsageError(str(error)) from error
    answer = client.call("GET", "/configuration")
    return int(answer["version"]), changes_between(_build_tree(answer), declared)


def _show_changes(changes: list[ConfigurationChange]) -> None:
    if not changes:
        click.echo("no changes")
    for change in changes:
        value = "(unset: inherited)" if change.value is None else json.dumps(change.value)
        click.echo(f"  {change.path}: {change.key} = {value}")


def _show_effect(client: OperatorClient, changes: list[ConfigurationChange]) -> None:
    """Shows the effective value of each changed key before and after the change."""
    before = _build_tree(client.call("GET", "/configuration"))
    after = before.copy()
    for change in changes:
        after.apply(change)
    for change in changes:
        place = scope_of_path(change.path)
        old = before.effective(*place)[change.key]
        new = after.effective(*place)[change.key]
        click.echo(
            f"  in force at {change.path}: {change.key} {json.dumps(old.value)} "
            f"({old.source}) -> {json.dumps(new.value)} ({new.source})"
        )


@config.command()
@click.argument("directory")
@click.pass_obj
def plan(client: OperatorClient, directory: str) -> None:
    """Show what applying DIRECTORY would change."""
    version, changes = _plan(client, directory)
    click.echo(f"against version {version}:")
    _show_changes(changes)
    _show_effect(client, changes)


@config.command()
@click.argument("directory")
@click.option("--message", default="", help="Reason for the change.")
@click.option("--author", default=None, help="Author; the login name by default.")
@click.option("--wait/--no-wait", default=True, help="Wait until it is in force on all daemons.")
@click.pass_obj
def apply(
    client: OperatorClient, directory: str, message: str, author: str | None, wait: bool
) -> None:
    """Publish DIRECTORY's declarations and print whether they were accepted."""
    version, changes = _plan(client, directory)
    _show_changes(changes)
    if changes:
        publish(client, version, changes, author or getpass.getuser(), message, wait)


@config.command(name="set")
@click.argument("path")
@click.argument("key")
@click.argument("value")
@click.option("--message", default="")
@click.option("--author", default=None)
@click.option("--wait/--no-wait", default=True)
@click.pass_obj
def set_value(
    client: OperatorClient,
    path: str,
    key: str,
    value: str,
    message: str,
    author: str | None,
    wait: bool,
) -> None:
    """Set one KEY at PATH to VALUE (TOML); "unset" removes the override."""
    version = int(client.call("GET", "/configuration")["version"])
    change = ConfigurationChange(path, key, _parse_value(value))
    publish(client, version, [change], author or getpass.getuser(), message, wait)


def _parse_value(text: str) -> bool | int | float | str | None:
    if text == "unset":
        return None
    try:
        value = decode_toml(f"value = {text}".encode(), dict[str, Any])["value"]
    except MalformedToml:
        return text
    return value if isinstance(value, bool | int | float | str) else text


def publish(
    client: OperatorClient,
    version: int,
    changes: list[ConfigurationChange],
    author: str,
    message: str,
    wait: bool,
) -> None:
    """Publishes changes and prints the version that they were accepted as.

    Raises:
        click.ClickException: The changes were rejected, or are not in force in time.
    """
    body = {
        "publication_id": uuid.uuid4().hex,
        "author": author,
        "message": message,
        "base_version": version,
        "changes": [msgspec.structs.asdict(change) for change in changes],
    }
    result = client.call("POST", "/configuration", body)
    if not result["accepted"]:
        raise click.ClickException(f"rejected: {result['reason']}")
    click.echo(f"accepted as version {result['version']}")
    if wait:
        _wait_in_force(client)


def _wait_in_force(client: OperatorClient) -> None:
    """Waits until every live member has reached the configuration offset of this daemon."""
    target = int(client.call("GET", "/status")["configuration_offset"])
    deadline = steady_seconds() + 30.0
    while steady_seconds() < deadline:
        members = client.call("GET", "/status")["members"]
        behind = [
            m["name"]
            for m in members
            if m["state"] in ("alive", "suspect") and m["configuration_offset"] < target
        ]
        if not behind:
            click.echo("in force on every live daemon")
            return
        time.sleep(WAIT_POLL_SECONDS)
    raise click.ClickException(f"not yet in force on: {', '.join(behind)}")


@config.command()
@click.option("--zone", default="")
@click.option("--service", default="")
@click.option("--tenant", default="")
@click.option("--effective", is_flag=True, help="Show inherited values with their source.")
@click.pass_obj
def get(client: OperatorClient, zone: str, service: str, tenant: str, effective: bool) -> None:
    """Show the overrides, or the effective values of a zone, service and tenant."""
    if not effective:
        for path, key, value in client.call("GET", "/configuration")["overrides"]:
            click.echo(f"{path}: {key} = {json.dumps(value)}")
        return
    query = f"zone={zone}&service={service}&tenant={tenant}"
    answer = client.call("GET", f"/configuration/effective?{query}")
    for key, value, source in answer["values"]:
        click.echo(f"{key} = {json.dumps(value)}  ({source})")


@config.command()
@click.pass_obj
def history(client: OperatorClient) -> None:
    """Show all publications with their author, message and changes."""
    for line in client.call("GET", "/configuration/history")["publications"]:
        published = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(line["published_at"]))
        click.echo(f"version {line['version']}  {published}  {line['author']}  {line['message']}")
        for path, key, value in line["changes"]:
            click.echo(f"    {path}: {key} = {json.dumps(value)}")


@config.command()
@click.pass_obj
def status(client: OperatorClient) -> None:
    """Show the configuration offset of each daemon."""
    answer = client.call("GET", "/status")
    click.echo(f"version {answer['configuration_version']} digest {answer['configuration_digest']}")
    for member in answer["members"]:
        click.echo(f"  {member['name']:<24} {member['state']:<8} {member['configuration_offset']}")
