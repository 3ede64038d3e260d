"""The same seed gives the same simulation, whatever the interpreter's hash seed."""

import json
import os
import subprocess
import sys

import pytest

from tests.standalone.proofs.simulations import run_simulation
from troutswitch.standalone.simulation.faults import FAULTS
from troutswitch.standalone.simulation.fleet_simulation import parse_faults


def digest_in_process(hash_seed: str) -> dict[str, object]:
    command = [sys.executable, "-m", "troutswitch.cli", "simulate", "--minutes", "0.5"]
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    completed = subprocess.run(
        [*command, "--seed", "4", "--json"], capture_output=True, text=True, env=environment
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    return dict(json.loads(completed.stdout.strip().splitlines()[-1]))


def test_the_command_reports_the_same_digest_and_all_documented_keys() -> None:
    first, second = digest_in_process("1"), digest_in_process("2")
    assert first["digest"] == second["digest"]
    expected = {"violations", "batch_accepted", "batch_completed", "batch_refused", "faults"}
    expected |= {"online_accepted", "online_completed", "online_refused", "digest"}
    assert expected <= set(first)


def test_another_seed_gives_another_simulation() -> None:
    assert run_simulation((), 1, 0.3).digest != run_simulation((), 2, 0.3).digest


def test_fault_names_are_parsed_and_unknown_ones_refused() -> None:
    assert parse_faults("none") == ()
    assert parse_faults("all") == tuple(FAULTS)
    with pytest.raises(ValueError, match="gremlins"):
        parse_faults("pause,gremlins")


@pytest.mark.parametrize("fault", sorted(set(FAULTS) - {"client_resend"}))
def test_no_single_fault_violates_a_guarantee(fault: str) -> None:
    report = run_simulation((fault,), 2, 2.0)
    assert report.violations == []


@pytest.mark.parametrize(
    "pair",
    [
        ("machine_loss", "log_down"),
        ("pause", "zone_cut"),
        ("answer_lost", "client_resend"),
        ("planned_stop", "engine_leaving"),
        ("datagrams", "all_replaced"),
    ],
)
def test_no_pair_of_faults_violates_a_guarantee(pair: tuple[str, str]) -> None:
    assert run_simulation(pair, 3, 3.0).violations == []
