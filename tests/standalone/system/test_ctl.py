"""The operators' command line with a fleet of separate processes."""

import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.standalone.system.fleet import SERVICE, Fleet


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    new_fleet = Fleet()
    try:
        yield new_fleet.start()
    finally:
        new_fleet.stop()


def ctl(fleet: Fleet, daemon: str, *arguments: str) -> tuple[int, str]:
    address = str(fleet.daemons[daemon].operators)
    command = [sys.executable, "-m", "troutswitch.cli", "ctl", "--daemon", address, *arguments]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=120)
    return completed.returncode, completed.stdout + completed.stderr


def test_publish_from_a_directory_and_read_it_everywhere(fleet: Fleet, tmp_path: Path) -> None:
    file = tmp_path / "services.toml"
    file.write_text(f'["service/{SERVICE}"]\nbatch_policy = "fixed_share"\n')
    code, plan = ctl(fleet, "daemon-0", "config", "plan", str(tmp_path))
    assert code == 0
    assert f'service/{SERVICE}: batch_policy = "fixed_share"' in plan
    assert '"stewarded" (default) -> "fixed_share"' in plan
    code, applied = ctl(fleet, "daemon-0", "config", "apply", str(tmp_path), "--author", "ana")
    assert code == 0 and "in force on every live daemon" in applied
    code, value = ctl(fleet, "daemon-1", "config", "get", "--effective", "--service", SERVICE)
    assert f'batch_policy = "fixed_share"  (service/{SERVICE})' in value
    assert "ana" in ctl(fleet, "daemon-1", "config", "history")[1]

    file.write_text('["service/x"]\nbatch_policy = "magic"\n')
    code, refused = ctl(fleet, "daemon-0", "config", "apply", str(tmp_path))
    assert code == 2 and str(file) in refused and "batch_policy" in refused
    assert "version 1 " in ctl(fleet, "daemon-1", "config", "status")[1]


def test_jobs_and_fleet(fleet: Fleet) -> None:
    _, job = fleet.submit(fleet.daemons["daemon-0"], 3)
    fleet.wait_completed(fleet.daemons["daemon-0"], job["id"])
    code, shown = ctl(fleet, "daemon-1", "jobs", "show", job["id"])
    assert code == 0 and "3 completed, 0 failed of 3" in shown
    code, cancelled = ctl(fleet, "daemon-1", "jobs", "cancel", job["id"])
    assert code == 0 and "completed" in cancelled
    assert ctl(fleet, "daemon-1", "jobs", "show", "batch_nonsense")[0] == 2
    code, members = ctl(fleet, "daemon-0", "fleet")
    assert code == 0 and "member daemon-1" in members and "engine engine-0" in members
