"""The callback of each command accepts the options and arguments that the command declares.

Guards against renaming a callback's parameter but not its option, which made three commands fail on
every call.
"""

import inspect
from collections.abc import Iterator

import click
import pytest

from troutswitch.cli.main import cli


def commands_of(group: click.Group, prefix: str = "") -> Iterator[tuple[str, click.Command]]:
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from commands_of(command, f"{prefix}{name} ")
        yield f"{prefix}{name}", command


COMMANDS = dict(commands_of(cli))


@pytest.mark.parametrize("name", sorted(COMMANDS))
def test_callback_accepts_declared_parameters(name: str) -> None:
    command = COMMANDS[name]
    assert command.callback is not None
    declared = {str(parameter.name): None for parameter in command.params}
    inspect.signature(command.callback).bind_partial(**declared)
