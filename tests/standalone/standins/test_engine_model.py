"""The engine's timing model, including faults found by simulation."""

from troutswitch.standalone.standins.engine_model import EngineModel, EngineSpec

SHAPE = EngineSpec(slots=2, step_base=0.02, step_per_sequence=0.001)


def test_a_single_request_takes_prefill_and_one_step_per_token() -> None:
    model = EngineModel(SHAPE)
    sequence = model.submit(0.0, "a", 0, 100, 11)
    assert sequence is not None
    model.advance(10.0)
    first = 0.02 + 100 * SHAPE.prefill_per_token
    assert abs(sequence.first_token_at - first) < 1e-9
    assert abs(sequence.finished_at - (first + 10 * 0.021)) < 1e-9


def test_a_higher_priority_gets_the_next_free_slot() -> None:
    model = EngineModel(SHAPE)
    for name in ("batch-1", "batch-2", "batch-3"):
        model.submit(0.0, name, 10, 10, 50)
    online = model.submit(0.001, "online", 0, 10, 5)
    assert online is not None and model.counts() == (0, 2, 1, 1)
    model.cancel(0.05, "batch-1")
    model.advance(0.2)
    assert online.started_at < 0.1


def test_a_request_submitted_within_a_step_is_the_next_change() -> None:
    """Guards against skipping the step boundary: first tokens were reported up to 1.5 s late."""
    model = EngineModel(SHAPE)
    model.submit(0.0, "a", 0, 10, 500)
    model.advance(0.1)
    model.submit(0.105, "b", 0, 10, 5)
    assert model.next_change() < 0.13


def test_a_stream_resumed_at_its_end_generates_no_more_tokens() -> None:
    """Guards against one token too many after a cut behind the last token (seeds 3 and 10)."""
    model = EngineModel(SHAPE)
    sequence = model.submit(0.0, "a", 0, 10, 5, resume_from=5)
    model.advance(1.0)
    assert sequence is not None
    assert (sequence.generated, sequence.is_finished) == (5, True)


def test_a_cached_prefix_shortens_prefill_until_it_is_evicted() -> None:
    model = EngineModel(EngineSpec(cache_tokens=150))
    times = []
    for at, prefix in enumerate(("p", "p", "q", "p")):
        sequence = model.submit(float(at), f"s{at}", 0, 200, 1, prefix, 100)
        model.advance(at + 0.9)
        assert sequence is not None
        times.append(round(sequence.finished_at - at, 6))
    assert times[1] < times[0] == times[2] == times[3]
