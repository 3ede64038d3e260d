from troutswitch.gateway.memory.pressure import (
    MIN_LAG_SECONDS,
    Kind,
    Reader,
    excess,
    fits,
    is_body_overdue,
    is_reader_overdue,
    readers_to_close,
)

LIMIT = 10_000_000
SMALL, LARGE = 1_000, 1_000_000


def reader(
    number: int, idle: float = 2.0, lag: float = 2.0, unread: int = 100, is_job_read: bool = False
) -> Reader:
    return Reader(number, idle, lag, unread, is_job_read)


def closed(readers: list[Reader], bytes_to_free: int) -> list[int]:
    return [chosen.number for chosen in readers_to_close(readers, bytes_to_free)]


def test_everything_fits_without_a_limit() -> None:
    assert all(fits(kind, LARGE, 100 * LIMIT, 0) for kind in Kind)


def test_jobs_are_refused_first_then_large_bodies_then_all_bodies_and_answers_last() -> None:
    """Guards against new work that takes the memory of answers to requests that already run."""
    filling: tuple[tuple[float, set[Kind], bool], ...] = (
        (0.4, {Kind.ITEMS, Kind.BODIES, Kind.ANSWERS, Kind.JOB_READS}, True),
        (0.55, {Kind.BODIES, Kind.ANSWERS, Kind.JOB_READS}, True),
        (0.75, {Kind.BODIES, Kind.ANSWERS, Kind.JOB_READS}, False),
        (0.9, {Kind.ANSWERS, Kind.JOB_READS}, False),
        (1.0, set(), False),
    )
    for share, kinds, is_large_body_accepted in filling:
        held = int(LIMIT * share)
        assert {kind for kind in Kind if fits(kind, SMALL, held, LIMIT)} == kinds
        assert fits(Kind.BODIES, LARGE, held, LIMIT) == is_large_body_accepted


def test_the_reader_that_has_taken_nothing_for_longest_is_closed_first() -> None:
    assert closed([reader(1, idle=1.5), reader(2, idle=5.0), reader(3, idle=3.0)], 200) == [2, 3]


def test_an_online_answer_is_closed_before_a_job_read_of_the_same_slowness() -> None:
    """Guards against losing a job's result, which is still useful, for an answer that is late."""
    same = [reader(1, idle=2.9, lag=2.9, is_job_read=True), reader(2, idle=2.1, lag=2.1)]
    assert closed(same, 1) == [2]
    assert closed([reader(1, idle=4.0, is_job_read=True), reader(2, idle=2.0)], 1) == [1]


def test_among_equals_the_oldest_unread_byte_and_then_the_larger_part_decide() -> None:
    assert closed([reader(1, lag=2.0), reader(2, lag=4.0)], 1) == [2]
    assert closed([reader(1, unread=10), reader(2, unread=20)], 1) == [2]


def test_no_more_readers_are_closed_than_needed() -> None:
    readers = [reader(number, idle=number, unread=100) for number in range(1, 5)]
    assert closed(readers, 0) == []
    assert closed(readers, 150) == [4, 3]


def test_a_reader_that_keeps_up_is_never_closed() -> None:
    assert closed([reader(1, idle=0.0, lag=MIN_LAG_SECONDS / 2)], LIMIT) == []


def test_closing_readers_frees_enough_for_usual_requests() -> None:
    assert excess(LIMIT // 2, LIMIT) == 0
    assert fits(Kind.BODIES, SMALL, LIMIT - excess(LIMIT, LIMIT), LIMIT)


def test_a_body_may_take_the_time_of_a_head_and_a_minimum_rate() -> None:
    assert not is_body_overdue(2.9, 0, 3.0)
    assert is_body_overdue(3.1, 0, 3.0)
    assert not is_body_overdue(18.0, 4 * 1024 * 1024, 3.0)
    assert is_body_overdue(60.0, 4 * 1024 * 1024, 3.0)


def test_a_reader_is_overdue_after_the_time_limit_of_its_request() -> None:
    assert not is_reader_overdue(5.0, 5.1)
    assert is_reader_overdue(5.2, 5.1)
