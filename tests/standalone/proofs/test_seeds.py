"""Seeds of long runs for which the observer reported false violations, each with its cause.

Faults of the product have tests in the tests of their modules. These two were faults of the
observer.
"""

import pytest

from tests.standalone.proofs.simulations import run_simulation
from troutswitch.standalone.simulation.faults import FAULTS


@pytest.mark.parametrize(
    "seed",
    [
        4,  # a zone still cut off at the end was expected to agree on the configuration
        24,  # two concurrent reads of one job mixed up their pages
    ],
)
def test_the_observer_reports_no_false_violation(seed: int) -> None:
    assert run_simulation(tuple(FAULTS), seed, 10.0).violations == []
