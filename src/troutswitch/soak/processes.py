"""Processes that the soak starts, signals and ends, each by its id and no other."""

import os
import signal
import subprocess
import time
from dataclasses import dataclass, field
from pathlib import Path

from troutswitch.standins.model_engine import ENDED_CODE

MAX_PROCESSES = 40
"""Bound on processes of one soak, the users' limit for one machine."""
EXIT_TIMEOUT_SECONDS = 10.0
"""Wait for a killed process to be gone; the kernel needs milliseconds."""

PLANNED_STOP_CODES = (0, -signal.SIGTERM)
"""Codes of a planned stop; the signal's own where it came before the program had begun."""


class TooManyProcesses(RuntimeError):
    """The soak would start more processes than its bound."""


@dataclass(slots=True)
class ProcessExit:
    """A process that ended: whether the soak had asked it to, and by which signal."""

    name: str
    incarnation: int
    exited_at: float
    code: int
    requested_signal: int

    @property
    def crashed_under_request(self) -> bool:
        """Whether it is an engine that ended under a request."""
        return self.code == ENDED_CODE

    @property
    def is_unexpected(self) -> bool:
        """Whether it ended by itself, or not as a planned stop has to end."""
        if self.requested_signal == signal.SIGKILL or self.crashed_under_request:
            return False
        return self.requested_signal != signal.SIGTERM or self.code not in PLANNED_STOP_CODES


@dataclass(slots=True)
class Child:
    """A program that is started again and again under one name."""

    name: str
    arguments: list[str]
    log: Path
    environment: dict[str, str] = field(default_factory=dict)
    incarnation: int = 0
    requested_signal: int = 0
    is_paused: bool = False
    process: "subprocess.Popen[bytes] | None" = None

    def start(self) -> None:
        """Starts it in a session of its own, so that a terminal's signals don't reach it."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.arguments,
                env={**os.environ, **self.environment},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.incarnation += 1
        self.requested_signal = 0
        self.is_paused = False

    def is_running(self) -> bool:
        """Tells whether its process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal to its process, if it has not ended."""
        if self.process is None or self.process.poll() is not None:
            return
        if number == signal.SIGKILL or (number == signal.SIGTERM and not self.requested_signal):
            self.requested_signal = number
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.is_paused = number == signal.SIGSTOP
        self.process.send_signal(number)

    def handles(self, number: int) -> bool:
        """Tells whether its program has begun to catch or ignore a signal."""
        if self.process is None:
            return False
        try:
            status = (Path("/proc") / str(self.process.pid) / "status").read_text()
        except OSError:
            return False
        fields = dict(line.split(":", 1) for line in status.splitlines())
        handled = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
        return bool(handled >> (number - 1) & 1)

    def poll_exit(self) -> ProcessExit | None:
        """Returns its end once, and None while it runs."""
        if self.process is None or self.process.poll() is None:
            return None
        code = self.process.returncode
        self.process = None
        return ProcessExit(
            self.name, self.incarnation, time.monotonic(), code, self.requested_signal
        )


class ProcessGroup:
    """All processes of a soak; ends them, also when the soak fails midway."""

    def __init__(self) -> None:
        self.children: list[Child] = []

    def add(self, child: Child) -> Child:
        """Takes a child in and starts it.

        Raises:
            TooManyProcesses: the bound is reached.
        """
        if len(self.children) >= MAX_PROCESSES:
            raise TooManyProcesses(f"more than {MAX_PROCESSES} processes")
        self.children.append(child)
        child.start()
        return child

    def kill_all(self) -> None:
        """Kills what still runs and waits for it."""
        running = [child for child in self.children if child.is_running()]
        for child in running:
            child.signal(signal.SIGKILL)
        for child in running:
            assert child.process is not None
            child.process.wait(EXIT_TIMEOUT_SECONDS)
