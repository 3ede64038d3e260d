from troutswitch.gateway.memory.limits import (
    MAX_ANSWER_BYTES,
    MIN_LIMIT_BYTES,
    MemoryLimits,
    memory_limits,
)


def test_settings_without_a_limit_limit_nothing() -> None:
    assert memory_limits(0) == MemoryLimits(0, 0)


def test_the_limit_is_a_share_of_what_the_baseline_leaves() -> None:
    smallest = memory_limits(160_000_000)
    assert 40_000_000 < smallest.account_bytes < 50_000_000
    assert memory_limits(552_000_000).account_bytes > 4 * smallest.account_bytes
    assert smallest.answer_bytes == MAX_ANSWER_BYTES


def test_a_process_near_its_baseline_still_accepts_a_large_body() -> None:
    limits = memory_limits(64_000_000)
    assert limits.account_bytes == MIN_LIMIT_BYTES
    assert limits.answer_bytes == MIN_LIMIT_BYTES // 4
