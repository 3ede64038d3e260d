"""Messages between daemons keep their bytes.

Guards against a change after which a daemon of the former version, which runs in the same fleet
while daemons are replaced one by one, cannot read a message or reads it wrongly.
"""

import pytest

from tests.forms import samples
from tests.forms.forms import check_all_are_held, check_form


def test_each_message_is_held() -> None:
    check_all_are_held("peer_messages", samples.PEER_MESSAGES)
    check_all_are_held("sealed_messages", samples.SEALED_MESSAGES)
    check_all_are_held("peer_state", samples.PEER_STATES)


@pytest.mark.parametrize("name", samples.PEER_MESSAGES)
def test_a_message_about_slots_crashes_and_quotas(name: str) -> None:
    check_form("peer_messages", name, samples.PEER_MESSAGES[name])


@pytest.mark.parametrize("name", samples.SEALED_MESSAGES)
def test_a_sealed_message(name: str) -> None:
    check_form("sealed_messages", name, samples.SEALED_MESSAGES[name])


@pytest.mark.parametrize("name", samples.PEER_STATES)
def test_the_store_s_state_told_to_a_peer(name: str) -> None:
    check_form("peer_state", name, samples.PEER_STATES[name])
