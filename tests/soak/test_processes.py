"""Child processes of the soak: exits, signals and the maximum number."""

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


def wait_until_exited(child: Child) -> None:
    assert child.process is not None
    child.process.wait(TIMEOUT_SECONDS)


def test_a_requested_exit_is_expected_and_returned_once(
    group: ProcessGroup, tmp_path: Path
) -> None:
    child = group.add(Child("a", SLEEPER, tmp_path / "log"))
    wait_until_up(child)
    assert child.poll_exit() is None
    child.signal(signal.SIGTERM)
    wait_until_exited(child)
    process_exit = child.poll_exit()
    assert process_exit is not None and not process_exit.is_unexpected
    assert child.poll_exit() is None
    child.start()
    assert child.incarnation == 2 and child.is_running()


def test_an_exit_that_was_not_requested_is_unexpected(group: ProcessGroup, tmp_path: Path) -> None:
    child = group.add(Child("a", [sys.executable, "-c", "raise SystemExit(3)"], tmp_path / "log"))
    wait_until_exited(child)
    process_exit = child.poll_exit()
    assert process_exit is not None and process_exit.is_unexpected and process_exit.code == 3


def test_handles_is_true_only_for_signals_that_the_program_catches_or_ignores(
    group: ProcessGroup, tmp_path: Path
) -> None:
    code = "import signal, time; signal.signal(signal.SIGHUP, signal.SIG_IGN); "
    code += "print('up', flush=True); time.sleep(600)"
    child = group.add(Child("a", [sys.executable, "-c", code], tmp_path / "log"))
    wait_until_up(child)
    assert child.handles(signal.SIGHUP)
    assert not child.handles(signal.SIGTERM)


def test_kill_all_kills_a_paused_process(group: ProcessGroup, tmp_path: Path) -> None:
    child = group.add(Child("a", SLEEPER, tmp_path / "log"))
    child.signal(signal.SIGSTOP)
    group.kill_all()
    assert not child.is_running()


def test_adding_a_child_above_the_maximum_raises(group: ProcessGroup, tmp_path: Path) -> None:
    group.children = [Child(str(n), SLEEPER, tmp_path / "log") for n in range(MAX_PROCESSES)]
    with pytest.raises(TooManyProcesses):
        group.add(Child("one more", SLEEPER, tmp_path / "log"))
