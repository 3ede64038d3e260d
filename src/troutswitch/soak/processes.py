"""Child processes of the soak. They are signalled only by their process id."""

import os
import signal
import subprocess
import time
from dataclasses import dataclass, field
from pathlib import Path

from troutswitch.standins.model_engine import CRASH_EXIT_CODE

MAX_PROCESSES = 160
"""Maximum number of processes of a soak: at 60 MB a daemon, under half of the memory of a test
machine of the users."""
EXIT_TIMEOUT_SECONDS = 10.0
"""Timeout for a killed process to exit; the kernel needs milliseconds."""

PLANNED_STOP_CODES = (0, -signal.SIGTERM)
"""Exit codes of a planned stop. `-SIGTERM` occurs if the signal arrives before the program has
installed its handlers."""


class TooManyProcesses(RuntimeError):
    """The soak would start more than `MAX_PROCESSES` processes."""


@dataclass(slots=True)
class ProcessExit:
    """The exit of a process; `requested_signal` is 0 if the soak did not request it."""

    name: str
    incarnation: int
    exited_at: float
    code: int
    requested_signal: int

    @property
    def crashed_under_request(self) -> bool:
        """Whether the process is an engine that a request has crashed."""
        return self.code == CRASH_EXIT_CODE

    @property
    def is_unexpected(self) -> bool:
        """Whether the soak did not request the exit, or a planned stop ended with another code."""
        if self.requested_signal == signal.SIGKILL or self.crashed_under_request:
            return False
        return self.requested_signal != signal.SIGTERM or self.code not in PLANNED_STOP_CODES


@dataclass(slots=True)
class Child:
    """A program that runs under one name, with a new process for each restart."""

    name: str
    arguments: list[str]
    log: Path
    environment: dict[str, str] = field(default_factory=dict)
    incarnation: int = 0
    requested_signal: int = 0
    is_paused: bool = False
    process: "subprocess.Popen[bytes] | None" = None

    def start(self) -> None:
        """Starts a process in its own session, so that a terminal's signals don't reach it."""
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
        """Returns whether the process has been started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal to the process, unless it has exited."""
        if self.process is None or self.process.poll() is not None:
            return
        if number == signal.SIGKILL or (number == signal.SIGTERM and not self.requested_signal):
            self.requested_signal = number
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.is_paused = number == signal.SIGSTOP
        self.process.send_signal(number)

    def handles(self, number: int) -> bool:
        """Returns whether the program currently catches or ignores a signal."""
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
        """Returns the exit of the process once, and None before and after that."""
        if self.process is None or self.process.poll() is None:
            return None
        code = self.process.returncode
        self.process = None
        return ProcessExit(
            self.name, self.incarnation, time.monotonic(), code, self.requested_signal
        )


class ProcessGroup:
    """All processes of a soak, so that they can be killed together."""

    def __init__(self) -> None:
        self.children: list[Child] = []

    def add(self, child: Child) -> Child:
        """Adds a child and starts it.

        Raises:
            TooManyProcesses: the group already has `MAX_PROCESSES` children.
        """
        if len(self.children) >= MAX_PROCESSES:
            raise TooManyProcesses(f"more than {MAX_PROCESSES} processes")
        self.children.append(child)
        child.start()
        return child

    def kill_all(self) -> None:
        """Kills all running processes and waits until they have exited."""
        running = [child for child in self.children if child.is_running()]
        for child in running:
            child.signal(signal.SIGKILL)
        for child in running:
            assert child.process is not None
            child.process.wait(EXIT_TIMEOUT_SECONDS)
