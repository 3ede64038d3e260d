"""Route lookup, and replacement of the configuration in force."""

from tests.decisions.forwarding.harness import HOST, configuration, route
from troutswitch.decisions.forwarding.routes import RouteTable


def test_longest_matching_prefix_of_the_host_is_chosen() -> None:
    table = RouteTable()
    table.replace(configuration(1, route("short", "/a/"), route("long", "/a/b/")))
    found = table.match(HOST, "/a/b/c")
    assert found is not None
    assert found.name == "long"
    assert table.match("other", "/a/b/c") is None
    assert table.match(HOST, "/ab") is None


def test_older_or_equal_version_does_not_replace_the_one_in_force() -> None:
    table = RouteTable()
    assert table.replace(configuration(7, route("new")))
    assert not table.replace(configuration(6, route("old")))
    assert not table.replace(configuration(7, route("old")))
    assert table.named("new") is not None
