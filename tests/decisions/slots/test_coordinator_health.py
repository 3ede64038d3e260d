"""When a coordinator becomes suspected, and what ends the suspicion."""

from troutswitch.decisions.slots.coordinator_health import (
    NEVER,
    SUSPECT_MISSES,
    SUSPECT_SECONDS,
    CoordinatorHealth,
)

GROUP = "service||0"
NOW = 5.0


def suspected_health() -> CoordinatorHealth:
    health = CoordinatorHealth()
    suspicions = [health.on_reply_timeout(NOW, GROUP) for _ in range(SUSPECT_MISSES)]
    assert suspicions == [False] * (SUSPECT_MISSES - 1) + [True]
    return health


def test_a_suspected_coordinator_is_missing_and_is_tried_again_after_a_while() -> None:
    health = suspected_health()
    assert health.is_missing(GROUP)
    assert health.missing_since(GROUP) == NOW
    assert health.is_suspected(NOW, GROUP)
    assert not health.is_suspected(NOW + SUSPECT_SECONDS, GROUP)


def test_a_timeout_during_a_suspicion_starts_no_new_suspicion() -> None:
    health = suspected_health()
    assert not health.on_reply_timeout(NOW + SUSPECT_SECONDS / 2, GROUP)
    assert health.on_reply_timeout(NOW + SUSPECT_SECONDS, GROUP)


def test_a_message_or_a_newer_claim_ends_the_suspicion() -> None:
    for end in (CoordinatorHealth.on_activity, CoordinatorHealth.on_new_coordinator):
        health = suspected_health()
        end(health, GROUP)
        assert not health.is_suspected(NOW, GROUP)
        assert not health.is_missing(GROUP)
        assert health.missing_since(GROUP) == NEVER


def test_a_daemon_that_denies_being_the_coordinator_is_suspected_immediately() -> None:
    assert CoordinatorHealth().on_not_coordinator(NOW, GROUP)


def test_a_coordinator_is_missing_since_it_was_first_needed() -> None:
    health = CoordinatorHealth()
    assert health.on_coordinator_needed(NOW, GROUP)
    assert not health.on_coordinator_needed(NOW + 1.0, GROUP)
    assert health.missing_since(GROUP) == NOW
