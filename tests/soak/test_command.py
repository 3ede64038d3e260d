"""The `soak` command as a process: no child process is left when it is interrupted."""

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

TIMEOUT_SECONDS = 120.0
COMMAND = [sys.executable, "-m", "troutswitch.cli", "soak", "--daemons", "1", "--servers", "1"]


def process_ids_of(folder: str) -> list[str]:
    """Returns the ids of processes whose command line or environment names a folder."""
    found: list[str] = []
    for process in Path("/proc").glob("[0-9]*"):
        try:
            words = (process / "cmdline").read_bytes() + (process / "environ").read_bytes()
        except OSError:
            continue
        if folder.encode() in words:
            found.append(process.name)
    return found


def wait_for_processes(folder: str, count: int) -> None:
    """Waits until processes of a folder run: the schedule replaces the engine meanwhile."""
    until = time.monotonic() + TIMEOUT_SECONDS
    found = process_ids_of(folder)
    while len(found) < count and time.monotonic() < until:
        time.sleep(0.05)
        found = process_ids_of(folder)
    assert len(found) >= count


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_an_interrupted_soak_leaves_no_process_running(number: int, tmp_path: Path) -> None:
    soak = subprocess.Popen(
        [*COMMAND, "--seconds", "600", "--seed", "3", "--report", str(tmp_path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert soak.stderr is not None
        folder = soak.stderr.readline().split("logs in ")[1].strip()
        assert "violations" in soak.stderr.readline()  # the schedule has started
        wait_for_processes(folder, 2)
        soak.send_signal(number)
        output, _ = soak.communicate(timeout=TIMEOUT_SECONDS)
    finally:
        if soak.poll() is None:
            soak.kill()
    assert soak.returncode == 1
    assert json.loads(output)["interrupted"] is True
    assert json.loads((tmp_path / "summary.json").read_text())["seed"] == 3
    until = time.monotonic() + TIMEOUT_SECONDS
    while process_ids_of(folder) and time.monotonic() < until:
        time.sleep(0.1)
    assert process_ids_of(folder) == []
