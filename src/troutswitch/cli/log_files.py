"""Reads the log files given to a command."""

from pathlib import Path

import click

from troutswitch.hindsight.log_lines import LogLines, read_lines


def read_files(paths: tuple[str, ...]) -> LogLines:
    """Reads log files and merges their lines in time order.

    Raises:
        click.UsageError: A file cannot be read.
    """
    texts: list[str] = []
    for path in paths:
        try:
            texts += Path(path).read_text(errors="replace").splitlines()
        except OSError as error:
            raise click.UsageError(f"{path}: {error.strerror}") from error
    return read_lines(texts)
