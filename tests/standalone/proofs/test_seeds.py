"""Seeds of long runs that reported a violation; each with its cause.

Causes in the product have tests of their own beside the module; these two lay in the
observer, which must not cry wolf.
"""

import pytest

from tests.standalone.proofs.simulations import run_simulation
from troutswitch.standalone.simulation.faults import FAULTS


@pytest.mark.parametrize(
    "seed",
    [
        4,  # a zone still cut at the end was asked to agree on the configuration
        24,  # two reads of one job's pages ran into each other
    ],
)
def test_the_observer_reports_nothing_that_is_not_so(seed: int) -> None:
    assert run_simulation(tuple(FAULTS), seed, 10.0).violations == []
