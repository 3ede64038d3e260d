"""Signals in series: none is lost, and none keeps the process from noticing another."""

import signal
import subprocess
import sys

import pytest

TIMEOUT_SECONDS = 60.0
DEADLOCK_SECONDS = 10
PREAMBLE = f"""
import faulthandler, os, signal, threading
faulthandler.dump_traceback_later({DEADLOCK_SECONDS}, exit=True)
from troutswitch.gateway.signals import Signals
signals = Signals()
"""


def output_of(script: str) -> str:
    """Runs a script in a process of its own and returns its output; a deadlock ends it."""
    ended = subprocess.run(
        [sys.executable, "-c", PREAMBLE + script],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    )
    assert ended.returncode == 0, ended.stderr
    return ended.stdout


def test_stop_that_arrives_while_a_reload_is_noted_does_not_block_the_process() -> None:
    """Guards against a daemon that neither drains nor ends: a lock was held in the handler."""
    script = """
notify_all = threading.Condition.notify_all
def notify_and_be_signalled(condition):
    threading.Condition.notify_all = notify_all
    os.kill(os.getpid(), signal.SIGTERM)
    notify_all(condition)
threading.Condition.notify_all = notify_and_be_signalled
os.kill(os.getpid(), signal.SIGHUP)
os.kill(os.getpid(), signal.SIGTERM)
while not (signals.is_stop_requested and signals.take_reload()):
    signals.wait(0.01)
print("stopped")
"""
    assert output_of(script) == "stopped\n"


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_signals_of_a_storm_are_noted(number: signal.Signals) -> None:
    script = f"""
for _ in range(1000):
    os.kill(os.getpid(), signal.SIGHUP)
for _ in range(3):
    os.kill(os.getpid(), {int(number)})
signals.wait(1.0)
print(signals.is_stop_requested, signals.take_reload(), signals.take_reload())
"""
    assert output_of(script) == "True True False\n"


def test_threads_that_run_before_a_wait_leave_signals_to_it() -> None:
    script = """
ended = threading.Event()
threading.Thread(target=ended.wait, daemon=True).start()
os.kill(os.getpid(), signal.SIGTERM)
signals.wait(1.0)
print(signals.is_stop_requested)
"""
    assert output_of(script) == "True\n"
