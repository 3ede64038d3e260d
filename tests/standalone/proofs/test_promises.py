"""Each guarantee holds under its faults, and is violated if its mechanism is removed.

The tests remove the mechanism by replacing a method; the product has no switch for it.
docs/PROOFS.md has a row for each test.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from tests.standalone.proofs.simulations import run_simulation
from troutswitch.outcomes import AttemptOutcome, NotRun
from troutswitch.standalone.decisions import online
from troutswitch.standalone.decisions import online_request as onlinerequest
from troutswitch.standalone.decisions.batch import claims, owner, ownership, submission
from troutswitch.standalone.decisions.batch.calls import Progress
from troutswitch.standalone.decisions.batch.fold import Accepted, ShardFold
from troutswitch.standalone.decisions.batch.jobs import ItemState
from troutswitch.standalone.decisions.batch.replica import shard_stream
from troutswitch.standalone.decisions.configuration.follower import ConfigurationFollower
from troutswitch.standalone.decisions.daemon import DaemonCore
from troutswitch.standalone.decisions.effects import AnswerCall, Drained, JobView
from troutswitch.standalone.decisions.engines import EngineRegistry


@dataclass(frozen=True)
class Proof:
    """One guarantee: the faults it is tested under and how to remove its mechanism."""

    name: str
    faults: tuple[str, ...]
    remove: Callable[[pytest.MonkeyPatch], None]
    symptom: str
    seeds: tuple[int, ...] = (1,)
    minutes: float = 2.0
    workload: dict[str, Any] = field(default_factory=dict)


def accept_any_submission(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ShardFold, "_evaluate_submission", lambda self, record, chunks: Accepted())
    patch.setattr(submission.Submission, "_earlier_job", lambda self, fold: None)


def never_take_over(patch: pytest.MonkeyPatch) -> None:
    original = ownership.Ownership._may_claim

    def may_claim(self: Any, now: float, replica: Any, is_preferred: bool) -> bool:
        return not replica.fold.owner and original(self, now, replica, is_preferred)

    patch.setattr(ownership.Ownership, "_may_claim", may_claim)


def dispatch_without_attempt_record(patch: pytest.MonkeyPatch) -> None:
    original = owner.ShardOwner.next_item

    def next_item(self: Any, now: float, job: Any) -> Any:
        progress = self._progress.get(job.job_id)
        if progress is not None:
            progress.attempted_in_epoch.update(range(job.item_count))
        return original(self, now, job)

    patch.setattr(owner.ShardOwner, "next_item", next_item)


def forget_attempts_at_takeover(patch: pytest.MonkeyPatch) -> None:
    original = owner.ShardOwner._open_job

    def open_job(self: Any, job: Any) -> Any:
        for index, state in enumerate(job.item_states):
            if state == ItemState.ATTEMPTED:
                job.item_states[index] = ItemState.OPEN
        return original(self, job)

    patch.setattr(owner.ShardOwner, "_open_job", open_job)


def acknowledge_before_the_log(patch: pytest.MonkeyPatch) -> None:
    def on_job_submitted(self: Any, now: float, event: Any) -> Any:
        call = self._submissions.prepare(now, event)
        commit = call._commit
        view = JobView(commit.job_id, "running", commit.service, commit.item_count, 0, 0, now, now)
        append = self.writer.append(shard_stream(call.shard), call._records())
        return [*append, AnswerCall(event.token, view)]

    patch.setattr(DaemonCore, "_on_job_submitted", on_job_submitted)


def keep_cancelled_jobs(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(owner.ShardOwner, "_forget_job", lambda self, job_id: None)
    patch.setattr(ownership.Ownership, "set_job_stopped_hook", lambda self, hook: None)


def always_report_not_run(patch: pytest.MonkeyPatch) -> None:
    def failure_outcome(
        attempts: Any, position: Any, reason: str, step: Any, peer: str, after: Any
    ) -> Any:
        return NotRun(reason, step, peer, after)

    patch.setattr(online, "failure_outcome", failure_outcome)


def repeat_unrepeatable(patch: pytest.MonkeyPatch) -> None:
    for module in (online, onlinerequest):
        patch.setattr(module, "NOT_EXECUTED_OUTCOMES", frozenset(AttemptOutcome))


def skip_claims(patch: pytest.MonkeyPatch) -> None:
    def poll(self: Any, now: float, replica: Any) -> Progress:
        return Progress(True, self._on_ended(now, self._request_id, None))

    patch.setattr(claims.OnceClaimCall, "poll", poll)


def ignore_that_engines_leave(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(EngineRegistry, "mark_leaving", lambda self, now, name, incarnation: [])


def stop_without_draining(patch: pytest.MonkeyPatch) -> None:
    def check_drained(self: Any, now: float) -> Any:
        self._drain_check_at = float("inf")
        return [Drained()]

    patch.setattr(DaemonCore, "_check_drained", check_drained)


def read_configuration_from_log_only(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ConfigurationFollower, "_push", lambda self, start: [])
    patch.setattr(ConfigurationFollower, "on_peer_offset", lambda self, *arguments: [])


def be_ready_with_any_configuration(patch: pytest.MonkeyPatch) -> None:
    original = ConfigurationFollower.on_timer

    def on_timer(self: Any, now: float) -> Any:
        ready = [] if self.is_ready else self._become_ready("nobody")
        return ready + original(self, now)

    patch.setattr(ConfigurationFollower, "on_timer", on_timer)


PROOFS = (
    Proof(
        "a resent job is one job",
        ("client_resend", "answer_lost"),
        accept_any_submission,
        "became",
    ),
    Proof(
        "accepted work survives its owner",
        ("machine_loss", "engine_death"),
        never_take_over,
        "results",
        minutes=3.0,
    ),
    Proof(
        "an attempt is on record before it runs",
        ("machine_loss", "pause", "zone_cut"),
        dispatch_without_attempt_record,
        "ran twice",
        minutes=4.0,
        workload={"non_repeatable_share": 0.6},
    ),
    Proof(
        "an attempt without a result is not repeated",
        ("machine_loss", "pause"),
        forget_attempts_at_takeover,
        "ran twice",
        minutes=4.0,
        workload={"non_repeatable_share": 0.6, "batch_tokens": (200, 400)},
    ),
    Proof(
        "acknowledged means on the log",
        ("machine_loss", "log_down"),
        acknowledge_before_the_log,
        "cannot be read",
        minutes=4.0,
    ),
    Proof(
        "a cancelled job stops",
        (),
        keep_cancelled_jobs,
        "cancel",
        workload={"cancel_share": 0.5, "items_per_job": (400, 600)},
    ),
    Proof(
        "not run is only said when true",
        ("stream_cut", "engine_death"),
        always_report_not_run,
        "not run",
        minutes=4.0,
        workload={"non_repeatable_share": 0.5, "online_per_second": 20.0},
    ),
    Proof(
        "a request not to be repeated is sent once",
        ("stream_cut", "engine_death"),
        repeat_unrepeatable,
        "",
        workload={"non_repeatable_share": 0.5},
    ),
    Proof(
        "a key runs at most once through any daemon",
        ("client_resend",),
        skip_claims,
        "must run at most once",
        workload={"non_repeatable_share": 0.5},
    ),
    Proof(
        "a leaving engine gets no new work",
        ("engine_leaving", "pause"),
        ignore_that_engines_leave,
        "began to leave",
        minutes=6.0,
    ),
    Proof(
        "a planned stop cuts no request",
        ("planned_stop",),
        stop_without_draining,
        "planned stop",
        minutes=5.0,
    ),
    Proof(
        "configuration reaches a zone that is cut from the log",
        ("zone_cut",),
        read_configuration_from_log_only,
        "has configuration",
        minutes=6.0,
    ),
    Proof(
        "configuration never reverts across a restart",
        ("machine_loss", "log_down", "planned_stop"),
        be_ready_with_any_configuration,
        "back to",
        seeds=(3, 4, 8, 1, 7),
        minutes=4.0,
        workload={"online_per_second": 1.0},
    ),
)


def violations_of(proof: Proof, seed: int) -> tuple[list[str], dict[str, int]]:
    report = run_simulation(proof.faults, seed, proof.minutes, **proof.workload)
    return report.violations, report.faults


@pytest.mark.parametrize("proof", PROOFS, ids=lambda proof: proof.name)
def test_promise_holds(proof: Proof) -> None:
    injected: Counter[str] = Counter()
    for seed in proof.seeds:
        violations, faults = violations_of(proof, seed)
        assert violations == []
        injected.update(faults)
    for fault in proof.faults:
        assert injected[fault] > 0, f"{fault} was never injected"


@pytest.mark.parametrize("proof", PROOFS, ids=lambda proof: proof.name)
def test_promise_breaks_without_its_mechanism(
    proof: Proof, monkeypatch: pytest.MonkeyPatch
) -> None:
    proof.remove(monkeypatch)
    seen: list[str] = []
    for seed in proof.seeds:
        seen, _ = violations_of(proof, seed)
        if any(proof.symptom in text for text in seen):
            return
    raise AssertionError(f"the guarantee held without its mechanism; last violations: {seen}")
