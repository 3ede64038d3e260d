"""Expectations of the recovery phase."""

from types import SimpleNamespace
from typing import Any

from troutswitch.common import Address
from troutswitch.soak import recovery_phase
from troutswitch.soak.callers import DaemonEndpoint
from troutswitch.soak.observations import Observations, ObservedJob
from troutswitch.soak.recovery_phase import RecoveryPhase


def test_a_job_that_its_client_ends_meanwhile_need_not_be_listed(monkeypatch: Any) -> None:
    """Guards against a violation that the soak's own client causes."""
    job = ObservedJob("job", {"item": b""}, 0.0, accepted_at=1.0)

    def end_job(*arguments: object) -> int:
        job.end_requested_at = 2.0
        return 200

    monkeypatch.setattr(recovery_phase, "read_results", end_job)
    monkeypatch.setattr(recovery_phase, "RECOVERY_TIMEOUT_SECONDS", 1.0)
    endpoints = [DaemonEndpoint("daemon-0", Address("127.0.0.1", 1))]
    observations = Observations(0.0)
    fleet: Any = SimpleNamespace(
        direct_endpoints=lambda: endpoints, observations=observations, operator=None
    )
    injector: Any = SimpleNamespace(tick=lambda: None)
    RecoveryPhase(fleet, injector, lambda: False)._expect_listed(job)
    assert observations.unmet_expectations == []
