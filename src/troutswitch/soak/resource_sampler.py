"""Samples the resource use of the daemons' processes."""

import threading
import time
from pathlib import Path

from troutswitch.soak.fleet import Daemon
from troutswitch.soak.observations import Observations, ResourceSample

SAMPLE_INTERVAL_SECONDS = 1.0
KB_PER_MB = 1024


class ResourceSampler:
    """Samples memory, file descriptors and log volume of each daemon on a thread of its own."""

    def __init__(self, daemons: list[Daemon], observations: Observations) -> None:
        self.daemons = daemons
        self.observations = observations
        self.stop_requested = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        while not self.stop_requested.wait(SAMPLE_INTERVAL_SECONDS):
            for daemon in self.daemons:
                sample = read_sample(daemon)
                if sample is not None:
                    self.observations.samples.append(sample)


def read_sample(daemon: Daemon) -> ResourceSample | None:
    """Returns a sample of a daemon's resource use, or None if the daemon is not running."""
    process = daemon.child.process
    if process is None:
        return None
    folder = Path("/proc") / str(process.pid)
    try:
        status = (folder / "status").read_text()
        descriptors = len(list((folder / "fd").iterdir()))
        log_bytes = daemon.child.log.stat().st_size
    except OSError:
        return None
    memory, peak = (_read_mb(status, field) for field in ("VmRSS:", "VmHWM:"))
    return ResourceSample(daemon.child.name, time.monotonic(), memory, descriptors, log_bytes, peak)


def _read_mb(status: str, field: str) -> float:
    """Returns a field of a process's status in MiB, 0 for a process that has exited."""
    lines = [line for line in status.splitlines() if line.startswith(field)]
    return int(lines[0].split()[1]) / KB_PER_MB if lines else 0.0
