"""Messages between daemons keep their bytes.

Guards against a change after which a daemon of the previous version cannot read a message, or
misreads it. Both versions run in one fleet during a rolling restart.
"""

import pytest

from tests.forms import samples
from tests.forms.forms import check_sample, check_samples_match_data


def test_samples_and_data_have_the_same_names() -> None:
    check_samples_match_data("peer_messages", samples.PEER_MESSAGES)
    check_samples_match_data("sealed_messages", samples.SEALED_MESSAGES)
    check_samples_match_data("peer_state", samples.PEER_STATES)


@pytest.mark.parametrize("name", samples.PEER_MESSAGES)
def test_peer_message_keeps_its_bytes(name: str) -> None:
    check_sample("peer_messages", name, samples.PEER_MESSAGES[name])


@pytest.mark.parametrize("name", samples.SEALED_MESSAGES)
def test_sealed_message_keeps_its_bytes(name: str) -> None:
    check_sample("sealed_messages", name, samples.SEALED_MESSAGES[name])


@pytest.mark.parametrize("name", samples.PEER_STATES)
def test_store_state_for_a_peer_keeps_its_bytes(name: str) -> None:
    check_sample("peer_state", name, samples.PEER_STATES[name])
