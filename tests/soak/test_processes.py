"""Processes that the soak starts and ends."""

import signal
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from troutswitch.soak.processes import MAX_PROCESSES, Child, ProcessGroup, TooManyProcesses

TIMEOUT_SECONDS = 30.0
SLEEPER = [sys.executable, "-c", "import time; print('up', flush=True); time.sleep(600)"]


@pytest.fixture
def group() -> Iterator[ProcessGroup]:
    started = ProcessGroup()
    yield started
    started.kill_all()


def wait_until_up(child: Child) -> None:
    until = time.monotonic() + TIMEOUT_SECONDS
    while b"up" not in child.log.read_bytes():
        assert time.monotonic() < until
        time.sleep(0.01)


def wait_until_ended(child: Child) -> None:
    assert child.process is not None
    child.process.wait(TIMEOUT_SECONDS)


def test_an_asked_end_is_no_own_end(group: ProcessGroup, tmp_path: Path) -> None:
    child = group.add(Child("a", SLEEPER, tmp_path / "log"))
    wait_until_up(child)
    assert child.poll_exit() is None
    child.signal(signal.SIGTERM)
    wait_until_ended(child)
    process_exit = child.poll_exit()
    assert process_exit is not None and not process_exit.is_unexpected
    assert child.poll_exit() is None
    child.start()
    assert child.incarnation == 2 and child.is_running()


def test_an_own_end_is_told(group: ProcessGroup, tmp_path: Path) -> None:
    child = group.add(Child("a", [sys.executable, "-c", "raise SystemExit(3)"], tmp_path / "log"))
    wait_until_ended(child)
    process_exit = child.poll_exit()
    assert process_exit is not None and process_exit.is_unexpected and process_exit.code == 3


def test_a_signal_that_a_program_handles_is_told(group: ProcessGroup, tmp_path: Path) -> None:
    code = "import signal, time; signal.signal(signal.SIGHUP, signal.SIG_IGN); "
    code += "print('up', flush=True); time.sleep(600)"
    child = group.add(Child("a", [sys.executable, "-c", code], tmp_path / "log"))
    wait_until_up(child)
    assert child.handles(signal.SIGHUP)
    assert not child.handles(signal.SIGTERM)


def test_a_paused_process_is_ended_too(group: ProcessGroup, tmp_path: Path) -> None:
    child = group.add(Child("a", SLEEPER, tmp_path / "log"))
    child.signal(signal.SIGSTOP)
    group.kill_all()
    assert not child.is_running()


def test_the_bound_on_processes_holds(group: ProcessGroup, tmp_path: Path) -> None:
    group.children = [Child(str(n), SLEEPER, tmp_path / "log") for n in range(MAX_PROCESSES)]
    with pytest.raises(TooManyProcesses):
        group.add(Child("one more", SLEEPER, tmp_path / "log"))
