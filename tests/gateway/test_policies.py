import pytest

from troutswitch.decisions.policies import BatchPolicies, Policies
from troutswitch.gateway.policies import read_policies
from troutswitch.gateway.settings import GatewaySettingsError


def test_policies_that_are_not_named_keep_their_defaults() -> None:
    assert read_policies("") == Policies()
    assert read_policies(" admission = admit_all ,") == Policies(admission="admit_all")


def test_each_policy_can_be_selected() -> None:
    text = (
        "places=own_counts,placement=two_choices,admission=admit_all,items=least_slack,room=shares"
    )
    batch = BatchPolicies("least_slack", "shares")
    assert read_policies(text) == Policies("own_counts", "two_choices", "admit_all", batch)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("placement", "expected name=value"),
        ("colour=red", "unknown field `colour`"),
        ("items=none", "items: expected one of least_slack, most_in_time"),
        ("places=here", "places: expected one of coordinators, own_counts"),
        ("room=", "room: expected one of"),
    ],
)
def test_malformed_or_unknown_selection_raises_an_error(text: str, message: str) -> None:
    with pytest.raises(GatewaySettingsError, match=message):
        read_policies(text)


@pytest.mark.parametrize(
    ("name", "removed"),
    [
        ("placement", "round_robin"),
        ("placement", "least_loaded"),
        ("placement", "headroom"),
        ("placement", "shortest_queue"),
        ("admission", "reject_unservable"),
    ],
)
def test_removed_policy_is_refused_like_an_unknown_one(name: str, removed: str) -> None:
    with pytest.raises(GatewaySettingsError) as removed_error:
        read_policies(f"{name}={removed}")
    with pytest.raises(GatewaySettingsError) as unknown_error:
        read_policies(f"{name}=unknown")
    text = str(removed_error.value)
    assert text.startswith(f"TROUTSWITCH_POLICIES: {name}: expected one of ")
    assert text == str(unknown_error.value).replace("unknown", removed)


def test_speed_policy_can_be_selected_and_is_checked() -> None:
    assert read_policies("speed=ignored") == Policies(speed="ignored")
    with pytest.raises(GatewaySettingsError, match="speed: expected one of expected_time, ignored"):
        read_policies("speed=fast")
