"""What a daemon knows of the store, by the times at which its readings were requested."""

from troutswitch.decisions.streams.store_knowledge import (
    CONFIRMED_SECONDS,
    MAX_GAP_SECONDS,
    KnowledgeState,
    StoreKnowledge,
)
from troutswitch.decisions.streams.versions import ACTIVATION_SECONDS

LATER = MAX_GAP_SECONDS + 0.1


def known(to: float = 0.0) -> StoreKnowledge:
    knowledge = StoreKnowledge(needs_records=True)
    knowledge.on_records(to)
    knowledge.on_list(to)
    return knowledge


def test_knowledge_is_complete_for_a_while_after_the_request_of_a_list() -> None:
    knowledge = known()
    assert knowledge.state(CONFIRMED_SECONDS) is KnowledgeState.COMPLETE
    assert knowledge.state(CONFIRMED_SECONDS + 0.1) is KnowledgeState.OUT_OF_DATE
    knowledge.on_list(MAX_GAP_SECONDS)
    assert knowledge.state(MAX_GAP_SECONDS + CONFIRMED_SECONDS) is KnowledgeState.COMPLETE


def test_list_after_a_gap_completes_nothing_until_the_records_are_read() -> None:
    knowledge = known()
    knowledge.on_list(LATER)
    assert knowledge.state(LATER) is KnowledgeState.GAP
    knowledge.on_list(LATER + 0.5)
    assert knowledge.state(LATER + 0.5) is KnowledgeState.GAP
    knowledge.on_records(LATER + 0.4)
    assert knowledge.state(LATER + 0.5) is KnowledgeState.COMPLETE


def test_records_from_before_a_gap_do_not_close_it() -> None:
    knowledge = known()
    knowledge.on_list(2 * LATER)
    knowledge.on_records(2 * LATER - MAX_GAP_SECONDS - 0.1)
    assert knowledge.state(2 * LATER) is KnowledgeState.GAP


def test_answers_in_another_order_do_not_take_knowledge_back() -> None:
    knowledge = known(5.0)
    knowledge.on_list(4.0)
    knowledge.on_records(3.0)
    assert knowledge.complete_to == 5.0
    assert knowledge.records_read_at == 5.0


def test_no_version_begins_streams_within_the_longest_gap() -> None:
    assert MAX_GAP_SECONDS <= ACTIVATION_SECONDS
